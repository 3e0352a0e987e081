//! Requests that can be cancelled by id.

use buckthornwharf_core::prelude::*;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

type RequestTable = SortedTable<String, Rc<Notify>>;

/// The waiting and running requests by id.
#[derive(Debug, Clone, Default)]
pub struct RequestRegistry {
    rows: Rc<RefCell<RequestTable>>,
}

/// A waiting or running request; unregistered when dropped.
#[derive(Debug)]
pub struct RegisteredRequest {
    rows: Rc<RefCell<RequestTable>>,
    cancel: Rc<Notify>,
}

impl RequestRegistry {
    /// Registers a request; one without an id can't be cancelled.
    pub fn add(&self, id: Option<&str>) -> RegisteredRequest {
        let cancel = Rc::new(Notify::new());
        if let Some(id) = id {
            self.rows.borrow_mut().insert(id.to_owned(), cancel.clone());
        }
        RegisteredRequest { rows: self.rows.clone(), cancel }
    }

    /// Cancels the request with this id; returns false if there is none.
    pub fn cancel(&self, id: &str) -> bool {
        let rows = self.rows.borrow();
        let Some(cancel) = rows.get(id) else { return false };
        cancel.notify_one();
        true
    }
}

impl RegisteredRequest {
    /// Returns when the request is cancelled.
    pub async fn cancelled(&self) {
        self.cancel.notified().await;
    }
}

impl Drop for RegisteredRequest {
    fn drop(&mut self) {
        self.rows.borrow_mut().retain(|_, cancel| !Rc::ptr_eq(cancel, &self.cancel));
    }
}
