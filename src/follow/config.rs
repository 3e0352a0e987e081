//! Follows the configuration in the key-value service and on links.

use crate::clock;
use crate::platform::kv::{KvClient, KvError, KvRow};
use crate::shared::{ActiveConfig, ConfigReceiver, HostsReceiver};
use buckthornwharf_core::config::reader::WATCH_TIMEOUT;
use buckthornwharf_core::config::{
    CONFIG_KEY, ConfigReader, ConfigRecord, GenerationTracker, KvCall, OfferError, ReaderEvent,
};
use buckthornwharf_core::frame::ConfigFrame;
use buckthornwharf_core::membership::{HostPhase, HostRecord};
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, OptionFuture};
use tokio::sync::{mpsc, watch};

const IDLE_TICK: Duration = Duration::from_secs(1);

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

/// Publishes the newest configuration that the process has seen; never an older one.
#[derive(Debug)]
pub struct ConfigFollower {
    settings: FollowSettings,
    holder: GenerationTracker,
    reader: ConfigReader,
    sender: watch::Sender<Option<Arc<ActiveConfig>>>,
}

type ServiceAnswer = Result<Option<KvRow>, KvError>;

impl ConfigFollower {
    /// Starts to follow on this thread's runtime. `frames` are the bodies that links bring.
    pub fn start(
        settings: FollowSettings,
        hosts: HostsReceiver,
        frames: mpsc::UnboundedReceiver<ConfigFrame>,
    ) -> ConfigReceiver {
        let (sender, receiver) = watch::channel(None);
        let reader = ConfigReader::new(settings.host.clone(), clock::now(), &mut rand::rng());
        let follower = Self { settings, holder: GenerationTracker::default(), reader, sender };
        actix_rt::spawn(follower.run(hosts, frames));
        receiver
    }

    async fn run(
        mut self,
        mut hosts: HostsReceiver,
        mut frames: mpsc::UnboundedReceiver<ConfigFrame>,
    ) {
        let mut call: OptionFuture<LocalBoxFuture<'static, ServiceAnswer>> = None.into();
        while !self.sender.is_closed() {
            let next_call = tokio::select! {
                Some(frame) = frames.recv() => self.on_frame(frame),
                Ok(()) = hosts.changed() => {
                    let records = hosts.borrow_and_update().clone();
                    self.on_hosts(&records)
                }
                Some(answer) = &mut call => {
                    call = None.into();
                    self.on_answer(answer)
                }
                () = tokio::time::sleep(self.until_due()) => self.tell(ReaderEvent::Tick),
            };
            if let Some(next_call) = next_call {
                call = Some(self.start_call(next_call)).into();
            }
        }
    }

    fn until_due(&self) -> Duration {
        self.reader.due().map_or(IDLE_TICK, |due| due.since(clock::now()))
    }

    fn tell(&mut self, event: ReaderEvent<'_>) -> Option<KvCall> {
        self.reader.on_event(clock::now(), event, &mut rand::rng())
    }

    fn start_call(&self, call: KvCall) -> LocalBoxFuture<'static, ServiceAnswer> {
        let kv = self.settings.kv.clone();
        match call {
            KvCall::Read => Box::pin(async move { kv.get(CONFIG_KEY).await }),
            KvCall::Watch { after_index } => {
                Box::pin(async move { kv.watch(CONFIG_KEY, after_index, WATCH_TIMEOUT).await })
            }
        }
    }

    fn on_hosts(&mut self, records: &[HostRecord]) -> Option<KvCall> {
        let live = records.iter().filter(|record| record.phase == HostPhase::Live);
        let fleet_size = live.clone().count();
        let site: Vec<HostName> = live
            .filter(|record| record.site == self.settings.site)
            .map(|record| record.name.clone())
            .collect();
        self.tell(ReaderEvent::Hosts { site_hosts: &site, fleet_size })
    }

    fn on_frame(&mut self, frame: ConfigFrame) -> Option<KvCall> {
        if frame.body.is_empty() {
            return None;
        }
        let offered = self.holder.offer_announced(frame.generation, &frame.body);
        self.publish(frame.body, offered)
    }

    fn on_answer(&mut self, answer: ServiceAnswer) -> Option<KvCall> {
        match answer {
            Ok(Some(row)) => {
                let offered = self.holder.offer(&row.value);
                self.publish(row.value, offered);
                self.tell(ReaderEvent::Row { index: row.index })
            }
            Ok(None) => self.tell(ReaderEvent::Absent),
            Err(error) => {
                log::debug!("{error}");
                self.tell(ReaderEvent::Failed)
            }
        }
    }

    fn publish(
        &mut self,
        body: Bytes,
        offered: Result<Option<ConfigRecord>, OfferError>,
    ) -> Option<KvCall> {
        let record = match offered {
            Ok(Some(record)) => record,
            Ok(None) => return None,
            Err(error) => {
                log::warn!("a configuration is not taken: {error}");
                return None;
            }
        };
        log::info!("configuration generation {} is in force", record.generation);
        let ConfigRecord { generation, document, .. } = record;
        let active = ActiveConfig { generation, body, document };
        self.sender.send_replace(Some(Arc::new(active)));
        self.tell(ReaderEvent::HasConfig)
    }
}
