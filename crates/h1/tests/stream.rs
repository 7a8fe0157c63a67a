//! Connections read in turns, so that a peer that always has more to read keeps no other task waiting.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;
use h1::Stream;

/// The most that is read in a turn, in bytes.
const TURN_LIMIT: usize = 16 * 1024;
/// Bytes that the kernel keeps for a reader.
const WAITING: usize = 64 * 1024;

/// Guards against an endless stream whose events keep all other requests waiting while they are split.
#[test]
fn fill_more_to_read_yields_after_each_read() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let peer = thread::spawn(move || {
        let mut peer = TcpStream::connect(address).expect("a connection");
        peer.write_all(&[b'a'; WAITING]).expect("sent");
        peer
    });
    let (socket, _) = listener.accept().expect("a connection");
    let _peer = peer.join().expect("a peer");
    let socket = Async::new(socket).expect("a socket");
    let mut stream = Stream::new(socket, Duration::from_secs(4)).expect("a stream");
    let mut turns = 0;
    while stream.buffered_len() < WAITING {
        let before = stream.buffered_len();
        let reading = async {
            while stream.buffered_len() < WAITING {
                stream.fill().await.expect("bytes");
            }
        };
        future::block_on(future::poll_once(reading));
        let read = stream.buffered_len() - before;
        assert!(read <= TURN_LIMIT, "{read} bytes in a turn");
        turns += 1;
    }
    assert!(turns >= WAITING / TURN_LIMIT);
}
