//! HTTP/1.1 exchanges over `actix-http`'s codec, one at a time per connection.
//!
//! [`OutboundConnection`] is the client side, [`InboundConnection`] the server side. Their users
//! set the timeouts. A connection in an uncertain state is never reused.

mod call;
mod framing;
mod inbound;
mod memory;
mod outbound;
mod socket;
mod uri;

pub use call::{CallAnswer, CallClient, CallError, OutboundCall};
pub use framing::AnswerFraming;
pub use inbound::{InboundConnection, InboundError, InboundLimits, InboundRequest};
pub use memory::{ConnectionMemory, Evicted, ProcessMemory};
pub use outbound::{AnswerHead, BodyPart, ExchangeError, OutboundConnection, OutboundRequest};
pub use socket::{connect, limit_buffers, set_socket_options};
pub use uri::percent_encode;
