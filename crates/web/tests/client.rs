//! Answers of backend servers reach the caller of the client whole, or as errors.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use async_io::block_on;
use futures_lite::future::zip;
use serde_json::Value;
use socket2::SockRef;
use web::client::Answer;
use web::client::Call;
use web::client::Client;
use web::client::Error;

const TIMEOUT: Duration = Duration::from_secs(20);
/// The timeout of a call that gets no answer.
const SILENCE: Duration = Duration::from_millis(100);
/// The number of connections that fall silent.
const SILENT: usize = 2;

/// How a server ends a connection after its answer.
#[derive(Clone, Copy)]
enum End {
    Close,
    Reset,
}

/// Starts a server that reads one request, answers with `bytes` and ends the connection.
fn serve(bytes: impl Into<Vec<u8>>, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let bytes = bytes.into();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let _ = stream.write_all(&bytes);
        if matches!(end, End::Reset) {
            // The bytes have to arrive before the reset, which discards what is still to be sent.
            thread::sleep(Duration::from_millis(50));
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    });
    address
}

fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request head");
        bytes.push(byte[0]);
    }
}

async fn send(address: SocketAddr) -> Result<Answer, Error> {
    let client = Client::default();
    client.send(&Call::get(address, "/"), TIMEOUT).await
}

fn read_body(bytes: &str, end: End) -> Result<String, Error> {
    let address = serve(bytes, end);
    block_on(async {
        let body = send(address).await?.bytes().await?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    })
}

/// Checks the body of an answer; `None` if it is incomplete.
fn check(bytes: &str, end: End, expected: Option<&str>) {
    let body = read_body(bytes, end);
    assert_eq!(body.as_deref().ok(), expected, "{bytes:?}: {body:?}");
}

#[test]
fn body_with_length_is_whole_or_error() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    check(&format!("{head}whole"), End::Close, Some("whole"));
    check(&format!("{head}who"), End::Close, None);
}

#[test]
fn body_in_chunks_is_whole_or_error() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    check(
        &format!("{head}5\r\nwhole\r\n0\r\n\r\n"),
        End::Close,
        Some("whole"),
    );
    check(&format!("{head}5\r\nwhole\r\n0\r\n"), End::Close, None);
    check(&format!("{head}5\r\nwhole\r\n"), End::Close, None);
    check(&format!("{head}5\r\nwho"), End::Close, None);
}

#[test]
fn body_until_close_is_whole_or_error() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    check(&format!("{head}whole"), End::Close, Some("whole"));
    check(&format!("{head}who"), End::Reset, None);
}

/// Guards against a part of an answer that passes for whole since its server reset the connection before it had read
/// the request.
#[test]
fn body_of_answer_that_is_reset_during_upload_is_error() {
    let address = serve("HTTP/1.1 200 OK\r\n\r\npart", End::Reset);
    let call = Call::post(address, "/", vec![b'x'; 6_000_000]);
    let body = block_on(async {
        let mut answer = Client::default().send(&call, TIMEOUT).await?;
        answer.bytes().await
    });
    assert!(body.is_err(), "{body:?}");
}

/// Guards against a server that stops after or within its head, whose answer is taken for an empty one.
#[test]
fn body_of_answer_that_stops_in_its_head_is_error() {
    let head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n";
    for length in 0..head.len() {
        check(&head[..length], End::Close, None);
    }
    check("HTTP/1.1 200 OK\r\n\r\n", End::Close, None);
    check(
        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        End::Close,
        Some(""),
    );
    check("HTTP/1.1 204 No Content\r\n\r\n", End::Close, Some(""));
    check("HTTP/1.1 404 Not Found\r\n\r\n", End::Close, Some(""));
}

#[test]
fn body_longer_than_limit_is_error() {
    let address = serve(
        [
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4100000\r\n".to_vec(),
            vec![b'a'; 0x410_0000],
            b"\r\n0\r\n\r\n".to_vec(),
        ]
        .concat(),
        End::Close,
    );
    let read = block_on(async { send(address).await?.bytes().await });
    assert!(read.is_err(), "{:?} bytes", read.map(|it| it.len()));
}

/// Checks the lines of a body, which may arrive in one piece.
fn check_lines(bytes: &str, expected: &[&str]) {
    let address = serve(bytes, End::Close);
    let lines = block_on(async {
        let mut answer = send(address).await?;
        let mut lines = Vec::new();
        while let Some(line) = answer.line().await? {
            lines.push(line);
        }
        Ok::<_, Error>(lines)
    });
    assert_eq!(lines.expect("whole lines"), expected);
}

#[test]
fn lines_until_close_are_read() {
    check_lines(
        "HTTP/1.1 200 OK\r\n\r\none\ntwo\r\nrest",
        &["one", "two", "rest"],
    );
}

#[test]
fn lines_with_length_are_read() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n";
    check_lines(&format!("{head}one\ntwo\n"), &["one", "two"]);
}

/// Starts a server that answers with `first` and then with copies of `rest` until it is closed.
fn serve_endless(first: &'static str, rest: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_request(&mut stream);
        let rest = rest.repeat(256 * 1024 / rest.len());
        let mut written = stream.write_all(first.as_bytes());
        while written.is_ok() {
            written = stream.write_all(rest.as_bytes());
        }
    });
    address
}

/// Checks that an answer without end is an error, whether it is read whole or by lines.
fn check_endless(first: &'static str, rest: &'static str) {
    let whole = block_on(async {
        let mut answer = send(serve_endless(first, rest)).await?;
        answer.bytes().await
    });
    assert!(whole.is_err(), "{first:?} {rest:?}");
    let line = block_on(async {
        let mut answer = send(serve_endless(first, rest)).await?;
        answer.line().await
    });
    assert!(line.is_err(), "{first:?} {rest:?}");
}

#[test]
fn endless_answer_is_error() {
    check_endless("HTTP/1.1 200 OK\r\nX-A: ", "a");
    check_endless("", "HTTP/1.1 100 Continue\r\n\r\n");
    check_endless("HTTP/1.1 200 OK\r\n\r\n", "a");
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    check_endless(chunked, "1");
    check_endless(chunked, "4\r\naaaa\r\n");
}

/// Starts a server whose first connections are open at the same time, answer once and then fall silent.
fn serve_falling_silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let barrier = Arc::new(Barrier::new(SILENT));
    thread::spawn(move || {
        for number in 0.. {
            let (mut stream, _) = listener.accept().expect("a connection");
            let barrier = barrier.clone();
            thread::spawn(move || {
                read_request(&mut stream);
                if number < SILENT {
                    barrier.wait();
                }
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
                stream.write_all(answer).expect("an answer");
                // Reads on, so that what is sent later is acknowledged but not answered.
                let _ = std::io::copy(&mut stream, &mut std::io::sink());
            });
        }
    });
    address
}

/// Guards against calls that wait for their whole timeout one after another, since each of them uses another one of the
/// connections that have fallen silent together.
#[test]
fn fetch_after_a_silent_connection_uses_no_other_idle_one() {
    let client = Client::default();
    let call = Call::get(serve_falling_silent(), "/");
    let fetch = |timeout| client.fetch::<Value>(&call, timeout);
    let (first, second) = block_on(zip(fetch(TIMEOUT), fetch(TIMEOUT)));
    assert!(first.is_ok() && second.is_ok(), "{first:?} {second:?}");
    let silent = block_on(fetch(SILENCE));
    assert!(
        matches!(silent, Err(Error::Unanswered { .. })),
        "{silent:?}"
    );
    let next = block_on(fetch(TIMEOUT));
    assert!(next.is_ok(), "{next:?}");
}
