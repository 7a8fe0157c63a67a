//! Calls between entries whose peer has fallen silent.

use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::rc::Rc;
use std::thread;
use std::time::Duration;

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::block_on;
use entry::calls::Error;
use entry::calls::Pool;
use web::stream::within;

/// The timeout of a call that gets no answer.
const SILENCE: Duration = Duration::from_millis(100);
/// The time within which what has no stated target must happen.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const CALLS: usize = 3;

/// Starts a peer that answers nothing. Sends a message for each connection that was opened and closed again.
fn start_silent_peer() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (closed, receiver) = async_channel::unbounded();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (stream, closed) = (stream.expect("a connection"), closed.clone());
            thread::spawn(move || {
                read_to_end(stream);
                let _ = closed.send_blocking(());
            });
        }
    });
    (address, receiver)
}

fn read_to_end(mut stream: TcpStream) {
    let mut bytes = [0; 4096];
    while matches!(stream.read(&mut bytes), Ok(1..)) {}
}

/// Guards against connections that both sides keep for good after calls without an answer, one for each call.
#[test]
fn call_without_an_answer_closes_its_connection() {
    let (peer, closed) = start_silent_peer();
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let pool = Pool::default();
    block_on(executor.run(async {
        for _ in 0..CALLS {
            let answer = pool.configuration(&executor, peer, 0, SILENCE).await;
            assert!(matches!(answer, Err(Error::Unanswered(_))), "{answer:?}");
        }
        for number in 1..=CALLS {
            let end = within(WAIT_LIMIT, closed.recv()).await;
            assert!(matches!(end, Some(Ok(()))), "connection {number} is open");
        }
    }));
}
