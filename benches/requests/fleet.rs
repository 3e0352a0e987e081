//! The simulated fleet and its offered load.

use crate::workload::{COMPLETION_TOKEN_TIME, COMPLETION_TOKENS, PROMPT_TOKEN_TIME, PROMPT_TOKENS};
use buckthornwharf_core::config::{ConfigDocument, SiteConfig};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;

const SITES: [(&str, &str); 3] = [("a1", "a"), ("a2", "a"), ("b1", "b")];
// Each large organisation sends a quarter of the load; the small ones share the rest equally.
const LARGE_ORGANISATIONS: usize = 3;
const SMALL_ORGANISATIONS: usize = 7;

/// Factor by which a slow target is slower than a healthy one.
pub const SLOWDOWN_FACTOR: u32 = 4;

/// Condition of a target for the whole run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetCondition {
    Healthy,
    Slow,
    Dead,
}

/// A fleet and its offered load.
pub struct ModelSetup {
    pub seed: u64,
    pub service: ServiceName,
    pub entries: Vec<(HostName, SiteName)>,
    pub agents: Vec<(HostName, SiteName, TargetCondition)>,
    pub hosts: Vec<HostRecord>,
    pub document: ConfigDocument,
    pub slots: u32,
    pub duration: Duration,
    pub caller_timeout: Duration,
    /// Offered load of each organisation.
    pub requests_per_second: Vec<f64>,
    /// Load that the targets can serve without cached prompts.
    pub capacity_requests_per_second: f64,
}

impl ModelSetup {
    /// A fleet with an offered load of `load` times its capacity, in which one in ten targets is in
    /// `condition`.
    pub fn new(entries: usize, agents: usize, load: f64, condition: TargetCondition) -> Self {
        let condition_of =
            |number: usize| if number % 10 == 9 { condition } else { TargetCondition::Healthy };
        let agents: Vec<_> = (0..agents)
            .map(|index| {
                (HostName::from(format!("agent-{index:04}")), site(index), condition_of(index))
            })
            .collect();
        let entries: Vec<_> = (0..entries)
            .map(|index| (HostName::from(format!("entry-{index:04}")), site(index)))
            .collect();
        let mut setup = Self {
            seed: 11,
            service: "chat".into(),
            hosts: host_records(&entries, &agents),
            entries,
            agents,
            document: document(),
            slots: 8,
            duration: Duration::from_secs(120),
            caller_timeout: Duration::from_secs(10),
            requests_per_second: Vec::new(),
            capacity_requests_per_second: 0.0,
        };
        setup.capacity_requests_per_second = setup.compute_capacity();
        let total = setup.capacity_requests_per_second * load;
        setup.requests_per_second.extend([total / 4.0; LARGE_ORGANISATIONS]);
        setup
            .requests_per_second
            .extend([total / 4.0 / SMALL_ORGANISATIONS as f64; SMALL_ORGANISATIONS]);
        setup
    }

    /// Mean number of prompt and completion tokens of a request.
    pub fn mean_tokens(&self) -> f64 {
        f64::from(PROMPT_TOKENS.0 + PROMPT_TOKENS.1 + COMPLETION_TOKENS.0 + COMPLETION_TOKENS.1)
            / 2.0
    }

    fn compute_capacity(&self) -> f64 {
        let mean_prompt_time = PROMPT_TOKEN_TIME * (PROMPT_TOKENS.0 + PROMPT_TOKENS.1) / 2;
        let mean_completion_time =
            COMPLETION_TOKEN_TIME * (COMPLETION_TOKENS.0 + COMPLETION_TOKENS.1) / 2;
        let target_capacity =
            f64::from(self.slots) / (mean_prompt_time + mean_completion_time).as_secs_f64();
        let relative_speeds = self.agents.iter().map(|(_, _, condition)| match condition {
            TargetCondition::Healthy => 1.0,
            TargetCondition::Slow => 1.0 / f64::from(SLOWDOWN_FACTOR),
            TargetCondition::Dead => 0.0,
        });
        target_capacity * relative_speeds.sum::<f64>()
    }
}

fn site(number: usize) -> SiteName {
    SITES[number % SITES.len()].0.into()
}

fn document() -> ConfigDocument {
    let sites = SITES.map(|(site, region)| {
        (SiteName::from(site), SiteConfig { region: RegionName::from(region) })
    });
    ConfigDocument { sites: sites.into_iter().collect(), ..ConfigDocument::default() }
}

fn host_records(
    entries: &[(HostName, SiteName)],
    agents: &[(HostName, SiteName, TargetCondition)],
) -> Vec<HostRecord> {
    let entries = entries.iter().map(|(name, site)| host_record(name, site, HostRole::Entry));
    let agents = agents.iter().map(|(name, site, _)| host_record(name, site, HostRole::Agent));
    entries.chain(agents).collect()
}

/// Record of a live host; all agents serve the same service.
pub fn host_record(name: &HostName, site: &SiteName, role: HostRole) -> HostRecord {
    let address = ([127, 0, 0, 1], 1).into();
    let is_agent = role == HostRole::Agent;
    HostRecord {
        name: name.clone(),
        site: site.clone(),
        role,
        service: is_agent.then(|| "chat".into()),
        link: is_agent.then_some(address),
        admin: address,
        phase: HostPhase::Live,
    }
}
