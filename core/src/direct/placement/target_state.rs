//! What a target registers of its state.

use crate::direct::{RegisteredTarget, TargetPhase};

/// Returns whether the target is registered as accepting requests.
pub fn is_ready(target: &RegisteredTarget) -> bool {
    target.phase == TargetPhase::Ready
}
