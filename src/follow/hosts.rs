//! Follows the platform's list of hosts.

use crate::platform::hosts::HostsClient;
use crate::shared::HostsReceiver;
use buckthornwharf_core::membership::HostRecord;
use buckthornwharf_core::prelude::*;
use rand::RngExt;
use tokio::sync::watch;

const POLL_PERIOD: Duration = Duration::from_secs(1);

/// Polls the list of hosts and publishes what the process believes of it.
#[derive(Debug)]
pub struct HostsFollower {
    client: HostsClient,
    sender: watch::Sender<Arc<Vec<HostRecord>>>,
}

impl HostsFollower {
    /// Starts to follow the list on this thread's runtime.
    pub fn start(client: HostsClient) -> HostsReceiver {
        let (sender, receiver) = watch::channel(Arc::default());
        let follower = Self { client, sender };
        actix_rt::spawn(follower.run());
        receiver
    }

    async fn run(self) {
        while !self.sender.is_closed() {
            match self.client.list().await {
                Ok(records) => self.publish(records),
                Err(error) => log::debug!("{error}"),
            }
            let jitter = rand::rng().random_range(0.75..1.25);
            tokio::time::sleep(POLL_PERIOD.mul_f64(jitter)).await;
        }
    }

    fn publish(&self, records: Vec<HostRecord>) {
        self.sender.send_if_modified(|known| {
            if **known == records {
                return false;
            }
            *known = Arc::new(records);
            true
        });
    }
}
