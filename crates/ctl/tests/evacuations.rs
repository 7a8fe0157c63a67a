//! Tests that the metrics of several instances are summarised by evacuated data centre.

use ctl::evacuations;
use ctl::evacuations::Evacuation;

fn pages() -> Vec<(String, String)> {
    let page = |since: &[(&str, u64)], running: u64| {
        let since = since.iter().map(|(name, since)| {
            format!(
                "coriander_evacuated_since_seconds{{data_centre=\"{name}\"}} {since}\n\
                 coriander_evacuated_running{{data_centre=\"{name}\"}} {running}\n"
            )
        });
        let lines: String = since.collect();
        format!("# HELP coriander_evacuated_since_seconds x.\n{lines}coriander_running 9\n# EOF\n")
    };
    [
        ("a", page(&[("z1", 1_004), ("z2", 2_000)], 3)),
        ("b", page(&[("z1", 1_000)], 2)),
        ("c", page(&[("z1", 1_001)], 0)),
        ("d", page(&[], 0)),
    ]
    .map(|(name, page)| (name.to_owned(), page))
    .into()
}

/// Guards against counts and times that leave out an instance.
#[test]
fn summarise_adds_up_instances() {
    let found = evacuations::summarise(&pages());
    let names = |names: &[&str]| names.iter().map(|it| (*it).to_owned()).collect();
    assert_eq!(found.len(), 2);
    let expected = Evacuation {
        since: 1_000,
        spread_s: 4,
        acting: names(&["a", "b", "c"]),
        running: 5,
    };
    assert_eq!(found["z1"], expected);
    assert_eq!(found["z2"].acting, ["a"]);
}

/// Guards against an instance that silently does not act.
#[test]
fn table_names_instances_that_do_not_act() {
    let table = evacuations::table(&pages(), 1_060);
    assert!(table.contains("z1") && table.contains("3 of 4") && table.contains("60 s"));
    assert!(table.contains("not acting: d\n") && table.contains("not acting: b c d\n"));
    let none = evacuations::table(&[("d".to_owned(), String::new())], 0);
    assert_eq!(none, "no data centre is evacuated\n");
}
