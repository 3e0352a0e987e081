//! The places of an engine's batch; requests beyond them wait by priority, then in order.

use buckthornwharf_core::config::PriorityClass;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::rc::Rc;
use tokio::sync::oneshot;

/// A place in the batch; freed when it is dropped.
#[derive(Debug)]
pub struct SlotPermit {
    queue: SlotQueue,
}

/// The places and who waits for them.
#[derive(Debug, Clone)]
pub struct SlotQueue {
    state: Rc<RefCell<SlotState>>,
}

#[derive(Debug)]
struct SlotState {
    free: u32,
    next_order: u64,
    waiting: Vec<SlotWaiter>,
}

#[derive(Debug)]
struct SlotWaiter {
    rank: (Reverse<PriorityClass>, u64),
    sender: oneshot::Sender<SlotPermit>,
}

impl SlotQueue {
    /// A queue before `slots` places.
    pub fn new(slots: u32) -> Self {
        let state = SlotState { free: slots, next_order: 0, waiting: Vec::new() };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Waits for a place.
    pub async fn enter(&self, priority: PriorityClass) -> SlotPermit {
        let waiter = {
            let mut state = self.state.borrow_mut();
            if state.free > 0 {
                state.free -= 1;
                return SlotPermit { queue: self.clone() };
            }
            state.push(priority)
        };
        match waiter.await {
            Ok(permit) => permit,
            Err(_) => std::future::pending().await,
        }
    }

    /// Number of requests that wait.
    pub fn waiting(&self) -> usize {
        let state = self.state.borrow();
        state.waiting.iter().filter(|waiter| !waiter.sender.is_closed()).count()
    }

    fn free_one(&self) {
        loop {
            let mut state = self.state.borrow_mut();
            if state.waiting.is_empty() {
                state.free += 1;
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
        let rank = (Reverse(priority), self.next_order);
        self.next_order += 1;
        let at = self.waiting.partition_point(|waiter| waiter.rank < rank);
        self.waiting.insert(at, SlotWaiter { rank, sender });
        receiver
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.queue.free_one();
    }
}
