//! Admission of a request: its route, organisation, priority and deadline.

use super::reply::LocalReply;
use crate::direct::entry::state::EntryState;
use actix_http::StatusCode;
use buckthornwharf_core::direct::{
    CallerTime, CauseId, ServingRoute, SlotRequest, WorkKind, request_causes, wait_allowance,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::InboundRequest;
use buckthornwharf_platform::request::{RequestTags, read_request};
use rand::RngExt;

/// Timeout of requests to routes whose configuration sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);
/// Range of the retry-after time, in milliseconds, that an entry without a configuration sends. Callers
/// reach such an entry only if all entries have just started, and retry once, so the time leaves room for
/// a short outage of the store. Jitter keeps callers that were refused together from retrying together.
const UNCONFIGURED_RETRY_MS: std::ops::Range<u64> = 1200..1900;

/// A request that was admitted, with the settings of its route.
#[derive(Debug)]
pub(super) struct AdmittedRequest {
    pub inbound: InboundRequest,
    pub tags: RequestTags,
    pub service: ServiceName,
    pub route: RouteName,
    pub kind: WorkKind,
    /// What the request contains that may crash targets.
    pub causes: Arc<[CauseId]>,
    pub priority: u8,
    pub max_attempts: u32,
    pub organisation: Option<OrganisationName>,
    pub received: MonoTime,
    /// Time from the caller's first try to this one.
    pub elapsed_before: Duration,
    pub deadline: MonoTime,
    /// Latency objective: time within which the response, or the first event of a stream, should arrive.
    pub objective: Duration,
}

impl AdmittedRequest {
    /// The request for a slot of the next attempt, at none of the targets `tried`.
    pub fn slot_request(&self, now: MonoTime, tried: &[Arc<str>]) -> SlotRequest {
        let elapsed = self.elapsed_before + now.since(self.received);
        SlotRequest {
            service: self.service.clone(),
            route: self.route.clone(),
            organisation: self.organisation.clone(),
            priority: self.priority,
            wait: wait_allowance(self.objective, elapsed, self.deadline.since(now)),
            objective: self.objective,
            tried: tried.to_vec(),
            prompt_tokens: self.tags.tokens.0,
            answer_tokens: self.tags.tokens.1,
            model: self.tags.model.clone(),
        }
    }

    /// What is known of the caller, whose request was sent to the targets `tried`.
    pub fn caller_time(&self, now: MonoTime, tried: &[Arc<str>]) -> CallerTime {
        let returned = !self.elapsed_before.is_zero() || !tried.is_empty();
        CallerTime { returned, time_left: self.deadline.since(now) }
    }
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Rejection {
    NoConfig,
    NoId,
    NoRoute,
    UnknownKey,
    ShuttingDown,
}

/// Returns the time within which requests to `route` are answered.
pub(in crate::direct::entry) fn timeout_of(route: &ServingRoute) -> Duration {
    if route.timeout.is_zero() { DEFAULT_TIMEOUT } else { route.timeout }
}

/// Finds the route, the organisation and the deadline of a request.
///
/// # Errors
///
/// The reason for which the request is rejected, and its id if it has one.
pub(super) fn admit(
    state: &EntryState,
    now: MonoTime,
    inbound: InboundRequest,
) -> Result<AdmittedRequest, (Rejection, Option<Arc<str>>)> {
    let tags = read_request(&inbound.headers, &inbound.uri).ok_or((Rejection::NoId, None))?;
    let reject = |rejection: Rejection| (rejection, Some(tags.id.clone()));
    let table = state.routes().ok_or_else(|| reject(Rejection::NoConfig))?;
    let found = table.find(&tags.host, inbound.uri.path());
    let route = found.ok_or_else(|| reject(Rejection::NoRoute))?;
    let organisation = tags.key.as_deref().and_then(|key| table.organisation(key));
    if organisation.is_none() && table.requires_key(route) {
        return Err(reject(Rejection::UnknownKey));
    }
    let timeout = timeout_of(route);
    let caller_timeout =
        tags.caller_timeout.map_or(timeout, |caller_timeout| caller_timeout.min(timeout));
    let deadline = now + caller_timeout;
    if !state.admits_in_drain(now, route.kind, deadline) {
        return Err(reject(Rejection::ShuttingDown));
    }
    let priority = organisation.and_then(|(_, priority)| *priority).unwrap_or(route.priority);
    let service = table.service_of(route, &tags.id).clone();
    let path = inbound.uri.path_and_query().map_or("", |path| path.as_str());
    let caller = tags.key.as_deref().unwrap_or_default();
    let causes = request_causes(&service, &tags.shared_parts, caller, path, &inbound.body);
    Ok(AdmittedRequest {
        service,
        route: route.name.clone(),
        causes: causes.into(),
        kind: route.kind,
        priority,
        max_attempts: route.max_attempts,
        organisation: organisation.map(|(name, _)| name.clone()),
        received: now,
        elapsed_before: tags.caller_timeout.map_or(Duration::ZERO, |caller_timeout| {
            state.observe_caller_timeout(now, &route.name, caller_timeout)
        }),
        deadline,
        objective: route.objective,
        inbound,
        tags,
    })
}

impl Rejection {
    /// The response to the rejected request `id`.
    pub fn reply(self, id: Option<&str>) -> LocalReply {
        let (status, retry_after) = match self {
            Rejection::NoConfig => {
                let retry_ms = rand::rng().random_range(UNCONFIGURED_RETRY_MS);
                (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::from_millis(retry_ms)))
            }
            // Another entry can take the request at once.
            Rejection::ShuttingDown => (StatusCode::SERVICE_UNAVAILABLE, Some(Duration::ZERO)),
            Rejection::NoId => (StatusCode::BAD_REQUEST, None),
            Rejection::NoRoute => (StatusCode::NOT_FOUND, None),
            Rejection::UnknownKey => (StatusCode::UNAUTHORIZED, None),
        };
        LocalReply { status, id: id.map(Arc::from), retry_after }
    }
}
