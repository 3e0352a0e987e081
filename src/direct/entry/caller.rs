//! One caller's connection: reads requests in turn and has them answered.

use super::request;
use super::state::EntryState;
use crate::direct::entry::request::ConnectionFate;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use buckthornwharf_core::direct::CallerLimits;
use buckthornwharf_exchange::{InboundConnection, InboundError, InboundLimits};
use buckthornwharf_platform::request::entry_answer_headers;
use log::debug;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time that a caller has to end its side once the entry has ended its own.
const CLOSE_PATIENCE: Duration = Duration::from_millis(1000);

/// Answers the requests of a connection in a task of its own.
pub fn spawn(stream: TcpStream, state: Rc<EntryState>) {
    if let Err(error) = buckthornwharf_exchange::set_socket_options(&stream) {
        debug!("event=caller_not_prepared reason=\"{error}\"");
        return;
    }
    actix_rt::spawn(async move {
        let mut caller = InboundConnection::new(stream);
        if serve(&mut caller, &state).await {
            caller.finish(CLOSE_PATIENCE).await;
        }
    });
}

/// Answers requests until the connection is to end; whether it is to be ended in good order.
async fn serve(caller: &mut InboundConnection, state: &Rc<EntryState>) -> bool {
    loop {
        let limits = limits_of(&state.limits());
        match wait_request(caller, state, limits.idle_timeout).await {
            Ok(()) => {}
            Err(InboundError::IdleTimeout) => return true,
            Err(_) => return false,
        }
        let _open = state.begin_request();
        let call = match caller.read_request(&limits).await {
            Ok(call) => call,
            Err(failure) => return refuse_unread(caller, &failure).await,
        };
        match request::answer(state, caller, call).await {
            ConnectionFate::Keep if caller.keeps_alive() && !state.is_leaving() => {}
            ConnectionFate::Keep | ConnectionFate::Finish => return true,
            ConnectionFate::Drop => return false,
        }
    }
}

async fn wait_request(
    caller: &mut InboundConnection,
    state: &Rc<EntryState>,
    idle_timeout: Duration,
) -> Result<(), InboundError> {
    let mut leaving = state.leaving();
    tokio::select! {
        biased;
        waited = caller.wait_request(idle_timeout) => waited,
        _ = leaving.wait_for(|leaving| *leaving) => Err(InboundError::Closed),
    }
    .or_else(|failure| match failure {
        InboundError::Closed if state.is_leaving() => Err(InboundError::IdleTimeout),
        other => Err(other),
    })?;
    Ok(())
}

/// Answers a request that could not be read whole; whether the connection ends in good order.
async fn refuse_unread(caller: &mut InboundConnection, failure: &InboundError) -> bool {
    let status = match failure {
        InboundError::ReadTimeout => StatusCode::REQUEST_TIMEOUT,
        InboundError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        InboundError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        InboundError::Malformed => StatusCode::BAD_REQUEST,
        InboundError::Closed | InboundError::IdleTimeout | InboundError::Broken(_) => return false,
    };
    debug!("event=refused_unread status={} reason=\"{failure}\"", status.as_u16());
    let headers = entry_answer_headers(None, None);
    let put = caller.put_head(status, headers, BodySize::Sized(0), true);
    put.is_ok() && caller.flush().await.is_ok()
}

fn limits_of(limits: &CallerLimits) -> InboundLimits {
    InboundLimits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        read_timeout: limits.read_timeout,
        idle_timeout: limits.idle_timeout,
    }
}
