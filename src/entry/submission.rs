//! What a caller's request becomes on its way in: an admission and a frame for an agent.

use super::caller::CallerRequest;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::admission::AdmissionRequest;
use rand::RngExt;

/// An id for a new request.
pub fn random_id() -> RequestId {
    RequestId(rand::rng().random())
}

/// What the limits of organisations need to know of a request.
pub fn admission_of(caller: &CallerRequest) -> AdmissionRequest {
    AdmissionRequest {
        organisation: caller.organisation.clone(),
        cost_tokens: caller.prompt.cost_tokens,
        time_left: caller.deadline,
        time_needed: Duration::ZERO,
    }
}

/// The frame that asks an agent for the answer; the digest follows with the choice of a target.
pub fn submit_frame(id: RequestId, caller: &CallerRequest) -> SubmitFrame {
    SubmitFrame {
        id,
        organisation: caller.organisation.clone(),
        weight: caller.organisation_config.weight,
        priority: caller.organisation_config.priority,
        service: caller.service.clone(),
        digest: None,
        deadline_ms: u64::try_from(caller.deadline.as_millis()).unwrap_or(u64::MAX),
        idempotent: caller.idempotent,
        idempotency_key: caller.idempotency_key.clone(),
        fingerprint: caller.prompt.fingerprint,
        suspect: false,
        cost_tokens: caller.prompt.cost_tokens,
        method: caller.method.clone(),
        path: caller.path.clone(),
        content_type: caller.content_type.clone(),
        body: caller.body.clone(),
    }
}
