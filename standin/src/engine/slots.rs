//! The slots of an engine's batch. Requests without a slot wait by priority, then by arrival.

use buckthornwharf_core::config::PriorityClass;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A slot in the batch; released when dropped.
#[derive(Debug)]
pub struct SlotPermit {
    queue: SlotQueue,
}

/// The free slots and the requests that wait for one.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    state: Rc<RefCell<SlotState>>,
}

#[derive(Debug)]
struct SlotState {
    free_slots: u32,
    next_sequence: u64,
    waiting: Vec<SlotWaiter>,
}

#[derive(Debug)]
struct SlotWaiter {
    sort_key: (Reverse<PriorityClass>, u64),
    sender: oneshot::Sender<SlotPermit>,
}

impl SlotQueue {
    /// Creates a queue for `slots` free slots.
    pub fn new(slots: u32) -> Self {
        let state = SlotState { free_slots: slots, next_sequence: 0, waiting: Vec::new() };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Waits for a free slot and takes it.
    pub async fn acquire(&self, priority: PriorityClass) -> SlotPermit {
        let waiter = {
            let mut state = self.state.borrow_mut();
            if state.free_slots > 0 {
                state.free_slots -= 1;
                return SlotPermit { queue: self.clone() };
            }
            state.push(priority)
        };
        match waiter.await {
            Ok(permit) => permit,
            Err(_) => std::future::pending().await,
        }
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        let state = self.state.borrow();
        state.waiting.iter().filter(|waiter| !waiter.sender.is_closed()).count()
    }

    fn release_one(&self) {
        loop {
            let mut state = self.state.borrow_mut();
            if state.waiting.is_empty() {
                state.free_slots += 1;
                return;
            }
            let waiter = state.waiting.remove(0);
            drop(state);
            if waiter.sender.is_closed() {
                continue;
            }
            let _ = waiter.sender.send(SlotPermit { queue: self.clone() });
            return;
        }
    }
}

impl SlotState {
    fn push(&mut self, priority: PriorityClass) -> oneshot::Receiver<SlotPermit> {
        let (sender, receiver) = oneshot::channel();
        let sort_key = (Reverse(priority), self.next_sequence);
        self.next_sequence += 1;
        let position = self.waiting.partition_point(|waiter| waiter.sort_key < sort_key);
        self.waiting.insert(position, SlotWaiter { sort_key, sender });
        receiver
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.release_one();
    }
}
