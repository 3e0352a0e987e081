//! Common parts of all processes: listeners, signals, the control thread and the traffic thread.

use actix_rt::System;
use anyhow::{Context, Result, anyhow};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use tokio::sync::{oneshot, watch};

/// Binds a non-blocking listener, which the caller moves to the thread that serves it.
///
/// # Errors
///
/// Fails if the address is in use or does not belong to this host.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(address).with_context(|| format!("can't listen on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Runs the control task on this thread until it ends.
///
/// # Errors
///
/// Returns the error of `control`.
pub fn run_control<F: Future<Output = Result<()>>>(control: F) -> Result<()> {
    System::new().block_on(control)
}

/// Starts the future of `make_traffic` on a new traffic thread. The receiver gets its result.
pub fn start_traffic<M, F>(make_traffic: M) -> oneshot::Receiver<Result<()>>
where
    M: FnOnce() -> F + Send + 'static,
    F: Future<Output = Result<()>> + 'static,
{
    let (sender, receiver) = oneshot::channel();
    let arbiter = actix_rt::Arbiter::new();
    arbiter.spawn_fn(move || {
        actix_rt::spawn(async move {
            let _ = sender.send(make_traffic().await);
        });
    });
    receiver
}

/// Waits until a traffic thread has ended.
///
/// # Errors
///
/// Returns the error of the traffic task, or fails if its thread ended without a result.
pub async fn join_traffic(result: oneshot::Receiver<Result<()>>) -> Result<()> {
    result.await.map_err(|_| anyhow!("the traffic thread ended without a result"))?
}

/// Returns a receiver that becomes true at SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
pub fn shutdown_signal() -> Result<watch::Receiver<bool>> {
    use actix_rt::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let (sender, receiver) = watch::channel(false);
    actix_rt::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("received SIGTERM or SIGINT, shutting down");
        sender.send_replace(true);
        // Dropping the sender would wake the receivers with an error, so it is kept until they are gone.
        sender.closed().await;
    });
    Ok(receiver)
}
