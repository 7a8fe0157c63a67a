//! Clusters that start at the same moment do not share a folder: the entries of one would read the
//! settings of the other's.

use std::collections::HashSet;
use std::thread;

use harness::cluster;

const THREADS: usize = 8;
const EACH: usize = 2_000;

#[test]
fn folders_of_clusters_that_start_together_differ() {
    let take = || -> Vec<_> { (0..EACH).map(|_| cluster::unique_folder()).collect() };
    let threads: Vec<_> = (0..THREADS).map(|_| thread::spawn(take)).collect();
    let folders = threads
        .into_iter()
        .flat_map(|it| it.join().expect("no panic"));
    let folders: HashSet<_> = folders.collect();
    assert_eq!(folders.len(), THREADS * EACH);
}
