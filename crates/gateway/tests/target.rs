//! The priority that engines are told.

use std::rc::Rc;

use gateway::target::Target;
use placement::Server;
use placement::workload::Timeliness;

fn priority(timeliness: Option<Timeliness>, level: u32) -> Option<u8> {
    let server = Server {
        id: "i-1".to_owned(),
        started_ms: 1,
        service: "llm".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "dc".to_owned(),
        sequence: 1,
        slots: 6,
        is_leaving: false,
        cold_left: None,
    };
    let target = Target {
        timeliness,
        ..Target::plain(Rc::new(server))
    };
    target.priority(level)
}

/// Late requests of a lower priority must not go before those of a higher one, nor before any in time.
#[test]
fn priority_late_requests_are_told_apart_by_level() {
    assert_eq!(priority(Some(Timeliness::OnTime), 0), Some(3));
    assert_eq!(priority(Some(Timeliness::OnTime), 2), Some(3));
    let late = [0, 1, 2, 40, u32::MAX];
    let late = late.map(|it| priority(Some(Timeliness::Late), it));
    assert_eq!(late, [Some(7), Some(8), Some(9), Some(9), Some(9)]);
    assert_eq!(priority(None, 1), None);
}
