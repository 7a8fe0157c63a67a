//! Connections read in turns, so that a peer that always has more to read keeps no other task waiting, and tell the end
//! of what a peer sends from a failure.

use std::io::IoSlice;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use async_io::Async;
use futures_lite::future;
use h1::Error;
use h1::Stream;
use socket2::SockRef;

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

/// Guards against an idle connection whose peer is gone and that is kept longer by the number of its probes.
#[test]
fn new_probes_end_with_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address"));
    let socket = peer.expect("a connection");
    let options = socket.try_clone().expect("the same socket");
    let timeout = Duration::from_secs(4);
    let _stream = Stream::new(Async::new(socket).expect("a socket"), timeout).expect("a stream");
    let options = SockRef::from(&options);
    assert_eq!(options.tcp_user_timeout().expect("a time"), Some(timeout));
    let idle = options.tcp_keepalive_time().expect("a time");
    let interval = options.tcp_keepalive_interval().expect("a time");
    let probes = options.tcp_keepalive_retries().expect("a number");
    assert_eq!(idle + probes * interval, timeout);
}

/// How a peer ends a connection after its last bytes, without having read all that was sent to it.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It says that it sends no more, and resets the connection later.
    Close,
    /// It resets the connection.
    Reset,
}

/// Returns a connection over which the peer has sent `bytes` and which it has ended in this way.
fn ended(bytes: &[u8], end: End) -> Stream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let socket = TcpStream::connect(listener.local_addr().expect("an address"));
    let socket = Async::new(socket.expect("a connection")).expect("a socket");
    let (mut peer, _) = listener.accept().expect("a connection");
    peer.write_all(bytes).expect("sent");
    if matches!(end, End::Close) {
        peer.shutdown(Shutdown::Write).expect("an open connection");
    }
    SockRef::from(&peer)
        .set_linger(Some(Duration::ZERO))
        .expect("an open connection");
    Stream::new(socket, Duration::from_secs(4)).expect("a stream")
}

/// Writes until the connection fails.
fn write_until_failure(stream: &Stream) -> Error {
    let writer = stream.writer();
    loop {
        let mut parts = [IoSlice::new(b"more of a request")];
        if let Err(error) = writer.try_write(&mut parts.as_mut_slice()) {
            return error;
        }
        thread::sleep(Duration::from_millis(1));
    }
}

/// Reads what was sent and then reads on, twice. Returns how the first of these reads ended.
fn read_to_end(stream: &mut Stream) -> Result<usize, Error> {
    future::block_on(async {
        while stream.buffered() != b"part" {
            stream.fill().await?;
        }
        let end = stream.fill().await;
        let again = stream.fill().await;
        assert_eq!(end.is_ok(), again.is_ok(), "{end:?} {again:?}");
        end
    })
}

/// Guards against a body that breaks off and passes for whole. The kernel reports a reset once, here to the writer.
#[test]
fn fill_after_reset_during_a_write_fails() {
    let mut stream = ended(b"part", End::Reset);
    write_until_failure(&stream);
    let end = read_to_end(&mut stream);
    assert!(matches!(end, Err(Error::Io(_))), "{end:?}");
}

#[test]
fn fill_after_reset_fails_each_time() {
    let mut stream = ended(b"part", End::Reset);
    let end = read_to_end(&mut stream);
    assert!(matches!(end, Err(Error::Io(_))), "{end:?}");
}

/// Guards against a whole answer that is lost because its server did not read the rest of the request.
#[test]
fn fill_after_close_during_a_write_ends() {
    let mut stream = ended(b"part", End::Close);
    write_until_failure(&stream);
    let end = read_to_end(&mut stream);
    assert!(matches!(end, Ok(0)), "{end:?}");
}
