//! A target and a request for it. Tests change the values that they are about.

use buckthornwharf_core::direct::{RegisteredTarget, SlotRequest, TargetPhase, WaitAllowance};
use buckthornwharf_core::prelude::*;

/// Returns a ready target of the service `llm` with a slot, at the site `x`.
pub fn sample_target() -> RegisteredTarget {
    RegisteredTarget {
        id: "t".into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        site: "x".into(),
        slots: 1,
        phase: TargetPhase::Ready,
        models: Vec::new(),
        started_unix_ms: 0,
        cold_remaining: None,
    }
}

/// Returns a request of route `r` to the service `llm` that may wait for 150 ms.
pub fn sample_request() -> SlotRequest {
    SlotRequest {
        service: "llm".into(),
        route: "r".into(),
        organisation: None,
        priority: 1,
        wait: WaitAllowance { max_wait: Duration::from_millis(150), late: false },
        objective: Duration::from_millis(400),
        tried: Vec::new(),
        prompt_tokens: 0,
        answer_tokens: 0,
        model: None,
    }
}
