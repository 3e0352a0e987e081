//! HTTP/1.1 exchanges over `actix-http`'s codec, one at a time on a connection.
//!
//! [`OutboundConnection`] is the calling side, [`InboundConnection`] the answering one. Both leave
//! it to their owner when to give up, and neither ever reuses a connection whose state is in doubt.

mod call;
mod inbound;
mod outbound;
mod socket;

pub use call::{CallAnswer, CallClient, CallError, OutboundCall};
pub use inbound::{InboundConnection, InboundError, InboundLimits, InboundRequest};
pub use outbound::{AnswerHead, BodyPart, ExchangeError, OutboundConnection, OutboundRequest};
pub use socket::{connect, set_socket_options};
