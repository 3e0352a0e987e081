//! Cancellations for hosts to which no link is open.

use crate::link::LinkHandle;
use buckthornwharf_core::frame::LinkFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::MAX_REQUEST_DEADLINE;

/// A cancellation to send on the next link to the same incarnation of the host.
struct LateCancel {
    id: RequestId,
    host: HostName,
    incarnation: HostIncarnation,
    recorded_at: MonoTime,
}

/// The cancellations that have not been sent.
#[derive(Default)]
pub struct LateCancels {
    pending: Vec<LateCancel>,
}

impl LateCancels {
    /// Records that request `id` must be cancelled at this incarnation of `host`.
    pub fn record(
        &mut self,
        now: MonoTime,
        id: RequestId,
        host: HostName,
        incarnation: HostIncarnation,
    ) {
        self.pending.push(LateCancel { id, host, incarnation, recorded_at: now });
    }

    /// Sends and removes the cancellations for the peer of a new link. Those for another incarnation
    /// of the host are discarded, since its requests ended with it.
    pub fn send_to(&mut self, handle: &LinkHandle) {
        let peer = &handle.peer;
        for cancel in self.pending.extract_if(.., |cancel| cancel.host == peer.host) {
            if cancel.incarnation == peer.incarnation {
                handle.send(LinkFrame::Cancel(cancel.id));
            }
        }
    }

    /// Discards the cancellations that are older than [`MAX_REQUEST_DEADLINE`], as no request runs
    /// longer.
    pub fn expire(&mut self, now: MonoTime) {
        self.pending.retain(|cancel| now.since(cancel.recorded_at) < MAX_REQUEST_DEADLINE);
    }
}
