//! The entry's links: dials the agents of its subset and dials again after a loss.

use crate::link::{LinkEvent, LinkIdentity, dial_link, run_link};
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::LinkId;
use rand::RngExt;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Shortest pause before an agent is dialled again.
const MIN_REDIAL_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause before an agent is dialled again.
const MAX_REDIAL_PAUSE: Duration = Duration::from_secs(5);

/// Keeps one link open to each wanted agent.
pub struct LinkKeeper {
    identity: Rc<LinkIdentity>,
    events: mpsc::UnboundedSender<LinkEvent>,
    next_id: Rc<Cell<u64>>,
    dials: SortedTable<HostName, AgentDial>,
}

struct AgentDial {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl LinkKeeper {
    /// A keeper without links, whose links will report through `events`.
    pub fn new(identity: LinkIdentity, events: mpsc::UnboundedSender<LinkEvent>) -> Self {
        let identity = Rc::new(identity);
        Self { identity, events, next_id: Rc::new(Cell::new(1)), dials: SortedTable::new() }
    }

    /// Starts to dial agents that are new among `wanted` and those whose address has changed.
    /// Returns the hosts that are wanted no more; their links stay until [`LinkKeeper::drop_link`].
    pub fn set_wanted(&mut self, wanted: &SortedTable<HostName, SocketAddr>) -> Vec<HostName> {
        for (host, &address) in wanted.iter() {
            let is_dialled = self.dials.get(host).is_some_and(|dial| dial.address == address);
            if !is_dialled {
                self.drop_link(host);
                self.dial(host, address);
            }
        }
        self.dials.keys().filter(|host| !wanted.contains_key(*host)).cloned().collect()
    }

    /// Closes the link to `host`, if there is one, and dials it no more.
    pub fn drop_link(&mut self, host: &HostName) {
        if let Some(dial) = self.dials.remove(host) {
            dial.task.abort();
        }
    }

    fn dial(&mut self, host: &HostName, address: SocketAddr) {
        let identity = self.identity.clone();
        let events = self.events.clone();
        let next_id = self.next_id.clone();
        let task = actix_rt::spawn(keep_link(host.clone(), address, identity, events, next_id));
        self.dials.insert(host.clone(), AgentDial { address, task });
    }
}

async fn keep_link(
    host: HostName,
    address: SocketAddr,
    identity: Rc<LinkIdentity>,
    events: mpsc::UnboundedSender<LinkEvent>,
    next_id: Rc<Cell<u64>>,
) {
    let mut pause = MIN_REDIAL_PAUSE;
    while !events.is_closed() {
        match dial_link(address, &identity).await {
            Ok((_, peer)) if peer.host != host => {
                log::warn!("{address} is {} and not {host}", peer.host);
            }
            Ok((socket, peer)) => {
                let id = LinkId(next_id.get());
                next_id.set(id.0 + 1);
                run_link(id, socket, peer, events.clone()).await;
                pause = MIN_REDIAL_PAUSE;
            }
            Err(error) => log::debug!("{error:#}"),
        }
        let jitter = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(pause.mul_f64(jitter)).await;
        pause = (pause * 2).min(MAX_REDIAL_PAUSE);
    }
}
