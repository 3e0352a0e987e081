//! The HTTP server under every role: accepts connections, answers `/fault` and `/counts`, and can
//! cut connections.

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

/// Pause after an accept that failed, for instance for want of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// What a stand-in answers.
pub trait StandinRole: 'static {
    /// The role's name, as on the command line.
    const NAME: &'static str;
    /// Most bytes of a call's body; longer ones are answered 413.
    const MAX_BODY_BYTES: usize;

    /// Answers a call.
    fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> impl Future<Output = Result<StandinResponse, StandinError>>;

    /// Sets the switches that the JSON object `patch` names.
    ///
    /// # Errors
    ///
    /// 400 where the object is not understood.
    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError>;

    /// The counters.
    fn counts(&self) -> Value;
}

/// The open connections of a stand-in by the address of the other end.
#[derive(Debug, Clone, Default)]
pub struct ConnectionTable {
    rows: Rc<RefCell<SortedTable<SocketAddr, AbortHandle>>>,
}

impl ConnectionTable {
    /// Closes the connection on which `call` came, without an answer.
    pub async fn cut(&self, request: &StandinRequest) -> Infallible {
        if let Some(peer) = request.peer
            && let Some(connection) = self.rows.borrow_mut().remove(&peer)
        {
            connection.abort();
        }
        pending().await
    }

    /// Closes all connections, and with them ends all calls.
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

/// Serves `role` on `listen` for ever; prints the `ready` line once the socket listens.
///
/// # Errors
///
/// Names the address if it can't be bound.
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
    let Ok(service) = factory.new_service(()).await else { anyhow::bail!("no HTTP service") };
    loop {
        let (stream, peer): (TcpStream, SocketAddr) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                log::warn!("accept failed: {error}");
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
