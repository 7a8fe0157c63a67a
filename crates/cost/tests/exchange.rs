//! Observations reach other entries once, in batches of bounded size.

use cost::Batch;
use cost::Extent;
use cost::Inbox;
use cost::Observation;
use cost::Outbox;
use domain::key::Incarnation;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn observation(cost: usize) -> Observation {
    Observation {
        service: "app".to_owned(),
        route: "call".to_owned(),
        organisation: String::new(),
        prompt_tokens: 0,
        expected_tokens: 0,
        limit: 4_000.0,
        cost: cost as f32,
        extent: Extent::Whole,
    }
}

fn outbox(count: usize) -> Outbox {
    let mut random = StdRng::seed_from_u64(1);
    let mut outbox = Outbox::new(Incarnation(1));
    for cost in 0..count {
        outbox.push(observation(cost), &mut random);
    }
    outbox
}

#[test]
fn take_batch_is_empty_without_observations() {
    let mut outbox = outbox(0);
    assert_eq!(outbox.take_batch(), None);
    assert_eq!(outbox.recent(), None);
}

/// Guards against a batch that grows with the load, and against one that has only the first of many.
#[test]
fn take_batch_of_many_is_a_bounded_sample_of_all() {
    let batch = outbox(10_000).take_batch().expect("a batch");
    assert_eq!(batch.observations.len(), 64);
    let mean = batch.observations.iter().map(|it| it.cost).sum::<f32>() / 64.0;
    assert!((3_500.0..6_500.0).contains(&mean), "{mean}");
}

#[test]
fn accept_counts_each_observation_once() {
    let mut outbox = outbox(5);
    let mut inbox = Inbox::default();
    let first = outbox.take_batch().expect("a batch");
    assert_eq!(inbox.accept(&first).len(), 5);
    assert_eq!(inbox.accept(&first).len(), 0);
    let recent = outbox.recent().expect("a batch");
    assert_eq!(inbox.accept(&recent).len(), 0);
    outbox.push(observation(5), &mut StdRng::seed_from_u64(2));
    outbox.take_batch();
    let recent = outbox.recent().expect("a batch");
    assert_eq!(inbox.accept(&recent), [observation(5)]);
    // An older batch that arrives late adds nothing twice.
    assert_eq!(inbox.accept(&first).len(), 0);
}

#[test]
fn accept_recent_gives_one_that_joins_the_latest_observations() {
    let mut outbox = outbox(50);
    outbox.take_batch();
    let recent = outbox.recent().expect("a batch");
    let accepted = Inbox::default().accept(&recent).to_vec();
    assert_eq!(accepted, (18..50).map(observation).collect::<Vec<_>>());
}

/// Entries that leave without notice must not fill the memory.
#[test]
fn accept_of_many_entries_is_bounded() {
    let mut inbox = Inbox::default();
    for number in 0..100_000 {
        let batch = Batch {
            entry: Incarnation(number),
            next: 1,
            observations: vec![observation(1)],
        };
        assert_eq!(inbox.accept(&batch).len(), 1);
        if number % 2 == 0 {
            inbox.forget(Incarnation(number));
        }
    }
    assert!(inbox.len() <= 1_024, "{}", inbox.len());
}
