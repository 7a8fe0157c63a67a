//! Attempts whose servers have fallen silent, while the request is tried at another one.
//!
//! A server that is silent for a second may be sound and go on. Its connection stays open until another attempt
//! has begun to answer, so that a retry which is denied or fails costs the caller nothing.

use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use crate::attempt::Attempt;
use crate::outbox::Outbox;

/// The interval between two checks for whether another attempt has begun to answer.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A future that completes once the server of an attempt goes on; `None` if its connection has failed.
type Hearing<'a> = Pin<Box<dyn Future<Output = Option<Box<Attempt<'a>>>> + 'a>>;

/// The attempts of a request whose servers have fallen silent.
#[derive(Default)]
pub struct Silent<'a> {
    hearings: Vec<Hearing<'a>>,
    /// The number of bytes that the caller was sent when the last of them fell silent.
    sent: usize,
}

impl<'a> Silent<'a> {
    /// Adds an attempt.
    pub fn push(&mut self, mut attempt: Box<Attempt<'a>>, outbox: &Outbox) {
        self.drop_outdated(outbox);
        self.sent = outbox.sent();
        self.hearings.push(Box::pin(async move {
            match attempt.heard().await {
                Ok(()) => {
                    attempt.log_heard();
                    Some(attempt)
                }
                Err(error) => {
                    attempt.log_lost(&error);
                    None
                }
            }
        }));
    }

    /// Completes with the result of `step`, or fails with the attempt whose server goes on before the caller
    /// was sent anything by another one.
    pub async fn race<T>(
        &mut self,
        outbox: &Outbox,
        step: impl Future<Output = T>,
    ) -> Result<T, Box<Attempt<'a>>> {
        let step = async { Ok(step.await) };
        let heard = async {
            loop {
                self.drop_outdated(outbox);
                if self.hearings.is_empty() {
                    future::pending::<()>().await;
                }
                let passed = async {
                    Timer::after(CHECK_INTERVAL).await;
                    None
                };
                let attempt = future::or(self.heard(), passed).await;
                if let Some(attempt) = attempt.filter(|_| outbox.sent() == self.sent) {
                    return Err(attempt);
                }
            }
        };
        future::or(step, heard).await
    }

    /// Completes with the attempt whose server goes on; `None` if none does.
    pub async fn wait(&mut self, outbox: &Outbox) -> Option<Box<Attempt<'a>>> {
        self.drop_outdated(outbox);
        self.heard().await
    }

    /// Drops all attempts if the caller has been sent something since: it continues another answer.
    fn drop_outdated(&mut self, outbox: &Outbox) {
        if outbox.sent() != self.sent {
            self.hearings.clear();
        }
    }

    /// Completes once the server of an attempt goes on, or the connections of all have failed.
    async fn heard(&mut self) -> Option<Box<Attempt<'a>>> {
        future::poll_fn(|context| {
            let mut index = 0;
            while let Some(hearing) = self.hearings.get_mut(index) {
                match hearing.as_mut().poll(context) {
                    Poll::Pending => index += 1,
                    Poll::Ready(attempt) => {
                        drop(self.hearings.swap_remove(index));
                        if attempt.is_some() {
                            return Poll::Ready(attempt);
                        }
                    }
                }
            }
            match self.hearings.is_empty() {
                true => Poll::Ready(None),
                false => Poll::Pending,
            }
        })
        .await
    }
}
