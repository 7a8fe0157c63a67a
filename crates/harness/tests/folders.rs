//! Clusters that start at the same time use different folders. In a shared folder, the entries of
//! one cluster would read the settings of the other's entries.

use std::collections::HashSet;
use std::thread;

use harness::cluster;

const THREADS: usize = 8;
const FOLDERS_PER_THREAD: usize = 2_000;

#[test]
fn unique_folder_concurrent_calls_differ() {
    let create = || -> Vec<_> {
        (0..FOLDERS_PER_THREAD)
            .map(|_| cluster::unique_folder())
            .collect()
    };
    let threads: Vec<_> = (0..THREADS).map(|_| thread::spawn(create)).collect();
    let folders = threads
        .into_iter()
        .flat_map(|it| it.join().expect("no panic"));
    let folders: HashSet<_> = folders.collect();
    assert_eq!(folders.len(), THREADS * FOLDERS_PER_THREAD);
}
