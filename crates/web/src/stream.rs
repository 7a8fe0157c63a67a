//! TCP connection that is shared between the HTTP library's reader and writer and the tasks that
//! monitor it.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::future;

/// The delay before the next attempt after a failed accept, for example when no file descriptors are
/// left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// The number of reads after which a connection that always has more to read yields to other tasks.
const READS_PER_TURN: u32 = 16;

/// A shared TCP connection.
#[derive(Clone, Debug)]
pub struct Stream(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    io: Async<TcpStream>,
    is_read_closed: AtomicBool,
    /// The number of reads since other tasks could run.
    reads: AtomicU32,
}

impl Stream {
    /// Wraps an accepted connection.
    pub fn new(io: Async<TcpStream>) -> Self {
        // Tokens are small writes. With Nagle's algorithm, they would wait for an acknowledgement.
        let _ = io.get_ref().set_nodelay(true);
        Self(Arc::new(Shared {
            io,
            is_read_closed: AtomicBool::new(false),
            reads: AtomicU32::new(0),
        }))
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(Async::<TcpStream>::connect(address).await?))
    }

    /// Makes all subsequent reads return the end of the stream.
    pub fn close_read(&self) {
        self.0.is_read_closed.store(true, Ordering::Relaxed);
    }

    /// Returns whether reads were closed by [`Stream::close_read`].
    pub fn is_read_closed(&self) -> bool {
        self.0.is_read_closed.load(Ordering::Relaxed)
    }

    /// Returns whether the connection is open and has no unread bytes.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.0.io.get_ref().peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Completes when the peer has closed the connection. If the peer sends more bytes instead, it is
    /// still connected, and this never completes.
    pub async fn closed(&self) {
        loop {
            if self.0.io.readable().await.is_err() {
                return;
            }
            let mut byte = [0];
            match self.0.io.get_ref().peek(&mut byte) {
                Ok(0) => return,
                Ok(_) => return future::pending().await,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }

    /// Shuts down the sending side and discards incoming bytes for at most `limit`. Closing with
    /// unread bytes would reset the connection, and the peer could lose the last response.
    pub async fn linger(&self, limit: Duration) {
        let _ = self.0.io.get_ref().shutdown(std::net::Shutdown::Write);
        let drain = async {
            let mut buffer = vec![0; 64 * 1024];
            while self
                .0
                .io
                .read_with(|mut io| io::Read::read(&mut io, &mut buffer))
                .await
                .is_ok_and(|n| n > 0)
            {
                // A sender that is faster than this reader must not keep other tasks waiting.
                future::yield_now().await;
            }
        };
        within(limit, drain).await;
    }
}

/// Accepts the next connection of a listener. Failures are logged under the target `part` and
/// retried.
pub async fn accept(listener: &Async<TcpListener>, part: &str) -> Async<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                log::warn!(target: part, "accept failed, retrying: {error}");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Runs `future` with a timeout of `limit`. Returns `None` if the timeout expires.
pub async fn within<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    futures_lite::future::or(async { Some(future.await) }, async {
        Timer::after(limit).await;
        None
    })
    .await
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.is_read_closed() {
            return Poll::Ready(Ok(0));
        }
        if self.0.reads.fetch_add(1, Ordering::Relaxed) >= READS_PER_TURN {
            self.0.reads.store(0, Ordering::Relaxed);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut &self.0.io).poll_read(cx, buffer);
        if read.is_pending() {
            self.0.reads.store(0, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.0.io).poll_write(cx, buffer)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.io).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.io).poll_close(cx)
    }
}
