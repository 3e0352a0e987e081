//! The requests of callers and the answers of targets.

use buckthornwharf_core::config::PriorityClass;
use buckthornwharf_core::frame::SubmitFrame;
use buckthornwharf_core::prelude::*;
use bytes::Bytes;
use strum::{Display, EnumIter};

const DEADLINE: Duration = Duration::from_secs(20);

#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RequestKind {
    Idempotent,
    /// Not idempotent, without an idempotency key.
    Once,
    /// Not idempotent, with an idempotency key.
    Keyed,
}

pub fn submit(number: u128, kind: RequestKind, key: Option<&str>) -> SubmitFrame {
    SubmitFrame {
        id: RequestId(number),
        organisation: "mill".into(),
        weight: 1,
        priority: PriorityClass::Normal,
        service: "booking".into(),
        digest: None,
        deadline_ms: DEADLINE.as_millis() as u64,
        idempotent: kind == RequestKind::Idempotent,
        idempotency_key: key.map(Into::into),
        fingerprint: key.map_or(number as u64, |key| 1_000 + key.len() as u64),
        suspect: false,
        cost_tokens: 1,
        method: "POST".into(),
        path: "/".into(),
        content_type: "".into(),
        body: Bytes::new(),
    }
}

/// The two parts of the answer's body; they depend only on the request's content.
pub fn answer_parts(fingerprint: u64) -> [Bytes; 2] {
    [format!("<{fingerprint}|").into(), format!("{fingerprint}>").into()]
}
