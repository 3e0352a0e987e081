//! Where an entry would route a request, as it tells operators on its administrative address.

use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};

/// HTTP path of the question.
pub const PATH: &str = "/where";

/// A request that an operator asks about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementQuery {
    /// Name of the route.
    pub route: RouteName,
    /// The organisation that sends the request, if any.
    #[serde(default)]
    pub organisation: Option<OrganisationName>,
    /// Number of prompt tokens.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer.
    #[serde(default)]
    pub answer_tokens: u32,
    /// The model, if the request names one.
    #[serde(default)]
    pub model: Option<ModelName>,
}

/// What would happen to a request if it arrived now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// Host of the entry.
    pub entry: HostName,
    /// Generation of its configuration.
    pub generation: u64,
    /// The service to which the route leads. One with several services is reported for each.
    pub services: Vec<ServiceReport>,
}

/// What would happen to a request at one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// The decision.
    pub decision: PlacementDecision,
    /// Longest time that the request may wait for a slot, in milliseconds.
    pub max_wait_ms: u64,
    /// Expected wait for a slot if none is free, in milliseconds; absent if there is none to wait for.
    pub expected_wait_ms: Option<u64>,
    /// Number of requests that wait for the service.
    pub waiting: usize,
    /// Number of those that would be served before the request.
    pub ahead: usize,
    /// Slots that the entry can expect to use for the request.
    pub usable_slots: u32,
    /// The verdict on each target.
    pub targets: Vec<TargetReport>,
}

/// The decision on a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlacementDecision {
    /// It would be sent to this target.
    Sent(Arc<str>),
    /// It would wait.
    Queued,
    /// It would be refused, with this time to retry in milliseconds.
    Refused(u64),
}

/// The verdict on one target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetReport {
    /// Id of the target.
    pub id: Arc<str>,
    /// Site of the target.
    pub site: SiteName,
    /// Region of the site, if it is known.
    pub region: Option<RegionName>,
    /// `allowed`, or why the request could not be sent to it now.
    pub verdict: String,
    /// Time until that ends, in milliseconds, if it is known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ends_in_ms: Option<u64>,
    /// The learned limit, above which its times are expected to rise, or the registered slots, in requests.
    pub limit: u32,
    /// Whether the limit is learned.
    pub learned: bool,
    /// Requests of the entry at it.
    pub in_flight: u32,
}

impl PlacementReport {
    /// Renders the report as text, one line for each target.
    pub fn render(&self) -> String {
        let mut lines = vec![format!("entry {} generation {}", self.entry, self.generation)];
        for service in &self.services {
            lines.extend(service.lines());
        }
        lines.join("\n")
    }
}

impl ServiceReport {
    fn lines(&self) -> Vec<String> {
        let decision = match &self.decision {
            PlacementDecision::Sent(target) => format!("sent to {target}"),
            PlacementDecision::Queued => "queued".to_owned(),
            PlacementDecision::Refused(retry_ms) => format!("refused, retry after {retry_ms} ms"),
        };
        let wait = self.expected_wait_ms.map_or("-".to_owned(), |wait| format!("{wait} ms"));
        let mut lines = vec![
            format!("service {}: {decision}", self.service),
            format!(
                "  waiting {}, ahead {}, usable slots {}, expected wait {wait}, at most {} ms",
                self.waiting, self.ahead, self.usable_slots, self.max_wait_ms
            ),
        ];
        if self.targets.is_empty() {
            lines.push("  no target is registered".to_owned());
        }
        lines.extend(self.targets.iter().map(TargetReport::line));
        lines
    }
}

impl TargetReport {
    fn line(&self) -> String {
        let Self { id, verdict, limit, in_flight, .. } = self;
        let site = self.site.as_str();
        let region = self.region.as_ref().map_or("-", RegionName::as_str);
        let ends = self.ends_in_ms.map_or(String::new(), |ends| format!(" for {ends} ms"));
        let source = if self.learned { "learned" } else { "registered" };
        format!(
            "  {id:<24} site {site:<10} region {region:<10} in flight {in_flight:>3} of {limit:>3} \
             ({source})  {verdict}{ends}"
        )
    }
}
