//! Placements: which engines a job may run on, and how stale load reports are handled.

use std::time::Duration;

use domain::Length;
use domain::Moment;
use routing::Engine;
use routing::Job;
use routing::Level;
use routing::Policy;
use routing::Router;
use routing::engine::Load;
use routing::job::Tenant;
use routing::level::Conformance;
use routing::router::End;
use routing::router::Refusal;

const NOW: Moment = Moment::from_millis(1_000_000);

fn router(engines: usize) -> Router {
    let mut router = Router::new(Policy::ByLength, 1);
    router.replace_engines((0..engines).map(|index| {
        Engine::new(
            format!("runner-{index}"),
            "dc",
            vec!["assistant".to_owned()],
            400_000,
        )
    }));
    router
}

fn job(id: u64, prompt_tokens: u64) -> Job {
    Job {
        id,
        tenant: Tenant {
            firm: "firm".to_owned(),
            firm_weight: 1,
            customer: "customer".to_owned(),
            customer_weight: 1,
        },
        model: "assistant".to_owned(),
        prompt_tokens,
        answer_tokens: 100,
        admitted: NOW,
        deadline: NOW + Duration::from_secs(30),
        prefix: id,
        excluded: Vec::new(),
        failures: 0,
        memory_refusals: 0,
    }
}

fn load(is_leaving: bool, incarnation: u64) -> Load {
    Load {
        is_leaving,
        incarnation,
        ..Load::default()
    }
}

#[test]
fn router_short_jobs_spread_over_engines() {
    let mut router = router(4);
    for id in 0..8 {
        router.admit(NOW, job(id, 4_000)).unwrap();
    }
    let mut counts = std::collections::BTreeMap::<String, usize>::new();
    while let Some(placement) = router.next(NOW) {
        *counts.entry(placement.engine).or_default() += 1;
    }
    assert!(
        counts.len() >= 3 && counts.values().all(|it| *it <= 4),
        "{counts:?}"
    );
}

#[test]
fn router_long_jobs_leave_engines_for_short_ones() {
    let mut router = router(4);
    for id in 0..6 {
        router.admit(NOW, job(id, 150_000)).unwrap();
        router.admit(NOW, job(100 + id, 150_000)).unwrap();
    }
    let mut engines = std::collections::BTreeSet::new();
    while let Some(placement) = router.next(NOW) {
        engines.insert(placement.engine);
    }
    assert!(
        engines.len() <= 3,
        "at least one engine must be left for short jobs: {engines:?}"
    );
    router.admit(NOW, job(200, 1_000)).unwrap();
    let short = router.next(NOW).unwrap();
    assert!(!engines.contains(&short.engine));
    assert!(short.level.priority() > 0);
}

#[test]
fn router_gang_is_the_fewest_engines_ordered_by_name() {
    let mut router = router(5);
    router.admit(NOW, job(1, 1_000_000)).unwrap();
    let placement = router.next(NOW).unwrap();
    let members: Vec<&String> = std::iter::once(&placement.engine)
        .chain(&placement.gang)
        .collect();
    assert_eq!(members.len(), 3);
    assert!(members.is_sorted());
    assert!(placement.memory_tokens * 3 >= 1_000_100);
}

#[test]
fn router_unservable_jobs_are_refused() {
    let mut router = router(2);
    let refusal = router.admit(NOW, job(1, 1_000_000)).unwrap_err();
    assert!(matches!(refusal, Refusal::TooLong { .. }));
    let other = Job {
        model: "other".to_owned(),
        ..job(2, 1_000)
    };
    assert!(matches!(
        router.admit(NOW, other).unwrap_err(),
        Refusal::NoEngine(_)
    ));
}

#[test]
fn router_leaving_engine_gets_no_jobs_until_restart() {
    let mut router = router(1);
    router.record_load("runner-0", NOW, load(false, 1));
    assert!(router.mark_leaving("runner-0"));
    // A stale report of the same incarnation contradicts the mark.
    router.record_load("runner-0", NOW, load(false, 1));
    assert!(router.admit(NOW, job(1, 1_000)).is_err());
    router.record_load("runner-0", NOW, load(false, 2));
    router.admit(NOW, job(2, 1_000)).unwrap();
    assert!(router.next(NOW).is_some());
}

#[test]
fn router_failing_engine_is_avoided_and_retried_later() {
    let mut router = router(1);
    for id in 0..3 {
        router.admit(NOW, job(id, 1_000)).unwrap();
        let placement = router.next(NOW).unwrap();
        router.record_end(NOW, &placement, &placement.engine, End::Failed);
    }
    assert!(matches!(
        router.admit(NOW, job(9, 1_000)).unwrap_err(),
        Refusal::Down(_)
    ));
    let later = NOW + Duration::from_secs(1);
    router.admit(later, job(10, 1_000)).unwrap();
    assert!(router.next(later).is_some());
}

#[test]
fn router_expired_and_withdrawn_jobs_are_removed() {
    let mut router = router(1);
    for id in 0..200 {
        router.admit(NOW, job(id, 4_000)).unwrap();
    }
    while router.next(NOW).is_some() {}
    let waiting = router.waiting();
    assert!(
        waiting > 100,
        "an engine should have room for only a few jobs at a time"
    );
    assert!(router.withdraw(199).is_some());
    let late = NOW + Duration::from_secs(31);
    let expired = std::iter::from_fn(|| router.expire(late)).count();
    assert_eq!((expired, router.waiting()), (waiting - 1, 0));
}

#[test]
fn router_conforming_firm_goes_before_an_exceeding_one_on_engines() {
    let mut router = router(1);
    for id in 0..100 {
        router.admit(NOW, job(id, 4_000)).unwrap();
    }
    let exceeding = std::iter::from_fn(|| router.next(NOW)).last().unwrap();
    assert!(
        router.waiting() > 50,
        "the engine should have no room for more jobs of this firm"
    );
    let mut conforming = job(500, 4_000);
    conforming.tenant.firm = "light".to_owned();
    router.admit(NOW, conforming).unwrap();
    let placement = router.next(NOW).unwrap();
    assert_eq!(placement.job.id, 500);
    assert!(placement.level < exceeding.level);
    assert!(router.next(NOW).is_none(), "the exceeding firm should wait");
}

#[test]
fn router_stale_report_does_not_hide_later_jobs() {
    let mut engine = Engine::new("runner-0", "dc", vec!["assistant".to_owned()], 400_000);
    let cost = Duration::from_millis(40);
    engine.record_load(NOW, load(false, 1));
    let level = Level::new(Length::Short, Conformance::Conforming);
    engine.record_dispatch(NOW + Duration::from_millis(50), 1, level, cost, 4_100);
    // The report arrives later, but describes a moment before the job was sent.
    engine.record_load(NOW + Duration::from_millis(20), load(false, 1));
    let now = NOW + Duration::from_millis(60);
    assert!(engine.wait(now, level) >= Duration::from_millis(30));
    assert_eq!(engine.free_memory(), 400_000 - 4_100);
}

#[test]
fn router_paused_engines_get_no_jobs_until_the_first_pause_ends() {
    let mut router = router(2);
    let pause = Duration::from_secs(3);
    router.record_pause(NOW, "runner-0", pause);
    router.admit(NOW, job(1, 1_000)).unwrap();
    assert_eq!(router.next(NOW).unwrap().engine, "runner-1");
    router.record_pause(NOW, "runner-1", pause * 2);
    let refusal = router.admit(NOW, job(2, 1_000));
    assert_eq!(refusal, Err(Refusal::Paused(pause)));
    router.admit(NOW + pause, job(2, 1_000)).unwrap();
    assert_eq!(router.next(NOW + pause).unwrap().engine, "runner-0");
}
