//! Bounds on how long something may take.

use std::time::Duration;

use async_io::Timer;
use domain::Moment;
use futures_lite::future;

/// Waits for `work` for at most `limit`.
pub async fn within<T>(limit: Duration, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let limit = async {
        Timer::after(limit).await;
        None
    };
    future::or(work, limit).await
}

/// Waits for `work` until `deadline`.
pub async fn until<T>(deadline: Moment, work: impl Future<Output = T>) -> Option<T> {
    within(clock::now().until(deadline), work).await
}
