//! Valid heads and bodies are decoded without changes, and invalid ones are rejected.

use h1::Error;
use h1::Framing;
use h1::Headers;
use h1::Request;
use h1::Response;
use h1::body::Decoder;
use h1::body::LAST_CHUNK;
use h1::body::encode_chunk;
use proptest::prelude::*;

fn check_framing(fields: &str, expected: Option<Framing>) {
    let text = format!("POST /a HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    let parsed = Request::parse(text.as_bytes());
    match expected {
        Some(framing) => {
            let (request, length) = parsed.expect("valid input").expect("complete head");
            assert_eq!((request.framing, length), (framing, text.len()), "{fields}");
        }
        None => assert!(matches!(parsed, Err(Error::Malformed(_))), "{fields}"),
    }
}

/// Decodes `bytes` in pieces of `size` and returns the body if it is complete.
fn decode(framing: Framing, bytes: &[u8], size: usize) -> Result<Option<Vec<u8>>, Error> {
    let mut decoder = Decoder::new(framing);
    let mut buffer = Vec::new();
    let mut body = Vec::new();
    for piece in bytes.chunks(size.max(1)) {
        buffer.extend_from_slice(piece);
        let consumed = decoder.decode(&buffer, &mut body)?;
        buffer.drain(..consumed);
    }
    Ok(decoder.is_done().then_some(body))
}

#[test]
fn framing_valid_is_parsed_and_invalid_is_rejected() {
    check_framing("", Some(Framing::Empty));
    check_framing("Content-Length: 7\r\n", Some(Framing::Length(7)));
    check_framing("transfer-encoding: Chunked\r\n", Some(Framing::Chunked));
    check_framing("Content-Length: 7\r\nContent-Length: 7\r\n", None);
    check_framing("Content-Length: 7, 7\r\n", None);
    check_framing("Content-Length: -7\r\n", None);
    check_framing("Content-Length: 99999999999999999999999\r\n", None);
    check_framing("Content-Length: 7\r\nTransfer-Encoding: chunked\r\n", None);
    check_framing("Transfer-Encoding: chunked, gzip\r\n", None);
    check_framing(
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        None,
    );
}

#[test]
fn request_without_exactly_one_host_is_rejected() {
    let parse = |text: &str| Request::parse(text.as_bytes());
    assert!(parse("GET / HTTP/1.1\r\n\r\n").is_err());
    assert!(parse("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n").is_err());
    assert!(parse("GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n").is_err());
    assert!(parse("GET / HTTP/1.1\r\nHost : a\r\n\r\n").is_err());
}

/// Guards against a damaged status that is passed on, such as 000.
#[test]
fn response_with_invalid_status_is_rejected() {
    for (status, is_valid) in [
        ("000", false),
        ("020", false),
        ("099", false),
        ("100", true),
        ("599", true),
        ("600", false),
        ("999", false),
    ] {
        let text = format!("HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n");
        let parsed = Response::parse(text.as_bytes(), "GET");
        assert_eq!(parsed.is_ok(), is_valid, "{status}");
    }
}

/// Checks that no head whose field name has a byte in it that no name may have is parsed, wherever the byte is.
fn check_field_names(is_checked: impl Fn(u8) -> bool) {
    const HEAD: &str = "HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 4\r\nX-Name-Of-Over-32-Bytes-For-A-Vector: 1\r\n\r\n";
    let is_token = |it: u8| it.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&it);
    let invalid = (0..=255).filter(|it| !is_token(*it) && *it != b':' && is_checked(*it));
    let invalid: Vec<u8> = invalid.collect();
    let mut name_start = HEAD.find("\r\n").expect("a line") + 2;
    while let Some(name_length) = HEAD[name_start..].find(':') {
        for place in name_start..=name_start + name_length {
            for byte in &invalid {
                let mut head = HEAD.as_bytes().to_vec();
                head.insert(place, *byte);
                let parsed = Response::parse(&head, "GET");
                let text = head.escape_ascii();
                assert!(
                    matches!(parsed, Err(Error::Malformed(_))),
                    "{text}: {parsed:?}"
                );
            }
        }
        name_start += HEAD[name_start..].find("\r\n").expect("a line") + 2;
    }
}

#[test]
fn response_with_blank_or_control_byte_in_field_name_is_rejected() {
    check_field_names(|it| it != b'\n');
}

/// Guards against a head that ends in the name of a field, whose rest is taken for the body.
#[test]
fn response_with_line_feed_in_field_name_is_rejected() {
    check_field_names(|it| it == b'\n');
}

#[test]
fn response_whose_lines_end_without_carriage_return_is_rejected() {
    for text in [
        "HTTP/1.1 200 OK\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\n",
        "HTTP/1.1 200 OK\n\n",
    ] {
        let parsed = Response::parse(text.as_bytes(), "GET");
        assert!(
            matches!(parsed, Err(Error::Malformed(_))),
            "{text:?}: {parsed:?}"
        );
    }
}

#[test]
fn response_body_depends_on_method_and_status() {
    let framing = |method: &str, text: &str| {
        let parsed = Response::parse(text.as_bytes(), method).expect("valid input");
        parsed.expect("complete head").0.framing
    };
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(framing("GET", response), Framing::Length(3));
    assert_eq!(framing("HEAD", response), Framing::Empty);
    assert_eq!(framing("GET", "HTTP/1.1 204 N\r\n\r\n"), Framing::Empty);
    assert_eq!(
        framing("GET", "HTTP/1.1 200 OK\r\n\r\n"),
        Framing::UntilClose
    );
}

#[test]
fn headers_hop_by_hop_are_stripped() {
    let mut headers = Headers::default();
    let fields = [
        ("Connection", "close, X-Mine"),
        ("X-Mine", "1"),
        ("X-Other", "2"),
        ("Keep-Alive", "timeout=3"),
        ("TE", "trailers"),
    ];
    for (name, value) in fields {
        headers.push(name, value);
    }
    headers.strip_hop_by_hop();
    let remaining: Vec<&str> = headers.iter().map(|it| it.0).collect();
    assert_eq!(remaining, ["X-Other"]);
}

#[test]
fn decoder_truncated_body_is_an_error() {
    for (framing, bytes) in [
        (Framing::Length(5), &b"abcd"[..]),
        (Framing::Chunked, b"4\r\nabcd\r\n"),
        (Framing::Chunked, b"4\r\nabcd\r\n0\r\n"),
    ] {
        let mut decoder = Decoder::new(framing);
        decoder.decode(bytes, &mut Vec::new()).expect("valid input");
        assert!(decoder.end().is_err());
    }
    let mut decoder = Decoder::new(Framing::UntilClose);
    decoder
        .decode(b"abcd", &mut Vec::new())
        .expect("valid input");
    assert!(decoder.end().is_ok());
}

#[test]
fn decoder_malformed_chunks_are_rejected() {
    for bytes in [
        &b"zz\r\n"[..],
        b"4\r\nabcdX\r\n",
        b"-1\r\n",
        b"4 4\r\nabcd\r\n",
    ] {
        assert!(decode(Framing::Chunked, bytes, 64).is_err());
    }
}

#[test]
fn decoder_does_not_consume_the_next_message() {
    let mut decoder = Decoder::new(Framing::Length(2));
    let mut body = Vec::new();
    let consumed = decoder
        .decode(b"okHTTP/1.1", &mut body)
        .expect("valid input");
    assert_eq!((consumed, body), (2, b"ok".to_vec()));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn decoder_chunks_round_trip(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..8),
        size in 1_usize..20,
    ) {
        let mut bytes = Vec::new();
        for piece in &pieces {
            encode_chunk(piece, &mut bytes);
        }
        bytes.extend_from_slice(LAST_CHUNK);
        let body = decode(Framing::Chunked, &bytes, size).expect("valid input");
        prop_assert_eq!(body, Some(pieces.concat()));
    }

    #[test]
    fn decoder_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..200), size in 1_usize..20) {
        let _ = decode(Framing::Chunked, &bytes, size);
        let _ = Request::parse(&bytes);
        let _ = Response::parse(&bytes, "GET");
    }
}

#[test]
fn decode_trailer_without_end_is_rejected() {
    let trailer = format!("0\r\n{}", "a: b\r\n".repeat(5_000));
    let decoded = decode(Framing::Chunked, trailer.as_bytes(), 1_024);
    assert!(matches!(decoded, Err(Error::Malformed(_))), "{decoded:?}");
}
