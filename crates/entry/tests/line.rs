//! Lines of an engine's answer are parsed with their fields in any order, and malformed ones are
//! rejected.

use entry::attempt::line::Line;

fn assert_parsed(text: &str, expected: Option<Line>) {
    assert_eq!(serde_json::from_str(text).ok(), expected, "{text}");
}

#[test]
fn line_parses_chunk_and_end() {
    let chunk = |prefill_us| Line::Chunk {
        attempt: 1,
        index: 2,
        text: "a\"b ".to_owned(),
        prefill_us,
    };
    assert_parsed(
        r#"{"type":"chunk","attempt":1,"index":2,"text":"a\"b "}"#,
        Some(chunk(None)),
    );
    assert_parsed(
        r#"{"text":"a\"b ","more":[1],"prefill_us":5,"index":2,"attempt":1,"type":"chunk"}"#,
        Some(chunk(Some(5))),
    );
    assert_parsed(
        r#"{"type":"end","attempt":1,"count":3}"#,
        Some(Line::End {
            attempt: 1,
            count: 3,
        }),
    );
}

#[test]
fn line_malformed_is_rejected() {
    for text in [
        "",
        "[]",
        "{}",
        r#"{"type":"chunk","attempt":1,"index":2}"#,
        r#"{"type":"end","attempt":1}"#,
        r#"{"type":"end","attempt":-1,"count":3}"#,
        r#"{"type":"other","attempt":1,"count":3}"#,
    ] {
        assert_parsed(text, None);
    }
}
