//! Serves a caller's connection: reads its requests one after the other and responds to them.

use super::request;
use super::state::{EntryState, RequestGuard};
use crate::direct::entry::request::ConnectionAction;
use actix_http::StatusCode;
use actix_http::body::BodySize;
use buckthornwharf_core::direct::CallerLimits;
use buckthornwharf_core::direct::memory::ConnectionKind;
use buckthornwharf_exchange::{InboundConnection, InboundError, InboundLimits};
use buckthornwharf_platform::request::entry_answer_headers;
use log::debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time that a caller has to close its side of the connection after the entry has closed its own.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1000);

/// The same if the caller's memory or connection is needed for others.
const EVICTED_CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a caller may retry whose request was refused since the memory for requests is spent. Requests
/// that stall are evicted within this time.
const NO_MEMORY_RETRY_AFTER: Duration = Duration::from_millis(1000);

/// Time after the shutdown signal for which a new connection may still send its first request.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(1000);

/// Spawns a task that serves the requests of a connection.
pub fn spawn(stream: TcpStream, source: SocketAddr, state: Rc<EntryState>) {
    let Some(memory) = state.guard.admit(ConnectionKind::Caller, source) else {
        return;
    };
    if let Err(error) = buckthornwharf_exchange::set_socket_options(&stream) {
        debug!("event=caller_not_prepared reason=\"{error}\"");
        return;
    }
    // Counted from the start, so that a shutdown waits for the first request.
    let first_request = state.begin_request();
    actix_rt::spawn(async move {
        let mut caller = InboundConnection::with_memory(stream, memory);
        if let Some(close_timeout) = serve(&mut caller, &state, first_request).await {
            caller.finish(close_timeout).await;
        }
    });
}

/// Serves requests until the connection has to end. Returns the time that the caller has to close its side if
/// it should be closed gracefully.
async fn serve(
    caller: &mut InboundConnection,
    state: &Rc<EntryState>,
    first_request: RequestGuard,
) -> Option<Duration> {
    let mut first_request = Some(first_request);
    loop {
        let limits = inbound_limits(&state.limits());
        let shutdown_time = match first_request {
            Some(_) => FIRST_REQUEST_TIME,
            None => Duration::ZERO,
        };
        match wait_request(caller, state, limits.idle_timeout, shutdown_time).await {
            Ok(()) => {}
            Err(InboundError::IdleTimeout) => return Some(CLOSE_TIMEOUT),
            Err(failure) => {
                state.guard.count_unread(&failure);
                return None;
            }
        }
        let _request_guard = first_request.take().unwrap_or_else(|| state.begin_request());
        let inbound = match caller.read_request(&limits).await {
            Ok(inbound) => inbound,
            Err(failure) => return refuse_unread(caller, state, &failure).await,
        };
        match request::handle(state, caller, inbound).await {
            ConnectionAction::KeepAlive if caller.keeps_alive() && !state.is_shutting_down() => {
                if caller.has_read_ahead() {
                    // Others go first: a caller may send requests faster than they are answered.
                    tokio::task::yield_now().await;
                }
            }
            ConnectionAction::KeepAlive | ConnectionAction::Close => return Some(CLOSE_TIMEOUT),
            ConnectionAction::Abort => return None,
        }
    }
}

/// Waits for the next request, at most until `shutdown_time` after the shutdown signal or, if it has been
/// sent before, from now.
async fn wait_request(
    caller: &mut InboundConnection,
    state: &Rc<EntryState>,
    idle_timeout: Duration,
    shutdown_time: Duration,
) -> Result<(), InboundError> {
    let mut shutdown = state.shutdown();
    let shut_down = async {
        // An error means that the sender is gone, so the process ends anyway.
        let _ = shutdown.wait_for(|shutdown| *shutdown).await;
        actix_rt::time::sleep(shutdown_time).await;
    };
    tokio::select! {
        biased;
        waited = caller.wait_request(idle_timeout) => waited,
        () = shut_down => Err(InboundError::Closed),
    }
    .or_else(|failure| match failure {
        InboundError::Closed if state.is_shutting_down() => Err(InboundError::IdleTimeout),
        other => Err(other),
    })?;
    Ok(())
}

/// Responds to a request that could not be read completely. Returns the time that the caller has to close its side
/// if the connection should be closed gracefully.
async fn refuse_unread(
    caller: &mut InboundConnection,
    state: &EntryState,
    failure: &InboundError,
) -> Option<Duration> {
    state.guard.count_unread(failure);
    let mut retry_after = None;
    let mut close_timeout = CLOSE_TIMEOUT;
    let status = match failure {
        InboundError::ReadTimeout => StatusCode::REQUEST_TIMEOUT,
        InboundError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        InboundError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        InboundError::Malformed => StatusCode::BAD_REQUEST,
        InboundError::NoMemory => {
            retry_after = Some(NO_MEMORY_RETRY_AFTER);
            close_timeout = EVICTED_CLOSE_TIMEOUT;
            StatusCode::SERVICE_UNAVAILABLE
        }
        InboundError::Closed | InboundError::IdleTimeout | InboundError::Broken(_) => return None,
    };
    debug!("event=refused_unread status={} reason=\"{failure}\"", status.as_u16());
    let headers = entry_answer_headers(None, retry_after);
    let buffered = caller.put_head(status, headers, BodySize::Sized(0), true);
    let is_sent = buffered.is_ok() && caller.flush().await.is_ok();
    is_sent.then_some(close_timeout)
}

fn inbound_limits(limits: &CallerLimits) -> InboundLimits {
    InboundLimits {
        head_bytes: limits.head_bytes,
        body_bytes: limits.body_bytes,
        read_timeout: limits.read_timeout,
        idle_timeout: limits.idle_timeout,
    }
}
