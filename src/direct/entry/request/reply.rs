//! Answers to a caller: those of the entry's own, and streams that are being passed on.

use super::ConnectionFate;
use crate::direct::entry::events::EventSplitter;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::InboundConnection;
use buckthornwharf_platform::request::entry_answer_headers;

/// An answer of the entry's own, without a body.
#[derive(Debug)]
pub(super) struct OwnReply {
    pub status: StatusCode,
    pub id: Option<Arc<str>>,
    pub retry_after: Option<Duration>,
}

impl OwnReply {
    /// Sends the answer; `close` tells the caller that the connection ends with it.
    pub async fn send(self, caller: &mut InboundConnection, close: bool) -> ConnectionFate {
        let headers = entry_answer_headers(self.id.as_deref(), self.retry_after);
        let put = caller.put_head(self.status, headers, BodySize::Sized(0), close);
        if put.is_err() || caller.flush().await.is_err() {
            return ConnectionFate::Drop;
        }
        if close { ConnectionFate::Finish } else { ConnectionFate::Keep }
    }
}

/// A stream whose head the caller has got.
#[derive(Debug, Default)]
pub(super) struct StreamReply {
    pub events: EventSplitter,
    pub closes: bool,
}
