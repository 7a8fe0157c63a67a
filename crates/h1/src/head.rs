//! Parsing and encoding of the heads of requests and responses.

use std::ops::RangeInclusive;
use std::time::Duration;

use crate::Error;
use crate::Framing;
use crate::Headers;

/// The status of a server that turns a request away.
const SERVICE_UNAVAILABLE: u16 = 503;
/// The statuses of RFC 9110, section 15. Callers could not tell the class of another one.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;
/// The maximum number of header fields of a message.
const FIELD_LIMIT: usize = 128;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path and query, byte for byte as received.
    pub target: String,
    /// The header fields.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the sender keeps the connection open for further messages.
    pub is_persistent: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: String,
    /// The header fields.
    pub headers: Headers,
    /// How the body is delimited.
    pub framing: Framing,
    /// Whether the sender keeps the connection open for further messages.
    pub is_persistent: bool,
}

impl Request {
    /// Returns a request without a body.
    pub fn new(method: &str, target: &str) -> Self {
        Self {
            method: method.to_owned(),
            target: target.to_owned(),
            headers: Headers::default(),
            framing: Framing::Empty,
            is_persistent: true,
        }
    }

    /// Parses a head from the start of `bytes`. Returns the head and its length, or `None` if it is
    /// incomplete.
    pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLong(FIELD_LIMIT)),
            Err(_) => return Err(Error::Malformed("head")),
        };
        let target = parsed.path.unwrap_or_default();
        if !target.starts_with('/') {
            return Err(Error::Malformed("target"));
        }
        let headers = copy_fields(parsed.headers);
        let version = parsed.version.unwrap_or_default();
        let framing = Framing::of_request(&headers)?;
        let host_count = headers.all("host").count();
        if host_count > 1 || (version == 1 && host_count == 0) {
            return Err(Error::Malformed("host"));
        }
        let request = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target: target.to_owned(),
            is_persistent: is_persistent(version, &headers),
            framing,
            headers,
        };
        Ok(Some((request, length)))
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the query, or an empty string if there is none.
    pub fn query(&self) -> &str {
        self.target.split_once('?').map_or("", |it| it.1)
    }

    /// Encodes the head, including the fields for its framing.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(ENCODED_CAPACITY);
        for part in [&self.method, " ", &self.target, " HTTP/1.1\r\n"] {
            out.extend_from_slice(part.as_bytes());
        }
        encode_fields(&self.headers, self.framing, &mut out);
        match self.framing {
            Framing::Length(length) => encode_length(length, &mut out),
            Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
            Framing::Empty | Framing::UntilClose => {}
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

impl Response {
    /// Returns a response without a body.
    pub fn new(status: u16, reason: &str) -> Self {
        Self {
            status,
            reason: reason.to_owned(),
            headers: Headers::default(),
            framing: Framing::Length(0),
            is_persistent: true,
        }
    }

    /// Parses a head from the start of `bytes`. Returns the head and its length, or `None` if it is
    /// incomplete.
    ///
    /// `method` is the method of the request, on which the framing of the body depends.
    pub fn parse(bytes: &[u8], method: &str) -> Result<Option<(Self, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; FIELD_LIMIT];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("head")),
        };
        if !has_crlf_line_ends(&bytes[..length]) {
            return Err(Error::Malformed("line end"));
        }
        let status = parsed.code.unwrap_or_default();
        if !VALID_STATUSES.contains(&status) {
            return Err(Error::Malformed("status"));
        }
        let headers = copy_fields(parsed.headers);
        let framing = Framing::of_response(method, status, &headers)?;
        let version = parsed.version.unwrap_or_default();
        let response = Self {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            is_persistent: is_persistent(version, &headers) && framing != Framing::UntilClose,
            framing,
            headers,
        };
        Ok(Some((response, length)))
    }

    /// Returns whether the request was served.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns whether this is an interim response, after which another head follows for the same
    /// request.
    pub fn is_interim(&self) -> bool {
        (100..200).contains(&self.status)
    }

    /// Returns the pause that a server asks for, if it turned the request away; see RFC 9110, section
    /// 10.2.3. Only a time in seconds is understood, with or without a fraction.
    pub fn pause(&self) -> Option<Duration> {
        let pause = self.headers.seconds("Retry-After");
        pause.filter(|_| self.status == SERVICE_UNAVAILABLE)
    }

    /// Encodes the head, including the fields for its framing and persistence.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(ENCODED_CAPACITY);
        out.extend_from_slice(b"HTTP/1.1 ");
        out.extend_from_slice(itoa::Buffer::new().format(self.status).as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.reason.as_bytes());
        out.extend_from_slice(b"\r\n");
        encode_fields(&self.headers, self.framing, &mut out);
        match self.framing {
            Framing::Length(length) => encode_length(length, &mut out),
            Framing::Chunked => out.extend_from_slice(b"transfer-encoding: chunked\r\n"),
            Framing::Empty | Framing::UntilClose => {}
        }
        if !self.is_persistent {
            out.extend_from_slice(b"connection: close\r\n");
        }
        out.extend_from_slice(b"\r\n");
        out
    }
}

/// The initial capacity of the buffer for an encoded head, in bytes.
const ENCODED_CAPACITY: usize = 512;

/// Returns whether each line of a head ends with a carriage return and a line feed. RFC 9112, section 2.2, lets parsers
/// take a line feed alone for the end of a line, but one that got into the name of a field may end the head there.
fn has_crlf_line_ends(head: &[u8]) -> bool {
    let mut lines = head.split_inclusive(|it| *it == b'\n');
    lines.all(|it| it.ends_with(b"\r\n"))
}

fn copy_fields(fields: &[httparse::Header<'_>]) -> Headers {
    let mut headers = Headers::default();
    for field in fields {
        headers.push(field.name, field.value);
    }
    headers
}

fn is_persistent(version: u8, headers: &Headers) -> bool {
    match version {
        0 => headers.has_token("connection", "keep-alive"),
        _ => !headers.has_token("connection", "close"),
    }
}

/// Writes the fields except those that `framing` replaces. A message without a body keeps its
/// `Content-Length`, because a response to HEAD uses it for the length that the body would have.
fn encode_fields(headers: &Headers, framing: Framing, out: &mut Vec<u8>) {
    let is_kept = |name: &str| {
        let is_length = name.eq_ignore_ascii_case("content-length");
        let is_coding = name.eq_ignore_ascii_case("transfer-encoding");
        !is_coding && (!is_length || framing == Framing::Empty)
    };
    for (name, value) in headers.iter().filter(|(name, _)| is_kept(name)) {
        for part in [name.as_bytes(), b": ", value, b"\r\n"] {
            out.extend_from_slice(part);
        }
    }
}

fn encode_length(length: u64, out: &mut Vec<u8>) {
    out.extend_from_slice(b"content-length: ");
    out.extend_from_slice(itoa::Buffer::new().format(length).as_bytes());
    out.extend_from_slice(b"\r\n");
}
