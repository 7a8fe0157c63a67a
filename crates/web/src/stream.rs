//! A TCP connection that can be shared between the library's reader, its writer and those who watch
//! it.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use async_io::Async;
use async_io::Timer;
use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;
use futures_lite::future;

/// The pause after a failed accept, for example when file descriptors are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// A shared TCP connection.
#[derive(Clone, Debug)]
pub struct Stream(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    io: Async<TcpStream>,
    is_read_closed: AtomicBool,
}

impl Stream {
    /// Wraps an accepted connection.
    pub fn new(io: Async<TcpStream>) -> Self {
        // Tokens are small writes that must not wait for an acknowledgement.
        let _ = io.get_ref().set_nodelay(true);
        Self(Arc::new(Shared {
            io,
            is_read_closed: AtomicBool::new(false),
        }))
    }

    /// Opens a connection.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Ok(Self::new(Async::<TcpStream>::connect(address).await?))
    }

    /// Makes every later read see the end of the stream.
    pub fn close_read(&self) {
        self.0.is_read_closed.store(true, Ordering::Relaxed);
    }

    /// Tells whether reads were closed by [`Stream::close_read`].
    pub fn is_read_closed(&self) -> bool {
        self.0.is_read_closed.load(Ordering::Relaxed)
    }

    /// Tells whether the connection is open with nothing to read.
    pub fn is_idle(&self) -> bool {
        let mut byte = [0];
        let peeked = self.0.io.get_ref().peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Completes once the other side has closed the connection. If it sends more instead, this
    /// never completes: who sends has not left.
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

    /// Ends the sending side and reads what still comes, for at most `limit`, so that the last
    /// answer is not destroyed by a reset.
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
            {}
        };
        within(limit, drain).await;
    }
}

/// Returns the next connection of a listener. A failure is logged by `part` and tried again.
pub async fn accept(listener: &Async<TcpListener>, part: &str) -> Async<TcpStream> {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                log::warn!(target: part, "accept failed, retrying: {error}");
                Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Runs `future` for at most `limit`. Returns `None` if it did not complete.
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
        Pin::new(&mut &self.0.io).poll_read(cx, buffer)
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
