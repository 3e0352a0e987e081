//! Options and fault switches of an engine.

use crate::outage::OutageMode;
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};

/// How an engine crashes on a request whose prompt contains the poison word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashMode {
    /// The process exits at once with [`CRASH_EXIT_CODE`].
    ///
    /// [`CRASH_EXIT_CODE`]: super::CRASH_EXIT_CODE
    #[default]
    Exit,
    /// All connections are closed, and the versions and the highest fencing token are cleared, as
    /// in an engine that crashed and was restarted. The counters stay.
    Reset,
}

/// Start options of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOptions {
    /// Maximum number of requests in the batch.
    pub slots: u32,
    /// Maximum number of versions loaded at once.
    pub max_versions: u32,
    /// Whether orders with a stale fencing token are refused.
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
    /// Outage that affects all requests.
    pub down: OutageMode,
    /// Delay before each token, in milliseconds.
    pub token_gap_ms: u64,
    /// Factor by which the delay before each token is multiplied.
    pub slow_factor: f64,
    /// Duration of a load after its body was received, in milliseconds.
    pub load_ms: u64,
    /// Lag of the load report, in milliseconds.
    pub load_lag_ms: u64,
    /// Number of tokens after which answers stall; none turns this off.
    pub stall_after: Option<u32>,
    /// Word that crashes the engine if a prompt contains it; empty turns this off.
    pub poison: String,
    /// How the engine crashes.
    pub crash_mode: CrashMode,
    /// Whether a body whose digest differs from the ordered one is refused. Otherwise it is loaded,
    /// and its answers carry the computed digest.
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
    /// Returns the delay before each token.
    pub fn token_gap(&self) -> Duration {
        let seconds = self.token_gap_ms as f64 * self.slow_factor / 1000.0;
        Duration::try_from_secs_f64(seconds).unwrap_or_default()
    }

    /// Returns whether `prompt` crashes the engine.
    pub fn is_poison(&self, prompt: &str) -> bool {
        !self.poison.is_empty() && prompt.contains(&self.poison)
    }

    /// Returns whether an answer stalls before the token at `index`.
    pub fn stalls_at(&self, index: u32) -> bool {
        self.stall_after.is_some_and(|tokens| index >= tokens)
    }
}
