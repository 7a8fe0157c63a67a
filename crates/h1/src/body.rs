//! How bodies are delimited, and decoding them piece by piece.

use crate::Error;
use crate::Headers;

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// It has this many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing of a request. Anything that two parsers could read differently is
    /// malformed.
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
            return Err(Error::Malformed("repeated framing"));
        }
        match (length, coding) {
            (Some(_), Some(_)) => Err(Error::Malformed("length and chunks both")),
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
        return Err(Error::Malformed("length"));
    }
    let text = std::str::from_utf8(digits).map_err(|_| Error::Malformed("length"))?;
    text.parse().map_err(|_| Error::Malformed("length"))
}

/// Decodes a body from the bytes of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoder {
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// So many bytes of a body with a length are still to come.
    Length(u64),
    /// The size line of a chunk is to come.
    Size,
    /// So many bytes of the chunk are still to come.
    Chunk(u64),
    /// The line end after a chunk is to come.
    ChunkEnd,
    /// Trailer lines are to come.
    Trailer,
    /// Everything until the connection ends.
    UntilClose,
    /// The body is complete.
    Done,
}

/// The longest line of a chunk's size or of a trailer, in bytes. Senders that write longer ones
/// only waste memory.
const LINE_LIMIT: usize = 4_096;

impl Decoder {
    /// Returns a decoder for a body that is about to begin.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Done,
            Framing::Length(length) => State::Length(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Tells whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Notes that the connection ended in order. Fails unless that is where the body may end.
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

    /// Decodes from `input`, appends what it finds to `out` and returns the bytes it has used.
    pub fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Error> {
        let mut used = 0;
        while let Some(step) = self.step(&input[used..], out)? {
            used += step;
        }
        Ok(used)
    }

    /// Makes one step. Returns nothing if more input is needed or the body is complete.
    fn step(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<Option<usize>, Error> {
        match self.state {
            State::Done => Ok(None),
            _ if input.is_empty() => Ok(None),
            State::UntilClose => {
                out.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            State::Length(left) => {
                let taken = take(input, left, out);
                let left = left - taken as u64;
                self.state = if left == 0 {
                    State::Done
                } else {
                    State::Length(left)
                };
                Ok(Some(taken))
            }
            State::Chunk(left) => {
                let taken = take(input, left, out);
                let left = left - taken as u64;
                self.state = if left == 0 {
                    State::ChunkEnd
                } else {
                    State::Chunk(left)
                };
                Ok(Some(taken))
            }
            State::Size => match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((used, size))) => {
                    self.state = if size == 0 {
                        State::Trailer
                    } else {
                        State::Chunk(size)
                    };
                    Ok(Some(used))
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

/// Appends a chunk to `out`. An empty one is left out, since it would end the body.
pub fn encode_chunk(bytes: &[u8], out: &mut Vec<u8>) {
    if bytes.is_empty() {
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", bytes.len()).as_bytes());
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
}

/// The end of a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
