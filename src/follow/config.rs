//! Follows the configuration in the key-value service and on links.

use crate::platform::kv::KvClient;
use crate::shared::{ActiveConfig, ConfigReceiver, HostsReceiver};
use buckthornwharf_core::config::budget::RetryBackoff;
use buckthornwharf_core::config::{CONFIG_KEY, ConfigRecord};
use buckthornwharf_core::frame::ConfigFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use tokio::sync::{mpsc, watch};

const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Who follows, and from where.
#[derive(Debug, Clone)]
pub struct FollowSettings {
    /// The process's host.
    pub host: HostName,
    /// The process's site.
    pub site: SiteName,
    /// The key-value service.
    pub kv: KvClient,
}

/// Publishes the newest configuration that the process has heard of; never an older one.
#[derive(Debug)]
pub struct ConfigFollower {
    settings: FollowSettings,
    sender: watch::Sender<Option<Arc<ActiveConfig>>>,
}

impl ConfigFollower {
    /// Starts to follow on this thread's runtime. `frames` are what links bring.
    pub fn start(
        settings: FollowSettings,
        _hosts: HostsReceiver,
        frames: mpsc::UnboundedReceiver<ConfigFrame>,
    ) -> ConfigReceiver {
        let (sender, receiver) = watch::channel(None);
        let follower = Arc::new(Self { settings, sender });
        actix_rt::spawn(follower.clone().follow_service());
        actix_rt::spawn(follower.follow_links(frames));
        receiver
    }

    async fn follow_links(self: Arc<Self>, mut frames: mpsc::UnboundedReceiver<ConfigFrame>) {
        while let Some(frame) = frames.recv().await {
            if !frame.body.is_empty() {
                self.offer(frame.body);
            }
        }
    }

    async fn follow_service(self: Arc<Self>) {
        let backoff = RetryBackoff::default();
        let mut index = 0;
        let mut failures = 0;
        while !self.sender.is_closed() {
            match self.settings.kv.watch(CONFIG_KEY, index, WATCH_WAIT).await {
                Ok(Some(row)) => {
                    failures = 0;
                    index = row.index;
                    self.offer(row.value);
                }
                Ok(None) => {
                    index = 0;
                    tokio::time::sleep(backoff.delay(0, &mut rand::rng())).await;
                }
                Err(error) => {
                    log::debug!("{error}");
                    tokio::time::sleep(backoff.delay(failures, &mut rand::rng())).await;
                    failures += 1;
                }
            }
        }
    }

    fn offer(&self, body: Bytes) {
        let record = match ConfigRecord::decode(&body) {
            Ok(record) => record,
            Err(error) => {
                log::warn!("a configuration is not taken: {error}");
                return;
            }
        };
        self.sender.send_if_modified(|active| {
            let current = active.as_ref().map(|active| active.generation);
            if current >= Some(record.generation) {
                return false;
            }
            let ConfigRecord { generation, document, .. } = record;
            *active = Some(Arc::new(ActiveConfig { generation, body, document }));
            true
        });
    }
}
