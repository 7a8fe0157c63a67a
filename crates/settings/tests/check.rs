//! Files are validated completely, and each error names its line and remedy.

use std::path::Path;
use std::path::PathBuf;

const FLEET: &str = r#"{
  "firms": [{ "name": "buses", "share": 1 }],
  "data_centres": [{ "name": "north", "region": "one" }],
  "models": [{ "name": "assistant", "version": 1, "first_token_ms": 1100 }],
  "backend_servers": [
    { "name": "a", "address": "10.0.0.1:80", "data_centre": "north",
      "kind": { "type": "service", "service": "bookings" } }
  ],
  "contracts": [
    { "customer": "riders", "firm": "buses",
      "key_hashes": ["0000000000000000000000000000000000000000000000000000000000000000"],
      "tokens_per_second": 10, "burst_tokens": 1000,
      "requests_per_second": 1, "burst_requests": 1, "concurrent_requests": 1,
      "longest_prompt_tokens": 1000, "time_limit_ms": 1000, "share": 1 }
  ]
}"#;

const ENTRY: &str = r#"{
  "name": "entry-1",
  "data_centre": "north",
  "callers": "10.0.0.1:1",
  "peers": "10.0.0.1:2",
  "operators": "10.0.0.1:3",
  "platform": "10.0.0.9:4"
}"#;

/// Replaces `from` by `to` in the fleet file and returns the errors, or `good` if it is valid.
fn fleet(from: &str, to: &str) -> String {
    assert!(FLEET.contains(from));
    let result = settings::fleet_from_text(Path::new("fleet"), &FLEET.replace(from, to));
    result.map_or_else(|error| error.to_string(), |_| "good".to_owned())
}

/// Replaces `from` by `to` in the settings file and returns the errors, or `good` if it is valid.
fn entry(from: &str, to: &str) -> String {
    assert!(ENTRY.contains(from));
    let result = settings::entry_from_text(Path::new("entry"), &ENTRY.replace(from, to));
    result.map_or_else(|error| error.to_string(), |_| "good".to_owned())
}

fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

#[test]
fn fleet_examples_are_valid() {
    for name in ["acvariu.jsonc", "autobuses.jsonc"] {
        let fleet = settings::fleet(&examples().join(name)).unwrap();
        assert_eq!(fleet.data_centres.len(), 3);
        assert_eq!(
            fleet
                .backend_servers
                .iter()
                .filter(|it| it.engine().is_some())
                .count(),
            15
        );
        assert_eq!(
            fleet
                .backend_servers
                .iter()
                .filter(|it| it.service().is_some())
                .count(),
            3
        );
        assert_eq!(fleet.contracts.len(), 10);
    }
}

#[test]
fn entry_example_is_valid() {
    assert!(settings::entry(&examples().join("entry.jsonc")).is_ok());
}

#[test]
fn fleet_unchanged_is_valid() {
    insta::assert_snapshot!(fleet("riders", "riders"), @"good");
}

#[test]
fn fleet_unknown_key() {
    insta::assert_snapshot!(fleet("\"share\": 1 }\n", "\"share\": 1, \"shard\": 2 }\n"), @r"fleet:14: `contracts[0].shard`: unknown field `shard`, expected one of `customer`, `firm`, `key_hashes`, `tokens_per_second`, `burst_tokens`, `requests_per_second`, `burst_requests`, `concurrent_requests`, `longest_prompt_tokens`, `time_limit_ms`, `share`, `priority`, `valid_from_s`, `valid_until_s`: correct or remove it");
}

#[test]
fn fleet_wrong_unit() {
    insta::assert_snapshot!(fleet("\"time_limit_ms\": 1000", "\"time_limit_ms\": \"1s\""), @r#"fleet:14: `contracts[0].time_limit_ms`: invalid type: string "1s", expected u64: correct or remove it"#);
}

#[test]
fn fleet_zero_limit() {
    insta::assert_snapshot!(fleet("\"tokens_per_second\": 10", "\"tokens_per_second\": 0"), @r"fleet:12: `contracts[0].tokens_per_second` is zero, which allows nothing: set at least 1, or remove the whole entry");
}

#[test]
fn fleet_contract_of_unknown_firm() {
    insta::assert_snapshot!(fleet("\"firm\": \"buses\"", "\"firm\": \"busses\""), @r"fleet:10: `contracts[0].firm` refers to the unknown firm `busses`: declare it or correct it");
}

#[test]
fn fleet_duplicate_address() {
    let duplicate = r#""kind": { "type": "service", "service": "bookings" } },
    { "name": "b", "address": "10.0.0.1:80", "data_centre": "north",
      "kind": { "type": "service", "service": "bookings" } }"#;
    let original = r#""kind": { "type": "service", "service": "bookings" } }"#;
    insta::assert_snapshot!(fleet(original, duplicate), @r"fleet:8: `backend_servers[1].address` `10.0.0.1:80` appears twice: remove one or rename it");
}

#[test]
fn fleet_broken_json() {
    insta::assert_snapshot!(fleet("\"models\": [", "\"models\": ["), @"good");
    insta::assert_snapshot!(fleet("\"models\": [{", "\"models\" [{"), @r"fleet:4: is not valid JSON with comments (Expected colon after the string or word in object property on line 4 column 12): correct this line");
}

#[test]
fn entry_duplicate_address() {
    insta::assert_snapshot!(entry("10.0.0.1:2", "10.0.0.1:1"), @r"entry:5: `peers` is the same as another address: use a different port for each");
}

#[test]
fn entry_lifetime_out_of_range() {
    let too_long = "\"platform\": \"10.0.0.9:4\", \"answer_lifetime_ms\": 600000";
    insta::assert_snapshot!(entry("\"platform\": \"10.0.0.9:4\"", too_long), @r"entry:7: `answer_lifetime_ms` must be between 1 and 60000: the unit is milliseconds");
}

#[test]
fn entry_missing_key() {
    insta::assert_snapshot!(entry("  \"name\": \"entry-1\",\n", ""), @r"entry:1: `.`: missing field `name`: add it");
}
