//! Keeps what the control thread believes current: the configuration in force and the hosts.

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

/// What the control thread follows, and where links tell it what they hear.
pub struct ControlState {
    /// The configuration in force.
    pub config: ConfigReceiver,
    /// The hosts that the process believes in.
    pub hosts: HostsReceiver,
    /// The key-value service.
    pub kv: KvClient,
    /// Takes the configurations that peers send.
    pub config_frames: mpsc::UnboundedSender<ConfigFrame>,
    /// Takes what links tell of their peers.
    pub signs: mpsc::UnboundedSender<MembershipEvent>,
}

impl ControlState {
    /// Starts to follow on this thread's runtime.
    pub fn start(settings: &ProcessSettings) -> Self {
        let (config_frames, frames) = mpsc::unbounded_channel();
        let (signs, sign_receiver) = mpsc::unbounded_channel();
        let client = HostsClient::new(settings.platform.hosts);
        let hosts = HostsFollower::start(client, sign_receiver);
        let kv = KvClient::new(settings.platform.kv);
        let follow = FollowSettings {
            host: settings.host.clone(),
            site: settings.site.clone(),
            kv: kv.clone(),
        };
        let config = ConfigFollower::start(follow, hosts.clone(), frames);
        Self { config, hosts, kv, config_frames, signs }
    }
}
