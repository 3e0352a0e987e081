//! HTTP/1.1 server on top of `actix-http`, with graceful shutdown.

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory};
use anyhow::{Result, anyhow};
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Timeout for receiving the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Pause after a failed accept, so that a shortage of file descriptors does not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves requests on `listener` with `handler` until `stop` becomes true. Then it stops accepting
/// connections, closes idle ones and returns once all responses in flight have ended.
///
/// # Errors
///
/// Fails only if the HTTP service can't be built.
pub async fn serve_http<H, F>(
    listener: TcpListener,
    mut stop: watch::Receiver<bool>,
    handler: H,
) -> Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<BoxBody>> + 'static,
{
    let stop_signal = stop.clone();
    let factory = HttpService::<TcpStream, _, _>::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(HEAD_TIMEOUT)
        .tcp_nodelay(true)
        // A caller that closes its side of the connection has gone away; its request must be cancelled.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || wait_for_stop(stop_signal.clone()))
        .finish(move |request: Request| {
            let response = handler(request);
            async move { Ok::<_, Infallible>(response.await) }
        })
        .tcp();
    let service =
        factory.new_service(()).await.map_err(|()| anyhow!("can't build the HTTP service"))?;
    let service = std::rc::Rc::new(service);
    // Each connection holds a guard (a sender), so the channel closes when the last one has ended.
    let (connection_guard, mut connections_closed) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(stop.clone()) => break,
        };
        let Ok((stream, _)) = accepted else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let service = service.clone();
        let connection_guard = connection_guard.clone();
        actix_rt::spawn(async move {
            if let Err(error) = service.call(stream).await {
                log::debug!("HTTP connection ended with an error: {error}");
            }
            drop(connection_guard);
        });
    }
    drop(listener);
    drop(connection_guard);
    stop.mark_unchanged();
    while connections_closed.recv().await.is_some() {}
    Ok(())
}

async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also stops the server.
    let _ = stop.wait_for(|stopped| *stopped).await;
}
