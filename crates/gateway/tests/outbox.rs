//! Tests of what is kept for callers that read slowly, over connections on loopback.

use std::io::Read;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;
use gateway::held::Account;
use gateway::held::Kind;
use gateway::held::Memory;
use gateway::outbox;
use gateway::outbox::Outbox;
use gateway::relay::Answer;
use gateway::relay::State;
use h1::Error;
use h1::Response;
use h1::Stream;

const ACK_TIMEOUT: Duration = Duration::from_secs(5);

/// An outbox, and the caller that its bytes are sent to.
struct Pair {
    memory: Memory,
    account: Rc<Account>,
    outbox: Rc<Outbox>,
    caller: TcpStream,
}

impl Pair {
    fn connect() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let caller = TcpStream::connect(address).expect("a connection");
        let (accepted, _) = listener.accept().expect("a connection");
        let socket = Async::new(accepted).expect("a socket");
        let stream = Stream::new(socket, ACK_TIMEOUT).expect("a stream");
        let memory = Memory::default();
        memory.set_limit(usize::MAX);
        let account = memory.open();
        let outbox = Outbox::new(stream.writer(), account.clone(), ACK_TIMEOUT);
        Self {
            memory,
            account,
            outbox: Rc::new(outbox),
            caller,
        }
    }

    /// Sends bytes until the connection takes no more and `length` bytes are kept. Returns all of them.
    fn fill(&self, length: usize) -> Vec<u8> {
        let mut sent = Vec::new();
        while self.outbox.len() < length {
            let piece = format!("{:1000}", sent.len()).into_bytes();
            self.outbox.send(&piece).expect("sent");
            sent.extend(piece);
        }
        sent
    }

    /// Reads `length` bytes in another thread while the outbox is flushed.
    fn read(&self, length: usize) -> Vec<u8> {
        let mut caller = self.caller.try_clone().expect("a connection");
        let reading = std::thread::spawn(move || {
            let mut bytes = vec![0; length];
            caller.read_exact(&mut bytes).map(|()| bytes)
        });
        let flushed = async {
            self.outbox.emptied().await;
            true
        };
        let failed = async {
            self.outbox.flush().await;
            false
        };
        assert!(future::block_on(future::or(flushed, failed)));
        reading.join().expect("a thread").expect("all bytes")
    }
}

/// Guards against bytes that wait for another task, or are counted, although the caller reads at once.
#[test]
fn send_to_caller_that_reads_is_written_at_once() {
    let mut pair = Pair::connect();
    for piece in [&b"one"[..], b"two"] {
        pair.outbox.send(piece).expect("sent");
        let mut bytes = [0; 3];
        pair.caller.read_exact(&mut bytes).expect("three bytes");
        assert_eq!(bytes, piece);
    }
    assert_eq!(pair.memory.total(), 0);
}

/// Guards against bytes that are lost, repeated or reordered, and against memory that stays in use.
#[test]
fn send_to_slow_caller_arrives_whole_and_in_order() {
    let pair = Pair::connect();
    let sent = pair.fill(100_000);
    assert!(pair.memory.used(Kind::Stream) >= 100_000);
    assert!(pair.read(sent.len()) == sent);
    assert_eq!(pair.memory.total(), 0);
}

/// Guards against a buffer without a bound, and against a wait that does not end when the caller reads.
#[test]
fn room_in_full_outbox_comes_when_the_caller_reads() {
    let pair = Pair::connect();
    let sent = pair.fill(outbox::LIMIT - 1_000);
    assert!(pair.outbox.has_room(outbox::LIMIT - pair.outbox.len()));
    assert!(!pair.outbox.has_room(outbox::LIMIT - pair.outbox.len() + 1));
    let room = pair.outbox.room(2_000);
    assert_eq!(future::block_on(future::poll_once(room)), None);
    assert!(pair.read(sent.len()) == sent);
    let room = pair.outbox.room(outbox::LIMIT + 1);
    assert_eq!(future::block_on(future::poll_once(room)), Some(()));
    // A buffer grows in steps of 16 KiB.
    assert!(pair.memory.used(Kind::Stream) <= outbox::LIMIT + 16 * 1024);
}

/// Guards against a caller that is gone and whose events are kept forever.
#[test]
fn flush_to_caller_that_disconnected_fails() {
    let pair = Pair::connect();
    pair.fill(1_000);
    pair.caller
        .shutdown(std::net::Shutdown::Both)
        .expect("a connection");
    drop(pair.caller);
    let error = future::block_on(pair.outbox.flush());
    assert!(matches!(error, Error::Io(_)), "{error}");
}

/// Guards against more writes than needed: the head goes out with the first events, and the end with the
/// last ones.
#[test]
fn end_stream_is_written_with_head_and_events() {
    let mut pair = Pair::connect();
    let mut answer = Answer::new(pair.outbox.clone(), true);
    let head = Some(Response::new(200, "OK"));
    answer.end_stream(head, b"data: d\n\n").expect("sent");
    assert_eq!(answer.state(), State::Complete);
    let mut bytes = [0; 1000];
    let length = pair.caller.read(&mut bytes).expect("a response");
    let text = String::from_utf8_lossy(&bytes[..length]);
    assert!(text.starts_with("HTTP/1.1 200 OK"), "{text}");
    assert!(text.ends_with("9\r\ndata: d\n\n\r\n0\r\n\r\n"), "{text}");
}

/// Guards against a connection that buffers the most but is not told so.
#[test]
fn send_beyond_the_limit_of_all_connections_tells_the_largest_to_close() {
    let pair = Pair::connect();
    pair.memory.set_limit(80_000);
    pair.fill(100_000);
    let closing = pair.account.closing();
    assert!(future::block_on(future::poll_once(closing)).is_some());
}
