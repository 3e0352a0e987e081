//! Options and fault switches of an engine.

use crate::outage::OutageMode;
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};

/// What a request that holds the poison word does to the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashMode {
    /// The process exits at once with [`CRASH_EXIT_CODE`].
    ///
    /// [`CRASH_EXIT_CODE`]: super::CRASH_EXIT_CODE
    #[default]
    Exit,
    /// All connections are closed, and versions and fences are forgotten, as in an engine that
    /// crashed and was started again. The counters stay.
    Reset,
}

/// What an engine is started with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOptions {
    /// Requests that are worked on at once.
    pub slots: u32,
    /// Versions that are held at once.
    pub max_versions: u32,
    /// Whether orders with an old fence are refused.
    pub checks_fence: bool,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self { slots: 16, max_versions: 1, checks_fence: false }
    }
}

/// Fault switches of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSwitches {
    /// An outage of all calls.
    pub down: OutageMode,
    /// Milliseconds before each token.
    pub token_gap_ms: u64,
    /// Factor on the time before each token.
    pub slow_factor: f64,
    /// Milliseconds that a load takes after its body arrived.
    pub load_ms: u64,
    /// Milliseconds by which the load report lags.
    pub load_lag_ms: u64,
    /// Tokens after which answers stop without an end; none to switch it off.
    pub stall_after: Option<u32>,
    /// A prompt that holds this word crashes the engine; empty to switch it off.
    pub poison: String,
    /// What a crash does.
    pub crash_mode: CrashMode,
    /// Whether a body without the ordered digest is refused; otherwise it is loaded and its answers
    /// carry the digest that it has.
    pub checks_digest: bool,
}

impl Default for EngineSwitches {
    fn default() -> Self {
        Self {
            down: OutageMode::Off,
            token_gap_ms: 0,
            slow_factor: 1.0,
            load_ms: 0,
            load_lag_ms: 200,
            stall_after: None,
            poison: String::new(),
            crash_mode: CrashMode::Exit,
            checks_digest: true,
        }
    }
}

impl EngineSwitches {
    /// Time before each token.
    pub fn token_gap(&self) -> Duration {
        let seconds = self.token_gap_ms as f64 * self.slow_factor / 1000.0;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Whether `prompt` crashes the engine.
    pub fn is_poison(&self, prompt: &str) -> bool {
        !self.poison.is_empty() && prompt.contains(&self.poison)
    }

    /// Whether an answer stops before the token at `index`.
    pub fn stalls_at(&self, index: u32) -> bool {
        self.stall_after.is_some_and(|tokens| index >= tokens)
    }
}
