//! A small HTTP/1.1 server over `actix-http` that stops gracefully.

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory};
use anyhow::{Result, anyhow};
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// Time that a caller has to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Pause after a failed accept, so that a lack of descriptors does not busy the thread.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests on `listener` by `handler` until `stop` turns true; then takes no new
/// connection, closes idle ones and returns when every answer in progress has ended.
///
/// # Errors
///
/// Fails only if the service cannot be built.
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
        // A caller that closed its side is gone: the work for it is to be cancelled.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || stopped(stop_signal.clone()))
        .finish(move |request: Request| {
            let answer = handler(request);
            async move { Ok::<_, Infallible>(answer.await) }
        })
        .tcp();
    let service = factory.new_service(()).await.map_err(|()| anyhow!("can't build the server"))?;
    let service = std::rc::Rc::new(service);
    // Each connection holds a sender; the channel closes when the last one has ended.
    let (open_sender, mut open_receiver) = mpsc::channel::<()>(1);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(stop.clone()) => break,
        };
        let Ok((stream, _)) = accepted else {
            actix_rt::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let service = service.clone();
        let open_sender = open_sender.clone();
        actix_rt::spawn(async move {
            if let Err(error) = service.call(stream).await {
                log::debug!("connection ended: {error}");
            }
            drop(open_sender);
        });
    }
    drop(listener);
    drop(open_sender);
    stop.mark_unchanged();
    while open_receiver.recv().await.is_some() {}
    Ok(())
}

async fn stopped(mut stop: watch::Receiver<bool>) {
    // An error means that the sender is gone, which stops the process as well.
    let _ = stop.wait_for(|stopped| *stopped).await;
}
