//! Which backend servers take work, by what is listed and when.

use std::time::Duration;

use domain::Moment;
use placement::Server;
use placement::Servers;

const BEAT: Duration = Duration::from_millis(600);

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
    }
}

/// A list that is read every beat.
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

    fn read(&mut self, beats: u32) {
        for _ in 0..beats {
            self.now = self.now + BEAT;
            self.servers.record_read(self.now);
        }
    }

    fn remove(&mut self, id: &str) {
        self.servers.remove(self.now, id);
    }

    /// Checks which servers take work.
    fn check(&self, expected: &[&str]) {
        let usable = self.servers.usable(self.now, "app");
        let usable: Vec<&str> = usable.map(|it| it.server.id.as_str()).collect();
        assert_eq!(usable, expected);
    }
}

#[test]
fn remove_is_at_once() {
    let mut list = List::new();
    list.read(3);
    list.check(&["a"]);
    list.remove("a");
    list.check(&[]);
}

#[test]
fn add_overtaken_report_does_not_bring_a_server_back() {
    let mut list = List::new();
    list.add(server("a", 1, 5));
    list.read(2);
    list.remove("a");
    list.add(server("a", 1, 4));
    list.check(&[]);
    list.add(server("a", 1, 6));
    list.check(&["a"]);
}

#[test]
fn add_new_life_under_the_same_id_takes_work() {
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
fn remove_after_an_outage_waits_for_the_server_to_come_back() {
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
fn disown_is_for_one_life() {
    let mut list = List::new();
    let key = server("a", 1, 1).key();
    assert!(list.servers.exclude(list.now, key));
    assert!(!list.servers.exclude(list.now, key));
    list.check(&[]);
    list.add(server("a", 2, 1));
    list.check(&["a"]);
}

#[test]
fn remove_is_news_once() {
    let mut servers = Servers::default();
    let now = Moment::from_millis(1_000);
    servers.add(now, server("a", 1, 1));
    assert!(servers.remove(now, "a"));
    assert!(!servers.remove(now, "a"));
    assert!(!servers.remove(now, "b"));
}
