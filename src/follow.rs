//! Followers of the control thread: keep the active configuration and the list of hosts current.

pub mod config;
pub mod hosts;

pub use config::{ConfigFollower, FollowSettings};
pub use hosts::HostsFollower;

use crate::platform::hosts::HostsClient;
use crate::platform::kv::KvClient;
use crate::settings::ProcessSettings;
use crate::shared::{ConfigReceiver, HostsReceiver};
use buckthornwharf_core::frame::ConfigFrame;
use buckthornwharf_core::membership::MembershipEvent;
use tokio::sync::mpsc;

/// State that the control thread follows, and channels for what links receive from peers.
pub struct ControlState {
    /// The active configuration.
    pub config: ConfigReceiver,
    /// The known hosts.
    pub hosts: HostsReceiver,
    /// Client of the key-value service.
    pub kv: KvClient,
    /// Receives the configurations that peers send.
    pub config_frames: mpsc::UnboundedSender<ConfigFrame>,
    /// Receives the membership events that links observe.
    pub membership_events: mpsc::UnboundedSender<MembershipEvent>,
}

impl ControlState {
    /// Starts the followers on this thread's runtime.
    pub fn start(settings: &ProcessSettings) -> Self {
        let (config_frames, frames) = mpsc::unbounded_channel();
        let (membership_events, membership_receiver) = mpsc::unbounded_channel();
        let client = HostsClient::new(settings.platform.hosts);
        let hosts = HostsFollower::start(client, membership_receiver);
        let kv = KvClient::new(settings.platform.kv);
        let follow = FollowSettings {
            host: settings.host.clone(),
            site: settings.site.clone(),
            kv: kv.clone(),
        };
        let config = ConfigFollower::start(follow, hosts.clone(), frames);
        Self { config, hosts, kv, config_frames, membership_events }
    }
}
