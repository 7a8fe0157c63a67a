//! The memory that callers' bodies, servers' answers and streams use, by the connection of the caller.
//!
//! All of them share one limit. When they exceed it, the connection that uses the most is told to close.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use h1::Error;
use h1::Stream;
use h1::body::Decoder;

use crate::signal::Signal;

/// The size limit of one answer's body, in bytes.
pub const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// The least by which a body of a declared length grows, in bytes.
const GROWTH: usize = 16 * 1024;
/// What such a body grows by, as a multiple of what has arrived.
const GROWTH_FACTOR: usize = 3;
/// Connections are told to close when this part of the limit is left, so that they stay within it until they
/// have closed.
const RESERVE_DIVISOR: usize = 8;

/// The memory that all connections use.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    shared: Rc<Shared>,
}

/// What memory is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The body of a caller's request.
    Request,
    /// The body of an answer that is kept whole.
    Answer,
    /// What a caller has not read yet of a stream, and what its server has sent beyond that.
    Stream,
}

#[derive(Debug, Default)]
struct Shared {
    limit: Cell<usize>,
    used: [Cell<usize>; Kind::ALL.len()],
    /// The part of `used` that connections use which were told to close.
    closing: Cell<usize>,
    next_id: Cell<u64>,
    holders: RefCell<BTreeMap<u64, Rc<Holder>>>,
}

/// The memory that one connection uses.
#[derive(Debug, Default)]
struct Holder {
    used: Cell<usize>,
    /// The memory it used when it was told to close.
    used_at_close: Cell<usize>,
    close: Signal,
}

/// A connection that uses memory.
#[derive(Debug)]
pub struct Account {
    shared: Rc<Shared>,
    holder: Rc<Holder>,
    id: u64,
}

/// One use of memory by a connection, which ends when this is dropped.
#[derive(Debug)]
pub struct Charge {
    shared: Rc<Shared>,
    holder: Rc<Holder>,
    kind: Kind,
    bytes: Cell<usize>,
}

/// A body. Its size counts towards the memory until it is dropped.
#[derive(Debug)]
pub struct Body {
    /// The bytes that were read.
    pub bytes: Vec<u8>,
    charge: Charge,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Request, Self::Answer, Self::Stream];

    /// Returns the name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Answer => "answer",
            Self::Stream => "stream",
        }
    }
}

impl Memory {
    /// Sets the limit of all uses together, in bytes. It takes effect when the next one grows.
    pub fn set_limit(&self, bytes: usize) {
        self.shared.limit.set(bytes);
    }

    /// Returns the limit of all uses together, in bytes.
    pub fn limit(&self) -> usize {
        self.shared.limit.get()
    }

    /// Returns the memory used for `kind`, in bytes.
    pub fn used(&self, kind: Kind) -> usize {
        self.shared.used[kind as usize].get()
    }

    /// Returns the memory used, in bytes.
    pub fn total(&self) -> usize {
        self.shared.total()
    }

    /// Returns an account for a connection.
    pub fn open(&self) -> Rc<Account> {
        let shared = self.shared.clone();
        let id = shared.next_id.get();
        shared.next_id.set(id + 1);
        let holder = Rc::new(Holder::default());
        shared.holders.borrow_mut().insert(id, holder.clone());
        Rc::new(Account { shared, holder, id })
    }
}

impl Shared {
    fn total(&self) -> usize {
        self.used.iter().map(Cell::get).sum()
    }

    /// Tells the connections that use the most to close, until the others are within the limit and the
    /// reserve is left.
    fn enforce(&self) {
        let limit = self.limit.get() - self.limit.get() / RESERVE_DIVISOR;
        while self.total() - self.closing.get() > limit {
            let holders = self.holders.borrow();
            let open = holders.values().filter(|it| !it.close.is_set());
            let Some(largest) = open.max_by_key(|it| it.used.get()) else {
                return;
            };
            let used = largest.used.get();
            if used == 0 {
                return;
            }
            largest.used_at_close.set(used);
            self.closing.set(self.closing.get() + used);
            largest.close.set();
        }
    }
}

impl Account {
    /// Returns a use of memory, of no bytes yet.
    pub fn charge(&self, kind: Kind) -> Charge {
        Charge {
            shared: self.shared.clone(),
            holder: self.holder.clone(),
            kind,
            bytes: Cell::new(0),
        }
    }

    /// Returns an empty body.
    pub fn empty_body(&self, kind: Kind) -> Body {
        Body {
            bytes: Vec::new(),
            charge: self.charge(kind),
        }
    }

    /// Reads a whole body. Fails if it has more than `limit` bytes, or if all bodies of its kind use more
    /// than `kind_limit` bytes.
    pub async fn read(
        &self,
        kind: Kind,
        stream: &mut Stream,
        decoder: &mut Decoder,
        limit: usize,
        kind_limit: usize,
    ) -> Result<Body, Error> {
        let mut body = self.empty_body(kind);
        let read = self.read_into(&mut body, stream, decoder, limit, kind_limit);
        read.await?;
        Ok(body)
    }

    /// Reads the rest of a body. No byte is lost if the future is dropped before it completes.
    pub async fn read_into(
        &self,
        body: &mut Body,
        stream: &mut Stream,
        decoder: &mut Decoder,
        limit: usize,
        kind_limit: usize,
    ) -> Result<(), Error> {
        let mut has_more = true;
        while has_more {
            reserve(&mut body.bytes, decoder);
            has_more = stream.read_body(decoder, &mut body.bytes).await?;
            body.charge.set(body.bytes.capacity());
            if body.bytes.len() > limit {
                return Err(Error::BodyTooLong(limit));
            }
            if self.shared.used[body.charge.kind as usize].get() > kind_limit {
                return Err(Error::NoMemory(kind_limit));
            }
        }
        body.bytes.shrink_to_fit();
        body.charge.set(body.bytes.capacity());
        Ok(())
    }

    /// Returns whether the connection has to be closed.
    pub fn is_closing(&self) -> bool {
        self.holder.close.is_set()
    }

    /// Completes once the connection has to be closed, and returns the number of bytes that it used when
    /// that was decided.
    pub async fn closing(&self) -> usize {
        self.holder.close.wait().await;
        self.holder.used_at_close.get()
    }
}

/// Makes room for more of a body whose length was declared. A vector that grows by itself would end up with
/// up to twice the memory.
fn reserve(bytes: &mut Vec<u8>, decoder: &Decoder) {
    let Some(remaining) = decoder.remaining() else {
        return;
    };
    let remaining = usize::try_from(remaining).unwrap_or(usize::MAX);
    if bytes.capacity() - bytes.len() < remaining.min(GROWTH) {
        bytes.reserve_exact(remaining.min(GROWTH.max(GROWTH_FACTOR * bytes.len())));
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.shared.holders.borrow_mut().remove(&self.id);
    }
}

impl Charge {
    /// Sets the number of bytes used.
    pub fn set(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        if before == bytes {
            return;
        }
        let change = |cell: &Cell<usize>| cell.set(cell.get() + bytes - before);
        change(&self.shared.used[self.kind as usize]);
        change(&self.holder.used);
        if self.holder.close.is_set() {
            change(&self.shared.closing);
        }
        if bytes > before {
            self.shared.enforce();
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.set(0);
    }
}
