//! Follows the platform's list of hosts.

use crate::clock;
use crate::platform::hosts::{HostsClient, HostsReader};
use crate::shared::HostsReceiver;
use buckthornwharf_core::membership::merge::poll_interval;
use buckthornwharf_core::membership::{HostRecord, MembershipEvent, MembershipMerge};
use buckthornwharf_core::prelude::*;
use rand::RngExt;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// Polls the list of hosts, merges it with the events of links, and publishes each change.
#[derive(Debug)]
pub struct HostsFollower {
    reader: HostsReader,
    merge: MembershipMerge,
    sender: watch::Sender<Arc<Vec<HostRecord>>>,
}

impl HostsFollower {
    /// Starts to follow the list on this thread's runtime. `membership_events` come from links.
    pub fn start(
        client: HostsClient,
        membership_events: mpsc::UnboundedReceiver<MembershipEvent>,
    ) -> HostsReceiver {
        let (sender, receiver) = watch::channel(Arc::default());
        let reader = HostsReader::new(client);
        let follower = Self { reader, merge: MembershipMerge::default(), sender };
        actix_rt::spawn(follower.run(membership_events));
        receiver
    }

    async fn run(mut self, mut membership_events: mpsc::UnboundedReceiver<MembershipEvent>) {
        let mut poll_at = Instant::now();
        while !self.sender.is_closed() {
            tokio::select! {
                Some(event) = membership_events.recv() => self.apply(event),
                () = tokio::time::sleep_until(poll_at) => {
                    self.poll().await;
                    let jitter = rand::rng().random_range(0.75..1.25);
                    let period = poll_interval(self.merge.records().len());
                    poll_at = Instant::now() + period.mul_f64(jitter);
                }
            }
        }
    }

    async fn poll(&mut self) {
        match self.reader.read().await {
            Ok(records) => self.apply(MembershipEvent::List(records)),
            Err(error) => {
                log::debug!("list of hosts not refreshed, keeping the last one: {error}");
                self.apply(MembershipEvent::Tick);
            }
        }
    }

    fn apply(&mut self, event: MembershipEvent) {
        if self.merge.on_event(clock::now(), event) {
            self.sender.send_replace(self.merge.records().clone());
        }
    }
}
