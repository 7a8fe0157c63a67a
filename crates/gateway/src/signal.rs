//! A condition that tasks can wait for.

use std::cell::RefCell;

use async_channel::Receiver;
use async_channel::Sender;

/// A condition that is set and cleared, and that any number of tasks can wait for.
#[derive(Debug)]
pub struct Signal {
    /// Nothing is sent on the channel. It is closed while the condition is set.
    channel: RefCell<(Sender<()>, Receiver<()>)>,
}

impl Default for Signal {
    fn default() -> Self {
        Self {
            channel: RefCell::new(async_channel::bounded(1)),
        }
    }
}

impl Signal {
    /// Sets the condition and wakes all tasks that wait for it.
    pub fn set(&self) {
        self.channel.borrow().0.close();
    }

    /// Clears the condition.
    pub fn clear(&self) {
        if self.is_set() {
            *self.channel.borrow_mut() = async_channel::bounded(1);
        }
    }

    /// Returns whether the condition is set.
    pub fn is_set(&self) -> bool {
        self.channel.borrow().0.is_closed()
    }

    /// Completes once the condition is set.
    pub async fn wait(&self) {
        let receiver = self.channel.borrow().1.clone();
        while receiver.recv().await.is_ok() {}
    }
}
