//! The quarantine refuses requests by what they have in common when servers crash.

use std::time::Duration;

use domain::Moment;
use routing::Quarantine;
use routing::quarantine::Decision;
use routing::quarantine::Fingerprint;
use routing::quarantine::PROOF_LIMIT;
use routing::quarantine::Progress;
use routing::quarantine::RETENTION;
use routing::quarantine::Report;
use routing::quarantine::SUSPECT_LIMIT;

const NOW: Moment = Moment::from_millis(1_000_000);
const SECOND: Duration = Duration::from_secs(1);
/// Parts of prompts.
const FIRST: u64 = 1;
const BAD: u64 = 2;
const SOUND: u64 = 3;

/// Returns a request with these parts in its prompt that is like no other one.
fn request(id: u64, parts: &[u64]) -> Fingerprint {
    Fingerprint {
        request: id * 1_000,
        parts: parts.to_vec(),
    }
}

/// Records the crash of a server that had begun to answer.
fn crash(
    quarantine: &mut Quarantine,
    now: Moment,
    it: &Fingerprint,
    server: &str,
) -> Option<Report> {
    quarantine.record_crash(now, it, server, Progress::Begun)
}

/// Checks whether each of the requests is admitted.
fn check(quarantine: &mut Quarantine, now: Moment, expected: &[(Fingerprint, bool)]) {
    for (request, is_admitted) in expected {
        let decision = quarantine.admit(now, request, |_| false);
        assert_eq!(decision == Decision::Admit, *is_admitted, "{request:?}");
    }
}

/// Returns a quarantine in which three requests with the bad part crashed a server each.
fn with_bad_part() -> Quarantine {
    let mut quarantine = Quarantine::default();
    for (id, server) in [(1, "a"), (2, "b"), (3, "c")] {
        crash(&mut quarantine, NOW, &request(id, &[FIRST, BAD]), server);
    }
    quarantine
}

#[test]
fn quarantine_refuses_request_after_second_server() {
    let mut quarantine = Quarantine::default();
    let bad = request(7, &[]);
    assert!(crash(&mut quarantine, NOW, &bad, "a").is_some());
    let repeated = crash(&mut quarantine, NOW, &bad, "a");
    assert_eq!(repeated, None, "a repeated report counts once");
    check(&mut quarantine, NOW, &[(bad.clone(), true)]);
    crash(&mut quarantine, NOW, &bad, "b");
    check(
        &mut quarantine,
        NOW,
        &[(bad.clone(), false), (request(8, &[]), true)],
    );
    check(&mut quarantine, NOW + RETENTION, &[(bad, true)]);
}

#[test]
fn quarantine_refuses_part_of_requests_that_are_never_alike() {
    let mut quarantine = with_bad_part();
    check(&mut quarantine, NOW, &[(request(4, &[FIRST, BAD]), false)]);
    // Which of both parts is the cause shows as soon as a request has only one of them.
    crash(&mut quarantine, NOW, &request(5, &[BAD]), "d");
    let expected = [
        (request(6, &[BAD]), false),
        (request(7, &[SOUND, BAD, 9]), false),
        (request(8, &[FIRST, SOUND]), true),
    ];
    check(&mut quarantine, NOW, &expected);
}

#[test]
fn quarantine_refuses_part_once_the_other_one_is_cleared() {
    let mut quarantine = with_bad_part();
    quarantine.record_success(NOW, &request(5, &[FIRST, SOUND]));
    check(&mut quarantine, NOW, &[(request(6, &[SOUND, BAD]), false)]);
}

#[test]
fn quarantine_admits_requests_that_share_only_other_parts() {
    let mut quarantine = with_bad_part();
    let expected = [
        (request(4, &[FIRST]), true),
        (request(5, &[FIRST, SOUND]), true),
    ];
    check(&mut quarantine, NOW, &expected);
}

#[test]
fn quarantine_admits_requests_broken_by_crashes_of_others() {
    let mut quarantine = Quarantine::default();
    let broken = request(9, &[FIRST, SOUND]);
    for (id, server) in [(1, "a"), (2, "b"), (3, "c"), (4, "d")] {
        crash(&mut quarantine, NOW, &request(id, &[8, BAD]), server);
    }
    for server in ["a", "b", "c"] {
        crash(&mut quarantine, NOW, &broken, server);
    }
    check(
        &mut quarantine,
        NOW,
        &[(broken, true), (request(5, &[8, BAD]), false)],
    );
}

#[test]
fn quarantine_crashes_before_any_answer_weigh_less() {
    let mut quarantine = Quarantine::default();
    let waiting = request(7, &[]);
    for server in ["a", "b", "c"] {
        quarantine.record_crash(NOW, &waiting, server, Progress::Waiting);
    }
    check(&mut quarantine, NOW, &[(waiting.clone(), true)]);
    quarantine.record_crash(NOW, &waiting, "d", Progress::Waiting);
    check(&mut quarantine, NOW, &[(waiting, false)]);
}

#[test]
fn quarantine_clears_what_runs_to_its_end() {
    let mut quarantine = Quarantine::default();
    let broken = request(9, &[FIRST, SOUND]);
    crash(&mut quarantine, NOW, &broken, "a");
    crash(&mut quarantine, NOW, &broken, "b");
    check(&mut quarantine, NOW, &[(broken.clone(), false)]);
    // Another request with these parts clears them, but not the request itself.
    let cleared = quarantine.record_success(NOW, &request(10, &[FIRST, SOUND]));
    assert_eq!(cleared.map(|it| it.cleared), Some(vec![FIRST, SOUND]));
    check(&mut quarantine, NOW, &[(broken.clone(), false)]);
    assert!(quarantine.record_success(NOW, &broken).is_some());
    check(&mut quarantine, NOW, &[(broken, true)]);
    assert!(quarantine.is_empty());
}

#[test]
fn quarantine_proven_parts_are_no_suspects_for_some_time() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(NOW, &request(1, &[FIRST]));
    let crash_four = |quarantine: &mut Quarantine, now: Moment, ids: u64| {
        for (id, server) in [(0, "a"), (1, "b"), (2, "c"), (3, "d")] {
            let request = request(ids + id, &[FIRST]);
            crash(quarantine, now, &request, &format!("{server}{ids}"));
        }
    };
    crash_four(&mut quarantine, NOW + SECOND, 10);
    check(
        &mut quarantine,
        NOW + SECOND,
        &[(request(5, &[FIRST]), true)],
    );
    let later = NOW + SECOND * 20;
    crash_four(&mut quarantine, later, 20);
    check(&mut quarantine, later, &[(request(5, &[FIRST]), false)]);
}

#[test]
fn quarantine_one_entry_tests_a_digest_at_growing_intervals() {
    let mut quarantine = with_bad_part();
    let bad = request(4, &[FIRST, BAD]);
    let minute = SECOND * 60;
    assert_eq!(
        quarantine.admit(NOW + SECOND * 59, &bad, |_| true),
        Decision::Refuse
    );
    assert_eq!(
        quarantine.admit(NOW + minute, &bad, |_| false),
        Decision::Refuse
    );
    assert!(matches!(
        quarantine.admit(NOW + minute, &bad, |_| true),
        Decision::Test(_)
    ));
    assert_eq!(
        quarantine.admit(NOW + minute, &bad, |_| true),
        Decision::Refuse
    );
    crash(&mut quarantine, NOW + minute, &bad, "d");
    assert_eq!(
        quarantine.admit(NOW + minute * 2, &bad, |_| true),
        Decision::Refuse
    );
    assert!(matches!(
        quarantine.admit(NOW + minute * 3, &bad, |_| true),
        Decision::Test(_)
    ));
}

#[test]
fn summary_teaches_entry_that_missed_all_reports() {
    let known = with_bad_part();
    let mut other = Quarantine::default();
    let summary = known.summary(NOW).expect("a suspect");
    assert_eq!(other.apply(NOW, &summary), None);
    check(&mut other, NOW, &[(request(4, &[FIRST, BAD]), false)]);
    check(&mut other, NOW, &[(request(5, &[FIRST, SOUND]), true)]);
    assert_eq!(
        other.apply(NOW + SECOND, &summary),
        None,
        "a repeated summary adds nothing"
    );
    assert_eq!(other.summary(NOW), Some(summary));
}

#[test]
fn report_of_a_proven_part_is_answered_and_clears_it() {
    let mut quarantine = Quarantine::default();
    quarantine.record_success(NOW, &request(1, &[FIRST]));
    let mut other = with_bad_part();
    let summary = other.summary(NOW).expect("a suspect");
    let reply = quarantine.apply(NOW, &summary).expect("a reply");
    assert_eq!(reply.cleared, [FIRST]);
    other.apply(NOW, &reply);
    check(
        &mut other,
        NOW,
        &[(request(4, &[FIRST]), true), (request(5, &[BAD]), false)],
    );
}

#[test]
fn quarantine_request_that_tests_a_digest_is_not_refused_before_it_is_sent() {
    let mut quarantine = with_bad_part();
    let bad = request(4, &[FIRST, BAD]);
    let later = NOW + SECOND * 60;
    let decision = quarantine.admit(later, &bad, |_| true);
    assert!(matches!(decision, Decision::Test(_)));
    assert!(!quarantine.is_refused(later, &bad));
    crash(&mut quarantine, later, &bad, "d");
    assert!(quarantine.is_refused(later, &bad));
}

/// Returns the parts of a prompt that no other request has.
fn unique_parts(id: u64) -> Vec<u64> {
    (0..64).map(|it| 1_000_000 + id * 64 + it).collect()
}

#[test]
fn suspects_are_bounded_while_servers_crash_under_unique_parts() {
    let mut quarantine = with_bad_part();
    for id in 10..300 {
        let server = format!("server-{id}");
        let unique = request(id, &unique_parts(id));
        crash(&mut quarantine, NOW, &unique, &server);
        assert!(quarantine.len() <= SUSPECT_LIMIT, "{}", quarantine.len());
    }
    // What crashed several servers stays refused.
    check(&mut quarantine, NOW, &[(request(8, &[FIRST, BAD]), false)]);
}

#[test]
fn refused_suspects_are_bounded_too() {
    let mut quarantine = Quarantine::default();
    for id in 10..300 {
        for server in ["a", "b"] {
            let server = format!("{server}-{id}");
            let unique = request(id, &unique_parts(id));
            crash(&mut quarantine, NOW, &unique, &server);
        }
        assert!(quarantine.len() <= SUSPECT_LIMIT, "{}", quarantine.len());
    }
}

#[test]
fn proofs_of_unique_parts_are_bounded() {
    let mut quarantine = Quarantine::default();
    for id in 0..2_000 {
        quarantine.record_success(NOW, &request(id, &unique_parts(id)));
        assert!(quarantine.proof_count() <= PROOF_LIMIT);
    }
    // The latest proofs still count.
    let latest = request(9_999, &unique_parts(1_999));
    crash(&mut quarantine, NOW, &latest, "a");
    assert_eq!(quarantine.len(), 1);
}
