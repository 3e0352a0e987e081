//! Links of an entry: dials the agents of its subset and redials after a failure.

use crate::link::{LinkEvent, LinkIdentity, dial_link, run_link};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use rand::RngExt;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Initial back-off before an agent is redialled.
const MIN_REDIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum back-off before an agent is redialled.
const MAX_REDIAL_BACKOFF: Duration = Duration::from_secs(5);

/// Keeps one link open to each chosen agent.
pub struct LinkManager {
    identity: Rc<LinkIdentity>,
    events: mpsc::UnboundedSender<LinkEvent>,
    next_id: Rc<Cell<u64>>,
    dials: SortedTable<HostName, AgentDial>,
}

struct AgentDial {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl LinkManager {
    /// A manager without links; links that it opens report to `events`.
    pub fn new(identity: LinkIdentity, events: mpsc::UnboundedSender<LinkEvent>) -> Self {
        let identity = Rc::new(identity);
        Self { identity, events, next_id: Rc::new(Cell::new(1)), dials: SortedTable::new() }
    }

    /// Dials those of `agents` that are new or whose address has changed. Returns the hosts that are
    /// no longer among them; their links stay open until [`LinkManager::drop_link`].
    pub fn set_agents(&mut self, agents: &SortedTable<HostName, SocketAddr>) -> Vec<HostName> {
        for (host, &address) in agents.iter() {
            let is_dialled = self.dials.get(host).is_some_and(|dial| dial.address == address);
            if !is_dialled {
                self.drop_link(host);
                self.dial(host, address);
            }
        }
        self.dials.keys().filter(|host| !agents.contains_key(*host)).cloned().collect()
    }

    /// Closes the link to `host`, if there is one, and stops redialling it.
    pub fn drop_link(&mut self, host: &HostName) {
        if let Some(dial) = self.dials.remove(host) {
            dial.task.abort();
        }
    }

    fn dial(&mut self, host: &HostName, address: SocketAddr) {
        let identity = self.identity.clone();
        let events = self.events.clone();
        let next_id = self.next_id.clone();
        let task = actix_rt::spawn(maintain_link(host.clone(), address, identity, events, next_id));
        self.dials.insert(host.clone(), AgentDial { address, task });
    }
}

async fn maintain_link(
    host: HostName,
    address: SocketAddr,
    identity: Rc<LinkIdentity>,
    events: mpsc::UnboundedSender<LinkEvent>,
    next_id: Rc<Cell<u64>>,
) {
    let mut backoff = MIN_REDIAL_BACKOFF;
    while !events.is_closed() {
        match dial_link(address, &identity).await {
            Ok((_, peer)) if peer.host != host => {
                log::warn!(
                    "link to {address} dropped, redialling: the peer is {}, expected {host}",
                    peer.host
                );
            }
            Ok((socket, peer)) => {
                let id = LinkId(next_id.get());
                next_id.set(id.0 + 1);
                run_link(id, socket, peer, events.clone()).await;
                backoff = MIN_REDIAL_BACKOFF;
            }
            Err(error) => log::debug!("{error:#}"),
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(backoff.mul_f64(jitter)).await;
        backoff = (backoff * 2).min(MAX_REDIAL_BACKOFF);
    }
}
