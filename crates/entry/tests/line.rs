//! Lines of an engine's answer are read in any order of fields, and broken ones are refused.

use entry::attempt::line::Line;

fn check(text: &str, expected: Option<Line>) {
    assert_eq!(serde_json::from_str(text).ok(), expected, "{text}");
}

#[test]
fn line_chunk_and_end() {
    let chunk = |prefill_us| Line::Chunk {
        attempt: 1,
        index: 2,
        text: "a\"b ".to_owned(),
        prefill_us,
    };
    check(
        r#"{"type":"chunk","attempt":1,"index":2,"text":"a\"b "}"#,
        Some(chunk(None)),
    );
    check(
        r#"{"text":"a\"b ","more":[1],"prefill_us":5,"index":2,"attempt":1,"type":"chunk"}"#,
        Some(chunk(Some(5))),
    );
    check(
        r#"{"type":"end","attempt":1,"count":3}"#,
        Some(Line::End {
            attempt: 1,
            count: 3,
        }),
    );
}

#[test]
fn line_broken_is_refused() {
    for text in [
        "",
        "[]",
        "{}",
        r#"{"type":"chunk","attempt":1,"index":2}"#,
        r#"{"type":"end","attempt":1}"#,
        r#"{"type":"end","attempt":-1,"count":3}"#,
        r#"{"type":"other","attempt":1,"count":3}"#,
    ] {
        check(text, None);
    }
}
