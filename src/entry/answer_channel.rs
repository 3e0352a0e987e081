//! Channel for the parts of an answer, from the links to a caller that may read slowly.

use super::caller::CallerEvent;
use std::cell::Cell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Maximum bytes of an answer that wait for their caller.
pub const MAX_UNREAD_BYTES: usize = 8 * 1024 * 1024;

/// Sends the parts of an answer.
#[derive(Debug)]
pub struct AnswerSender {
    events: mpsc::UnboundedSender<CallerEvent>,
    unread_bytes: Rc<Cell<usize>>,
}

/// Receives the parts of an answer.
#[derive(Debug)]
pub struct AnswerReceiver {
    events: mpsc::UnboundedReceiver<CallerEvent>,
    unread_bytes: Rc<Cell<usize>>,
}

/// The caller has left too much of the answer unread; nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum AnswerChannelError {
    /// the caller leaves too much of its answer unread
    Unread,
}

impl std::error::Error for AnswerChannelError {}

/// Creates the channel for an answer.
pub fn answer_channel() -> (AnswerSender, AnswerReceiver) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let unread_bytes = Rc::new(Cell::new(0));
    (
        AnswerSender { events: sender, unread_bytes: unread_bytes.clone() },
        AnswerReceiver { events: receiver, unread_bytes },
    )
}

impl AnswerSender {
    /// Sends a part of the answer. It is lost without an error if the receiver is gone.
    ///
    /// # Errors
    ///
    /// [`AnswerChannelError`] if more than [`MAX_UNREAD_BYTES`] would wait.
    pub fn send(&self, event: CallerEvent) -> Result<(), AnswerChannelError> {
        let unread_bytes = self.unread_bytes.get() + body_length(&event);
        if unread_bytes > MAX_UNREAD_BYTES {
            return Err(AnswerChannelError::Unread);
        }
        self.unread_bytes.set(unread_bytes);
        // A receiver that is gone has reported that its caller has left.
        let _ = self.events.send(event);
        Ok(())
    }
}

impl AnswerReceiver {
    /// Waits for the next part; `None` if the sender is gone. Cancel-safe.
    pub async fn recv(&mut self) -> Option<CallerEvent> {
        let event = self.events.recv().await?;
        self.unread_bytes.set(self.unread_bytes.get() - body_length(&event));
        Some(event)
    }
}

fn body_length(event: &CallerEvent) -> usize {
    match event {
        CallerEvent::Body(bytes) => bytes.len(),
        CallerEvent::Head { .. } | CallerEvent::End(_) => 0,
    }
}
