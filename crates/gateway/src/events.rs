//! Splits a stream of server-sent events, so that only whole events are passed on.

use h1::Error;
use h1::Framing;

/// The maximum length of an event, in bytes.
const EVENT_LIMIT: usize = 256 * 1024;

/// Splits the bytes of a stream into whole events.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    pending: Vec<u8>,
    /// The id of the last event that was passed on.
    last_id: Option<u64>,
    /// The highest id in this stream.
    highest_id: Option<u64>,
    /// The id of the event after which the stream is resumed.
    resumed_after: Option<u64>,
    /// The number of whole events, without comments.
    event_count: u64,
    /// The number of those that the caller already had.
    known_count: u64,
    /// Whether events without an id were passed on.
    has_unnumbered: bool,
    /// Whether an earlier attempt has begun the event after the last one.
    expects_event: bool,
}

impl Splitter {
    /// Returns a splitter that drops events up to the one with id `last_id`, which the caller
    /// already has.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            pending: Vec::new(),
            last_id,
            highest_id: None,
            resumed_after: last_id,
            event_count: 0,
            known_count: 0,
            has_unnumbered: false,
            expects_event: false,
        }
    }

    /// Returns the id of the last event that was passed on.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Declares the stream incomplete until another event arrives.
    pub fn expect_event(&mut self) {
        self.expects_event = true;
    }

    /// Returns whether an event after the last one has begun, here or in an earlier attempt.
    pub fn expects_event(&self) -> bool {
        let is_known = self.highest_id < self.resumed_after;
        self.expects_event || !(self.pending.is_empty() || is_known)
    }

    /// Returns whether another stream can go on with this one: it has an event to resume after, or the caller has
    /// no events.
    pub fn can_resume(&self) -> bool {
        self.last_id.is_some() || !self.has_unnumbered
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
    /// no events, or if it is unknown whether an event goes on with the stream that is resumed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Error> {
        self.pending.extend_from_slice(bytes);
        let mut out = Vec::new();
        let mut start = 0;
        while let Some(length) = event_length(&self.pending[start..]) {
            let event = &self.pending[start..start + length];
            start += length;
            let block = Block::of(event)?;
            if let Block::Numbered(id) = block {
                self.highest_id = self.highest_id.max(Some(id));
            }
            let is_event = !matches!(block, Block::Comment);
            self.event_count += u64::from(is_event);
            match block {
                Block::Numbered(id) if self.last_id.is_some_and(|it| id <= it) => {
                    self.known_count += 1;
                    continue;
                }
                Block::Numbered(id) => self.last_id = Some(id),
                Block::Unnumbered if self.is_behind() => {
                    return Err(Error::Malformed(
                        "an event without an id in a resumed stream",
                    ));
                }
                Block::Unnumbered => self.has_unnumbered = true,
                Block::Comment => {}
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
        let ends_early = self.highest_id.is_some() && self.highest_id < self.resumed_after;
        if is_empty || ends_early || self.expects_event || !self.pending.is_empty() {
            return Err(Error::Truncated);
        }
        Ok(())
    }

    /// Returns whether the stream is resumed and no event has followed the last one yet.
    fn is_behind(&self) -> bool {
        self.resumed_after.is_some() && self.resumed_after == self.last_id
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
