//! A proxy in front of the store, whose open connections can be silenced for good.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The proxy. Each connection belongs to the generation in which it was opened.
pub struct Proxy {
    /// Connections of earlier generations are silent.
    generation: AtomicU64,
    /// When a watch of the operator's keys was passed on last.
    watched_at: Mutex<Option<Instant>>,
    watched: Condvar,
}

impl Proxy {
    /// Starts a proxy of the server at `target` and returns it with its address.
    pub fn start(target: SocketAddr) -> (Arc<Self>, SocketAddr) {
        let proxy = Arc::new(Self {
            generation: AtomicU64::new(0),
            watched_at: Mutex::new(None),
            watched: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("it is bound");
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if let Ok(server) = TcpStream::connect(target) {
                    accepting.forward(client, server);
                }
            }
        });
        (proxy, address)
    }

    /// Silences the connections that are open: they stay open and carry nothing any more.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Waits until another watch of the operator's keys is passed on; false after `timeout`.
    pub fn wait_watch(&self, timeout: Duration) -> bool {
        let asked_at = Instant::now();
        let watched_at = self.watched_at.lock().expect("no panic");
        let is_old = |at: &mut Option<Instant>| at.is_none_or(|at| at < asked_at);
        let (_watched_at, waited) =
            self.watched.wait_timeout_while(watched_at, timeout, is_old).expect("no panic");
        !waited.timed_out()
    }

    fn forward(self: &Arc<Self>, client: TcpStream, server: TcpStream) {
        let generation = self.generation.load(Ordering::SeqCst);
        for stream in [&client, &server] {
            // Only delays small packets if it fails.
            let _ = stream.set_nodelay(true);
        }
        let both = (client.try_clone().expect("a socket"), server.try_clone().expect("a socket"));
        for (mut from, mut to, is_request) in [(client, server, true), (both.1, both.0, false)] {
            let proxy = self.clone();
            thread::spawn(move || {
                let mut part = [0; 16 * 1024];
                while let Ok(count) = from.read(&mut part) {
                    if proxy.generation.load(Ordering::SeqCst) != generation {
                        // Reads on, so that nothing shows the other side that the connection is dead.
                        if count == 0 {
                            return;
                        }
                        continue;
                    }
                    if count == 0 || to.write_all(&part[..count]).is_err() {
                        // Fails if it is closed already.
                        let _ = to.shutdown(Shutdown::Both);
                        return;
                    }
                    if is_request && is_operator_watch(&part[..count]) {
                        *proxy.watched_at.lock().expect("no panic") = Some(Instant::now());
                        proxy.watched.notify_all();
                    }
                }
            });
        }
    }
}

fn is_operator_watch(bytes: &[u8]) -> bool {
    String::from_utf8_lossy(bytes).contains("/kv-watch?prefix=op/&")
}
