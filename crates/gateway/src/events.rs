//! Splits a stream of server-sent events, so that only whole events are passed on.

use h1::Error;
use h1::Framing;

use crate::numbering::Event;
use crate::numbering::Numbering;

/// The maximum length of an event, in bytes.
const EVENT_LIMIT: usize = 256 * 1024;

/// Splits the bytes of a stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    numbering: Numbering,
    /// Whether events are passed on whatever their ids.
    ignores_ids: bool,
    /// The number of whole events, without comments.
    event_count: u64,
    /// The number of those that the caller already had.
    known_count: u64,
    /// Whether an earlier attempt has begun the event after the last one.
    expects_event: bool,
}

impl Splitter {
    /// Returns a splitter that drops events up to the one with id `last_id`, which the caller
    /// already has.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            numbering: Numbering::after(last_id),
            ..Self::default()
        }
    }

    /// Returns a splitter for a stream that is never resumed, so that its ids don't matter.
    pub fn ignoring_ids() -> Self {
        Self {
            ignores_ids: true,
            ..Self::default()
        }
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.numbering.last()
    }

    /// Returns whether an event has a damaged id.
    pub fn has_damaged_id(&self) -> bool {
        self.numbering.is_damaged()
    }

    /// Declares the stream incomplete until another event arrives.
    pub fn expect_event(&mut self) {
        self.expects_event = true;
    }

    /// Returns whether an event after the last one has begun, here or in an earlier attempt.
    pub fn expects_event(&self) -> bool {
        self.expects_event || !(self.pending.is_empty() || self.numbering.may_repeat())
    }

    /// Returns whether another stream can go on with this one: it is known which event was the last one, or the
    /// caller has no events.
    pub fn can_resume(&self) -> bool {
        self.numbering.can_resume()
    }

    /// Returns the number of whole events in this stream, including those that were dropped.
    pub fn event_count(&self) -> u64 {
        self.event_count
    }

    /// Returns the number of whole events in this stream that the caller did not have.
    pub fn new_event_count(&self) -> u64 {
        self.event_count - self.known_count
    }

    /// Adds bytes and returns the events that they complete. Fails if the next event is too long, if they are
    /// no events, or if it is unknown whether the caller has one of them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        self.pending.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&self.pending[start..]) {
            let event = &self.pending[start..start + length];
            start += length;
            let block = Block::of(event)?;
            let is_event = !matches!(block, Block::Comment);
            self.event_count += u64::from(is_event);
            let place = match self.ignores_ids {
                true => Event::New,
                false => block.take(&mut self.numbering)?,
            };
            if place == Event::Known {
                self.known_count += 1;
                continue;
            }
            self.expects_event &= !is_event;
            out.extend_from_slice(event);
        }
        self.pending.drain(..start);
        if self.pending.len() > EVENT_LIMIT {
            return Err(Error::Malformed("event"));
        }
        Ok(out)
    }

    /// Returns the number of bytes after the last whole event.
    pub fn partial_event_len(&self) -> usize {
        self.pending.len()
    }

    /// Checks that the stream is complete at the end of its body. The end of a connection shows
    /// only that the server sends no more, so a stream that ends with it needs at least one event. A
    /// resumed stream may begin again with events that the caller has, but not end among them.
    pub fn finish(&self, framing: Framing) -> Result<(), Error> {
        let is_empty = framing == Framing::UntilClose && self.event_count == 0;
        let ends_early = self.numbering.ends_early();
        if is_empty || ends_early || self.expects_event || !self.pending.is_empty() {
            return Err(Error::Truncated);
        }
        Ok(())
    }
}

/// What the lines before a blank line are.
enum Block {
    /// An event with this id.
    Numbered(u64),
    /// An event without an id, or with one that is not a number.
    Unnumbered,
    /// Comments, or nothing.
    Comment,
}

impl Block {
    /// Fails if the lines have no field of an event, such as those of an error's text.
    fn of(bytes: &[u8]) -> Result<Self, Error> {
        if let Some(id) = event_id(bytes) {
            return Ok(Self::Numbered(id));
        }
        let lines = bytes.split(|it| *it == b'\n').map(<[u8]>::trim_ascii_end);
        let mut lines = lines.filter(|it| !it.is_empty() && !it.starts_with(b":"));
        if lines.clone().next().is_none() {
            return Ok(Self::Comment);
        }
        if lines.any(is_event_field) {
            return Ok(Self::Unnumbered);
        }
        Err(Error::Malformed("text in a stream of events"))
    }

    /// Returns whether the caller has it. Comments are always passed on.
    fn take(&self, numbering: &mut Numbering) -> Result<Event, Error> {
        match self {
            Self::Numbered(id) => numbering.take(*id),
            Self::Unnumbered => numbering.take_unnumbered(),
            Self::Comment => Ok(Event::New),
        }
    }
}

/// Returns the length of the event at the start of `bytes`, including its blank line.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        let is_blank = line.is_empty() || line == b"\r";
        line_start = index + 1;
        if is_blank {
            return Some(index + 1);
        }
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|it| *it == b'\n');
    let line = lines.find_map(|it| it.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}

fn is_event_field(line: &[u8]) -> bool {
    let name = line.split(|it| *it == b':').next();
    matches!(name, Some(b"data" | b"event" | b"id" | b"retry"))
}
