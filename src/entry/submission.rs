//! Conversion of a caller's request to an admission request and to the frame for an agent.

use super::caller::CallerRequest;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::admission::AdmissionRequest;
use rand::RngExt;

/// A random id for a new request.
pub fn random_id() -> RequestId {
    RequestId(rand::rng().random())
}

/// The request as admission control sees it.
pub fn admission_of(caller: &CallerRequest) -> AdmissionRequest {
    AdmissionRequest {
        organisation: caller.organisation.clone(),
        cost_tokens: caller.prompt.cost_tokens,
        time_left: caller.deadline,
        time_needed: Duration::ZERO,
    }
}

/// The frame that submits the request to an agent, without a digest: that is set when a target is
/// chosen.
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
