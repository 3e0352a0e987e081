//! The HTTP server of every role: accepts connections, handles `/fault` and `/counts`, and can cut
//! connections.

use crate::call::{StandinError, StandinRequest, StandinResponse, json_ok};
use actix_http::{HttpService, KeepAlive, Method, Request};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use anyhow::{Context, Result};
use buckthornwharf_core::prelude::*;
use serde_json::Value;
use std::cell::RefCell;
use std::convert::Infallible;
use std::future::pending;
use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// Delay before the next accept after one failed, for instance because file descriptors ran out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Request handler, fault switches and counters of a stand-in.
pub trait StandinRole: 'static {
    /// Name of the role on the command line.
    const NAME: &'static str;
    /// Largest accepted request body; larger ones get status 413.
    const MAX_BODY_BYTES: usize;

    /// Handles a request.
    fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> impl Future<Output = Result<StandinResponse, StandinError>>;

    /// Sets the switches given in the JSON object `patch`.
    ///
    /// # Errors
    ///
    /// 400 if `patch` is not an object of known switches and valid values.
    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError>;

    /// Returns the counters as JSON.
    fn counts(&self) -> Value;
}

/// The open connections of a stand-in by peer address.
#[derive(Debug, Clone, Default)]
pub struct ConnectionTable {
    rows: Rc<RefCell<SortedTable<SocketAddr, AbortHandle>>>,
}

impl ConnectionTable {
    /// Closes the connection of `request` without a response.
    pub async fn cut(&self, request: &StandinRequest) -> Infallible {
        if let Some(peer) = request.peer
            && let Some(connection) = self.rows.borrow_mut().remove(&peer)
        {
            connection.abort();
        }
        pending().await
    }

    /// Closes all connections, which aborts all requests.
    pub fn cut_all(&self) {
        let rows = std::mem::take(&mut *self.rows.borrow_mut());
        for (_, connection) in rows {
            connection.abort();
        }
    }

    fn insert(&self, peer: SocketAddr, connection: AbortHandle) {
        let mut rows = self.rows.borrow_mut();
        rows.retain(|_, connection| !connection.is_finished());
        rows.insert(peer, connection);
    }
}

/// Serves `role` on `listen` indefinitely; prints the `ready` line once the socket listens.
///
/// # Errors
///
/// Fails if `listen` can't be bound; the error names it.
pub async fn serve_role<R: StandinRole>(
    role: Rc<R>,
    listen: SocketAddr,
    connections: ConnectionTable,
) -> Result<()> {
    let listener = bind(listen)?;
    print_ready(R::NAME, listener.local_addr()?)?;
    let service = fn_service(move |request| answer_request(role.clone(), request));
    accept_connections(listener, service, connections).await
}

fn bind(listen: SocketAddr) -> Result<TcpListener> {
    let listener =
        std::net::TcpListener::bind(listen).with_context(|| format!("can't listen on {listen}"))?;
    listener.set_nonblocking(true)?;
    Ok(TcpListener::from_std(listener)?)
}

fn print_ready(role: &str, address: SocketAddr) -> Result<()> {
    let mut stdout = std::io::stdout().lock();
    writeln!(stdout, "ready {role} {address}")?;
    stdout.flush()?;
    Ok(())
}

async fn accept_connections<F, S>(
    listener: TcpListener,
    service: F,
    connections: ConnectionTable,
) -> Result<()>
where
    F: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = (), Response = StandinResponse, Error = StandinError>
        + 'static,
    S::Future: 'static,
    S::InitError: std::fmt::Debug,
{
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .tcp_nodelay(true)
        .h1(service)
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        anyhow::bail!("can't create the HTTP service")
    };
    loop {
        let (stream, peer): (TcpStream, SocketAddr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accept failed, retrying in {ACCEPT_RETRY_DELAY:?}: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let connection = actix_rt::spawn(service.call(stream));
        connections.insert(peer, connection.abort_handle());
    }
}

async fn answer_request<R: StandinRole>(
    role: Rc<R>,
    request: Request,
) -> Result<StandinResponse, StandinError> {
    let request = StandinRequest::read(request, R::MAX_BODY_BYTES).await?;
    match (request.method.as_str(), request.path.as_str()) {
        ("PUT", "/fault") => {
            role.patch_switches(&request.body)?;
            json_ok(&Value::Bool(true))
        }
        (_, "/counts") if request.method == Method::GET => json_ok(&role.counts()),
        _ => role.answer(request).await,
    }
}
