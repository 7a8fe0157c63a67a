//! Which backend servers get work, depending on the list and on when it was read.

use std::time::Duration;

use domain::Moment;
use placement::Rates;
use placement::Server;
use placement::Servers;
use placement::rates::Statement;

const READ_INTERVAL: Duration = Duration::from_millis(600);

fn server(id: &str, started_ms: u64, sequence: u64) -> Server {
    Server {
        id: id.to_owned(),
        started_ms,
        service: "app".to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "dc".to_owned(),
        sequence,
        slots: 6,
        is_leaving: false,
        cold_left: None,
    }
}

/// A server list that is read at a fixed interval.
struct List {
    servers: Servers,
    now: Moment,
}

impl List {
    fn new() -> Self {
        let mut list = Self {
            servers: Servers::default(),
            now: Moment::from_millis(1_000),
        };
        list.add(server("a", 1, 1));
        list
    }

    fn add(&mut self, server: Server) {
        self.servers.add(self.now, server);
    }

    fn read(&mut self, reads: u32) {
        for _ in 0..reads {
            self.now = self.now + READ_INTERVAL;
            self.servers.record_read(self.now);
        }
    }

    fn remove(&mut self, id: &str) {
        self.servers.remove(self.now, id);
    }

    /// Records that server `a` asked for a pause.
    fn pause(&mut self, length: Duration) {
        let key = server("a", 1, 1).key();
        let state = self.servers.get_mut(key).expect("a server");
        state.pause.extend(self.now, length);
    }

    /// Checks which servers get work.
    fn check(&self, expected: &[&str]) {
        let usable = self.servers.usable(self.now, "app");
        let usable: Vec<&str> = usable.map(|it| it.server.id.as_str()).collect();
        assert_eq!(usable, expected);
    }
}

#[test]
fn remove_takes_effect_at_once() {
    let mut list = List::new();
    list.read(3);
    list.check(&["a"]);
    list.remove("a");
    list.check(&[]);
}

#[test]
fn add_outdated_report_does_not_restore_a_server() {
    let mut list = List::new();
    list.add(server("a", 1, 5));
    list.read(2);
    list.remove("a");
    list.add(server("a", 1, 4));
    list.check(&[]);
    list.add(server("a", 1, 6));
    list.check(&["a"]);
}

/// Guards against outdated records that are passed on to entries which can't see that they are.
#[test]
fn add_outdated_report_is_false() {
    let mut servers = Servers::default();
    let now = Moment::from_millis(1_000);
    let mut add = |sequence| servers.add(now, server("a", 1, sequence));
    assert!(add(5) && add(6) && add(6));
    assert!(!add(5));
    servers.remove(now, "a");
    let mut add = |started_ms, sequence| servers.add(now, server("a", started_ms, sequence));
    assert!(!add(1, 5) && !add(1, 6));
    assert!(add(1, 7) && add(2, 1));
    assert!(!add(1, 8));
}

#[test]
fn add_restarted_server_under_the_same_id_gets_work() {
    let mut list = List::new();
    list.add(Server {
        is_leaving: true,
        ..server("a", 1, 9)
    });
    list.check(&[]);
    list.add(server("a", 1, 8));
    list.check(&[]);
    list.add(server("a", 2, 1));
    list.check(&["a"]);
    list.add(Server {
        is_leaving: true,
        ..server("a", 1, 10)
    });
    list.check(&["a"]);
}

#[test]
fn remove_after_an_outage_waits_for_the_grace_period() {
    let mut list = List::new();
    list.add(server("b", 1, 1));
    list.read(2);
    list.now = list.now + Duration::from_secs(6);
    list.read(1);
    list.remove("a");
    list.remove("b");
    list.check(&["a", "b"]);
    list.read(1);
    list.add(server("a", 1, 2));
    list.read(4);
    list.check(&["a"]);
}

#[test]
fn exclude_ends_when_the_server_restarts() {
    let mut list = List::new();
    let key = server("a", 1, 1).key();
    assert!(list.servers.exclude(list.now, key));
    assert!(!list.servers.exclude(list.now, key));
    list.check(&[]);
    list.add(server("a", 2, 1));
    list.check(&["a"]);
}

#[test]
fn remove_returns_true_once() {
    let mut servers = Servers::default();
    let now = Moment::from_millis(1_000);
    servers.add(now, server("a", 1, 1));
    assert!(servers.remove(now, "a"));
    assert!(!servers.remove(now, "a"));
    assert!(!servers.remove(now, "b"));
}

#[test]
fn pause_ends_at_its_time_or_when_the_server_restarts() {
    let mut list = List::new();
    list.pause(Duration::from_secs(3));
    list.check(&[]);
    list.now = list.now + Duration::from_millis(2_999);
    list.check(&[]);
    list.now = list.now + Duration::from_millis(1);
    list.check(&["a"]);
    list.pause(Duration::from_secs(3));
    list.add(server("a", 2, 1));
    list.check(&["a"]);
}

#[test]
fn pause_shorter_does_not_end_a_longer_one() {
    let mut list = List::new();
    list.pause(Duration::from_secs(3));
    list.pause(Duration::from_secs(1));
    list.now = list.now + Duration::from_secs(2);
    list.check(&[]);
}

#[test]
fn pause_outlasts_a_removal_from_the_list() {
    let mut list = List::new();
    list.read(2);
    list.pause(Duration::from_secs(3));
    list.remove("a");
    list.add(server("a", 1, 2));
    list.check(&[]);
    list.now = list.now + Duration::from_secs(3);
    list.check(&["a"]);
}

#[test]
fn leaving_lasts_until_the_server_restarts() {
    let mut list = List::new();
    let key = server("a", 1, 1).key();
    assert!(list.servers.mark_leaving(key));
    assert!(!list.servers.mark_leaving(key));
    list.check(&[]);
    list.now = list.now + Duration::from_secs(60);
    list.add(server("a", 1, 2));
    list.check(&[]);
    list.add(server("a", 2, 1));
    list.check(&["a"]);
}

#[test]
fn leaving_outlasts_a_removal_from_the_list() {
    let mut list = List::new();
    list.read(2);
    list.servers.mark_leaving(server("a", 1, 1).key());
    list.remove("a");
    list.now = list.now + Duration::from_secs(60);
    list.read(20);
    list.add(server("b", 1, 1));
    list.remove("b");
    list.add(server("a", 1, 2));
    list.check(&[]);
    list.add(server("a", 2, 1));
    list.check(&["a"]);
}

#[test]
fn replace_after_a_return_waits_for_the_grace_period() {
    let mut list = List::new();
    list.add(server("b", 1, 1));
    list.read(2);
    list.servers.record_return(list.now);
    list.servers.replace(list.now, vec![server("b", 1, 1)]);
    list.check(&["a", "b"]);
    list.read(1);
    list.check(&["a", "b"]);
    list.add(server("a", 1, 2));
    list.read(4);
    list.check(&["a", "b"]);
    list.servers.record_return(list.now);
    list.servers.replace(list.now, vec![server("b", 1, 1)]);
    list.read(4);
    list.check(&["b"]);
}

/// Guards against placement in an evacuated data centre, also on servers listed meanwhile.
#[test]
fn evacuated_data_centre_has_no_usable_servers() {
    let mut list = List::new();
    list.add(Server {
        data_centre: "other".to_owned(),
        ..server("b", 1, 1)
    });
    let usable = |list: &List| -> Vec<String> {
        let usable = list.servers.usable(list.now, "app");
        usable.map(|it| it.server.id.clone()).collect()
    };
    list.servers.set_evacuated(["dc".to_owned()].into());
    assert_eq!(usable(&list), ["b"]);
    // A server that is listed meanwhile is excluded as well.
    list.add(server("c", 1, 1));
    assert_eq!(usable(&list), ["b"]);
    list.servers.set_evacuated(["missing".to_owned()].into());
    assert_eq!(usable(&list), ["a", "b", "c"]);
}

/// Guards against callers that are told to come back for servers that stay evacuated.
#[test]
fn evacuated_servers_have_no_pause_to_wait_for() {
    let mut list = List::new();
    list.pause(Duration::from_secs(2));
    let workload = placement::Workload::default();
    let pause = |list: &List| list.servers.pause_of_all(list.now, "app", &workload);
    assert!(pause(&list).is_some());
    list.servers.set_evacuated(["dc".to_owned()].into());
    assert_eq!(pause(&list), None);
}

/// Guards against limits and latencies of an earlier process that count for the one which replaced it.
#[test]
fn restarted_server_has_no_state_of_its_earlier_process() {
    let mut list = List::new();
    let before = server("a", 1, 1).key();
    let state = list.servers.get_mut(before).expect("a server");
    state.record_latency(list.now, Duration::from_secs(9));
    state.health.on_unreachable(list.now);
    let mut rates = Rates::default();
    rates.record(list.now, before, Statement::Limited(0.2));
    assert!(!list.servers.is_replaced(&server("a", 1, 1)));
    list.add(server("a", 2, 1));
    assert!(list.servers.is_replaced(&server("a", 1, 1)));
    assert!(!list.servers.is_replaced(&server("b", 1, 1)));
    assert!(list.servers.get(before).is_none());
    let key = server("a", 2, 1).key();
    let state = list.servers.get(key).expect("a server");
    assert_eq!(state.recent_latency(list.now, Duration::MAX), None);
    assert!(state.health.is_usable(list.now) && rates.is_open(list.now, key));
    let known = list.servers.known_keys(list.now);
    rates.retain_servers(|it| known.contains(&it));
    assert_eq!(rates.in_force(list.now).count(), 0);
}

/// The work, slowdown and limit of an earlier process are kept under its own key, and end with its requests.
#[test]
fn restarted_server_has_another_key() {
    assert_ne!(server("a", 1, 1).key(), server("a", 2, 1).key());
    assert_eq!(server("a", 1, 1).key(), server("a", 1, 9).key());
}

#[test]
fn known_keys_has_servers_that_were_removed_lately() {
    let mut list = List::new();
    list.read(1);
    list.remove("a");
    let key = server("a", 1, 1).key();
    assert!(list.servers.known_keys(list.now).contains(&key));
    list.now = list.now + Duration::from_secs(31);
    assert!(!list.servers.known_keys(list.now).contains(&key));
}
