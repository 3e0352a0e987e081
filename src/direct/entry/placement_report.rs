//! Answers operators' questions where a request would be routed. Nothing is sent and no state changes.

use super::request::timeout_of;
use super::state::EntryState;
use crate::clock;
use crate::direct::placement_report::{
    PATH, PlacementDecision, PlacementQuery, PlacementReport, ServiceReport, TargetReport,
};
use crate::direct::service::ServiceAnswer;
use actix_http::{Method, StatusCode};
use buckthornwharf_core::direct::slots::{SlotPreview, TargetPreview};
use buckthornwharf_core::direct::{
    Admission, CallerTime, OrganisationKeys, PlacementVerdict, ServingRoute, SlotRequest,
    TargetVerdict, wait_allowance,
};
use buckthornwharf_core::prelude::*;
use buckthornwharf_exchange::InboundRequest;

/// Answers `request` if it is a question of this kind.
pub fn answer(state: &EntryState, request: &InboundRequest) -> Option<ServiceAnswer> {
    if request.uri.path() != PATH {
        return None;
    }
    if request.method != Method::POST {
        return Some(ServiceAnswer::new(StatusCode::METHOD_NOT_ALLOWED, "POST a query"));
    }
    Some(match serde_json::from_slice(&request.body) {
        Ok(query) => match report(state, &query) {
            Ok(report) => ServiceAnswer::json(&report),
            Err((status, reason)) => ServiceAnswer::new(status, reason),
        },
        Err(error) => ServiceAnswer::new(StatusCode::BAD_REQUEST, error.to_string()),
    })
}

fn report(
    state: &EntryState,
    query: &PlacementQuery,
) -> Result<PlacementReport, (StatusCode, String)> {
    let now = clock::now();
    let unavailable = (StatusCode::SERVICE_UNAVAILABLE, "no configuration yet".to_owned());
    let table = state.routes().ok_or(unavailable)?;
    let config = table.config();
    let route = config.routes.iter().find(|route| route.name == query.route);
    let no_route = || (StatusCode::NOT_FOUND, format!("no route {}", query.route));
    let route = route.ok_or_else(no_route)?;
    let organisation = query.organisation.as_ref().map(|name| {
        let mut organisations = config.organisations.iter().flatten();
        let found = organisations.find(|organisation| organisation.name == *name);
        found.ok_or_else(|| (StatusCode::NOT_FOUND, format!("no organisation {name}")))
    });
    let organisation = organisation.transpose()?;
    if organisation.is_none() && table.requires_key(route) {
        let reason = format!("route {} requires the key of an organisation", route.name);
        return Err((StatusCode::BAD_REQUEST, reason));
    }
    let services = route.services.iter().map(|(service, _)| {
        let request = slot_request(service, route, organisation, query);
        let caller = CallerTime { returned: false, time_left: timeout_of(route) };
        let preview = state.preview_slot(now, &request, caller);
        service_report(now, &request, preview)
    });
    Ok(PlacementReport {
        entry: state.host().clone(),
        generation: config.generation,
        services: services.collect(),
    })
}

/// Returns the request of a caller that asks for the first time and sends no timeout of its own.
fn slot_request(
    service: &ServiceName,
    route: &ServingRoute,
    organisation: Option<&OrganisationKeys>,
    query: &PlacementQuery,
) -> SlotRequest {
    let priority = organisation.and_then(|organisation| organisation.priority);
    SlotRequest {
        service: service.clone(),
        route: route.name.clone(),
        organisation: organisation.map(|organisation| organisation.name.clone()),
        priority: priority.unwrap_or(route.priority),
        wait: wait_allowance(route.objective, Duration::ZERO, timeout_of(route)),
        objective: route.objective,
        tried: Vec::new(),
        prompt_tokens: query.prompt_tokens,
        answer_tokens: query.answer_tokens,
        model: query.model.clone(),
    }
}

fn service_report(now: MonoTime, request: &SlotRequest, preview: SlotPreview) -> ServiceReport {
    let decision = match preview.admission {
        Admission::Granted(grant) => PlacementDecision::Sent(grant.target.id.clone()),
        Admission::Queued(_) => PlacementDecision::Queued,
        Admission::Refused(retry_after) => PlacementDecision::Refused(millis(retry_after)),
    };
    let targets = preview.targets.into_iter().map(|target| target_report(now, target));
    ServiceReport {
        service: request.service.clone(),
        decision,
        max_wait_ms: millis(request.wait.max_wait),
        expected_wait_ms: preview.expected_wait.map(millis),
        waiting: preview.waiting,
        ahead: preview.ahead,
        usable_slots: preview.usable_slots,
        targets: targets.collect(),
    }
}

fn target_report(now: MonoTime, preview: TargetPreview) -> TargetReport {
    let TargetVerdict { target, verdict } = preview.verdict;
    let (verdict, until) = match verdict {
        PlacementVerdict::Allowed { .. } => ("allowed".to_owned(), None),
        PlacementVerdict::Blocked { obstacle, until } => (obstacle.to_string(), until),
    };
    TargetReport {
        id: target.id.clone(),
        site: target.site.clone(),
        region: preview.region,
        verdict,
        ends_in_ms: until.map(|until| millis(until.since(now))),
        limit: preview.learned_limit.unwrap_or(target.slots),
        learned: preview.learned_limit.is_some(),
        in_flight: preview.in_flight,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
