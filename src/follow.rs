//! Keeps what the control thread believes current: the configuration in force and the hosts.

pub mod config;
pub mod hosts;

pub use config::{ConfigFollower, FollowSettings};
pub use hosts::HostsFollower;
