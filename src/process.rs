//! What every process does round its work: signals, the control thread and the traffic thread.

use actix_rt::System;
use anyhow::{Context, Result, anyhow};
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use tokio::sync::{oneshot, watch};

/// Binds a listener, to be moved to the thread that uses it.
///
/// # Errors
///
/// Fails if the address is taken or not of this host.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener =
        TcpListener::bind(address).with_context(|| format!("can't listen on {address}"))?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Runs `control` on this thread until it ends.
///
/// # Errors
///
/// What `control` fails with.
pub fn run_control<F: Future<Output = Result<()>>>(control: F) -> Result<()> {
    System::new().block_on(control)
}

/// Starts `traffic` on a thread of its own; the receiver hears how it ended.
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

/// Waits for the end of a traffic thread.
///
/// # Errors
///
/// What the traffic failed with, or that its thread died.
pub async fn join_traffic(ended: oneshot::Receiver<Result<()>>) -> Result<()> {
    ended.await.map_err(|_| anyhow!("the traffic thread died"))?
}

/// Turns true at SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signals cannot be caught.
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
        log::info!("leaving");
        sender.send_replace(true);
        // The channel stays open, so that a wait for the signal does not end early.
        sender.closed().await;
    });
    Ok(receiver)
}
