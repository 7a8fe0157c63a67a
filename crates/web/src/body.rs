//! Streamed bodies: the handler writes into a channel from which the HTTP library reads.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use async_channel::Receiver;
use async_channel::Sender;
use futures_lite::AsyncBufRead;
use futures_lite::AsyncRead;
use futures_lite::Stream as _;
use http_types::Body;

/// The maximum number of buffers that are queued for a slow reader.
const QUEUE_LIMIT: usize = 256;

/// The sending side of a streamed body. Dropping it ends the body.
pub type Writer = Sender<Vec<u8>>;

/// Returns a writer and the body that contains the written bytes. Writes fail after the body is
/// dropped.
pub fn channel() -> (Writer, Body) {
    let (sender, receiver) = async_channel::bounded(QUEUE_LIMIT);
    let reader = Reader {
        receiver: Box::pin(receiver),
        buffer: Vec::new(),
        position: 0,
    };
    (sender, Body::from_reader(reader, None))
}

struct Reader {
    receiver: Pin<Box<Receiver<Vec<u8>>>>,
    buffer: Vec<u8>,
    position: usize,
}

impl AsyncBufRead for Reader {
    fn poll_fill_buf(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.position == this.buffer.len() {
            match this.receiver.as_mut().poll_next(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(None) => return Poll::Ready(Ok(&[])),
                Poll::Ready(Some(buffer)) => {
                    this.buffer = buffer;
                    this.position = 0;
                }
            }
        }
        Poll::Ready(Ok(&this.buffer[this.position..]))
    }

    fn consume(self: Pin<&mut Self>, amount: usize) {
        self.get_mut().position += amount;
    }
}

impl AsyncRead for Reader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = match self.as_mut().poll_fill_buf(cx) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(available) => available?,
        };
        let amount = available.len().min(buffer.len());
        buffer[..amount].copy_from_slice(&available[..amount]);
        self.consume(amount);
        Poll::Ready(Ok(amount))
    }
}
