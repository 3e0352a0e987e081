//! Cancellations for hosts that have no link now.

use crate::link::LinkHandle;
use buckthornwharf_core::frame::LinkFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::MAX_REQUEST_DEADLINE;

/// A cancellation that waits for a link to the same run of its host.
struct LateCancel {
    id: RequestId,
    host: HostName,
    incarnation: HostIncarnation,
    noted: MonoTime,
}

/// The cancellations that wait.
#[derive(Default)]
pub struct LateCancels {
    waiting: Vec<LateCancel>,
}

impl LateCancels {
    /// Notes that request `id` is to be cancelled at this run of `host`.
    pub fn note(
        &mut self,
        now: MonoTime,
        id: RequestId,
        host: HostName,
        incarnation: HostIncarnation,
    ) {
        self.waiting.push(LateCancel { id, host, incarnation, noted: now });
    }

    /// Sends what waits for the peer of a new link; another run of the host has nothing to cancel.
    pub fn send(&mut self, handle: &LinkHandle) {
        let peer = &handle.peer;
        for cancel in self.waiting.extract_if(.., |cancel| cancel.host == peer.host) {
            if cancel.incarnation == peer.incarnation {
                handle.send(LinkFrame::Cancel(cancel.id));
            }
        }
    }

    /// Drops what has waited longer than any request may run.
    pub fn expire(&mut self, now: MonoTime) {
        self.waiting.retain(|cancel| now.since(cancel.noted) < MAX_REQUEST_DEADLINE);
    }
}
