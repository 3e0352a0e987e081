//! Follows the configuration, from the key-value service and from links.

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

/// Interval of checks while no call to the key-value service is scheduled.
const IDLE_TICK_INTERVAL: Duration = Duration::from_secs(1);

/// Settings of a [`ConfigFollower`].
#[derive(Debug, Clone)]
pub struct FollowSettings {
    /// The process's host.
    pub host: HostName,
    /// The process's site.
    pub site: SiteName,
    /// Client of the key-value service.
    pub kv: KvClient,
}

/// Publishes the configuration of the highest generation seen; never returns to an older one.
#[derive(Debug)]
pub struct ConfigFollower {
    settings: FollowSettings,
    tracker: GenerationTracker,
    reader: ConfigReader,
    sender: watch::Sender<Option<Arc<ActiveConfig>>>,
}

type KvAnswer = Result<Option<KvRow>, KvError>;

impl ConfigFollower {
    /// Starts to follow on this thread's runtime. `frames` are the configurations that links receive.
    pub fn start(
        settings: FollowSettings,
        hosts: HostsReceiver,
        frames: mpsc::UnboundedReceiver<ConfigFrame>,
    ) -> ConfigReceiver {
        let (sender, receiver) = watch::channel(None);
        let reader = ConfigReader::new(settings.host.clone(), clock::now(), &mut rand::rng());
        let follower = Self { settings, tracker: GenerationTracker::default(), reader, sender };
        actix_rt::spawn(follower.run(hosts, frames));
        receiver
    }

    async fn run(
        mut self,
        mut hosts: HostsReceiver,
        mut frames: mpsc::UnboundedReceiver<ConfigFrame>,
    ) {
        let mut call: OptionFuture<LocalBoxFuture<'static, KvAnswer>> = None.into();
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
                () = tokio::time::sleep(self.time_until_due()) => self.notify_reader(ReaderEvent::Tick),
            };
            if let Some(next_call) = next_call {
                call = Some(self.start_kv_call(next_call)).into();
            }
        }
    }

    fn time_until_due(&self) -> Duration {
        self.reader.due().map_or(IDLE_TICK_INTERVAL, |due| due.since(clock::now()))
    }

    fn notify_reader(&mut self, event: ReaderEvent<'_>) -> Option<KvCall> {
        self.reader.on_event(clock::now(), event, &mut rand::rng())
    }

    fn start_kv_call(&self, call: KvCall) -> LocalBoxFuture<'static, KvAnswer> {
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
        let site_hosts: Vec<HostName> = live
            .filter(|record| record.site == self.settings.site)
            .map(|record| record.name.clone())
            .collect();
        self.notify_reader(ReaderEvent::Hosts { site_hosts: &site_hosts, fleet_size })
    }

    fn on_frame(&mut self, frame: ConfigFrame) -> Option<KvCall> {
        if frame.body.is_empty() {
            return None;
        }
        let offered = self.tracker.offer_announced(frame.generation, &frame.body);
        self.publish(frame.body, offered)
    }

    fn on_answer(&mut self, answer: KvAnswer) -> Option<KvCall> {
        match answer {
            Ok(Some(row)) => {
                let offered = self.tracker.offer(&row.value);
                self.publish(row.value, offered);
                self.notify_reader(ReaderEvent::Row { index: row.index })
            }
            Ok(None) => self.notify_reader(ReaderEvent::Absent),
            Err(error) => {
                log::debug!("configuration not read, will retry: {error}");
                self.notify_reader(ReaderEvent::Failed)
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
                log::warn!("received configuration rejected and ignored: {error}");
                return None;
            }
        };
        log::info!("configuration generation {} is active", record.generation);
        let ConfigRecord { generation, document, .. } = record;
        let active = ActiveConfig { generation, body, document };
        self.sender.send_replace(Some(Arc::new(active)));
        self.notify_reader(ReaderEvent::HasConfig)
    }
}
