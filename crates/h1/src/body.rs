//! Framing of bodies, incremental decoding, and encoding of chunks.

use crate::Error;
use crate::Headers;

/// The way in which a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

impl Framing {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Empty => "empty",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }

    /// Returns the framing of a request. Framing that two parsers could interpret differently is an
    /// error.
    pub fn of_request(headers: &Headers) -> Result<Self, Error> {
        let framing = Self::declared(headers)?;
        Ok(framing.unwrap_or(Self::Empty))
    }

    /// Returns the framing of a response to a request with `method`.
    pub fn of_response(method: &str, status: u16, headers: &Headers) -> Result<Self, Error> {
        let framing = Self::declared(headers)?;
        if method == "HEAD" || (100..200).contains(&status) || status == 204 || status == 304 {
            return Ok(Self::Empty);
        }
        Ok(framing.unwrap_or(Self::UntilClose))
    }

    fn declared(headers: &Headers) -> Result<Option<Self>, Error> {
        let mut lengths = headers.all("content-length");
        let mut codings = headers.all("transfer-encoding");
        let length = lengths.next().map(parse_length).transpose()?;
        let coding = codings.next();
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(Error::Malformed("repeated framing header"));
        }
        match (length, coding) {
            (Some(_), Some(_)) => Err(Error::Malformed("both content length and transfer coding")),
            (None, Some(coding)) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Self::Chunked))
            }
            (None, Some(_)) => Err(Error::Malformed("transfer coding")),
            (length, None) => Ok(length.map(Self::Length)),
        }
    }
}

fn parse_length(value: &[u8]) -> Result<u64, Error> {
    let digits = value.trim_ascii();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(Error::Malformed("content length"));
    }
    let text = std::str::from_utf8(digits).map_err(|_| Error::Malformed("content length"))?;
    text.parse().map_err(|_| Error::Malformed("content length"))
}

/// An incremental decoder of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoder {
    state: State,
    /// The number of bytes of the trailer so far.
    trailer_length: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// This many bytes of a body with a known length remain.
    Length(u64),
    /// The size line of a chunk is next.
    Size,
    /// This many bytes of the current chunk remain.
    Chunk(u64),
    /// The line ending after a chunk is next.
    ChunkEnd,
    /// A trailer line is next.
    Trailer,
    /// All bytes until the connection is closed belong to the body.
    UntilClose,
    /// The body is complete.
    Done,
}

/// The maximum length of the size line of a chunk or of a trailer line, in bytes. Longer lines would
/// only waste memory.
const LINE_LIMIT: usize = 4_096;
/// The maximum length of a trailer, in bytes.
const TRAILER_LIMIT: usize = 16_384;

impl Decoder {
    /// Returns a decoder at the start of a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            trailer_length: 0,
        }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns the number of bytes that remain, if the length of the body was declared.
    pub fn remaining(&self) -> Option<u64> {
        match self.state {
            State::Length(remaining) => Some(remaining),
            State::Done => Some(0),
            _ => None,
        }
    }

    /// Records an orderly close of the connection. Fails if the body is incomplete.
    pub fn end(&mut self) -> Result<(), Error> {
        match self.state {
            State::Done => Ok(()),
            State::UntilClose => {
                self.state = State::Done;
                Ok(())
            }
            _ => Err(Error::Truncated),
        }
    }

    /// Decodes `input`, appends the body's bytes to `out` and returns the number of input bytes
    /// consumed.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Error> {
        let mut consumed = 0;
        while let Some(step) = self.step(&input[consumed..], out)? {
            consumed += step;
        }
        Ok(consumed)
    }

    /// Performs one decoding step and returns the number of input bytes consumed. Returns `None` if
    /// more input is needed or the body is complete.
    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, Error> {
        match self.state {
            State::Done => Ok(None),
            _ if input.is_empty() => Ok(None),
            State::UntilClose => {
                out.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            State::Length(remaining) => {
                let taken = take(input, remaining, out);
                let remaining = remaining - taken as u64;
                self.state = if remaining == 0 {
                    State::Done
                } else {
                    State::Length(remaining)
                };
                Ok(Some(taken))
            }
            State::Chunk(remaining) => {
                let taken = take(input, remaining, out);
                let remaining = remaining - taken as u64;
                self.state = if remaining == 0 {
                    State::ChunkEnd
                } else {
                    State::Chunk(remaining)
                };
                Ok(Some(taken))
            }
            State::Size => match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((consumed, size))) => {
                    self.state = if size == 0 {
                        State::Trailer
                    } else {
                        State::Chunk(size)
                    };
                    Ok(Some(consumed))
                }
                Ok(httparse::Status::Partial) if input.len() < LINE_LIMIT => Ok(None),
                _ => Err(Error::Malformed("chunk size")),
            },
            State::ChunkEnd => match input {
                [b'\r', b'\n', ..] => {
                    self.state = State::Size;
                    Ok(Some(2))
                }
                [b'\r'] => Ok(None),
                _ => Err(Error::Malformed("chunk end")),
            },
            State::Trailer => {
                let Some(end) = input.iter().position(|it| *it == b'\n') else {
                    if input.len() < LINE_LIMIT {
                        return Ok(None);
                    }
                    return Err(Error::Malformed("trailer"));
                };
                if input[..end].trim_ascii().is_empty() {
                    self.state = State::Done;
                }
                self.trailer_length += end;
                if self.trailer_length > TRAILER_LIMIT {
                    return Err(Error::Malformed("trailer"));
                }
                Ok(Some(end + 1))
            }
        }
    }
}

fn take(input: &[u8], limit: u64, out: &mut Vec<u8>) -> usize {
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let taken = input.len().min(limit);
    out.extend_from_slice(&input[..taken]);
    taken
}

/// Appends a chunk to `out`. An empty chunk is omitted, since it would end the body.
pub fn encode_chunk(bytes: &[u8], out: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The last chunk, which ends a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
