//! The fleet of a run and what is asked of it.

use crate::workload::{ANSWER_TOKEN_TIME, ANSWER_TOKENS, PROMPT_TOKEN_TIME, PROMPT_TOKENS};
use buckthornwharf_core::config::{ConfigDocument, SiteConfig};
use buckthornwharf_core::membership::{HostPhase, HostRecord, HostRole};
use buckthornwharf_core::prelude::*;

const SITES: [(&str, &str); 3] = [("a1", "a"), ("a2", "a"), ("b1", "b")];
/// Three large organisations ask for a quarter each, seven small ones for the rest.
const LARGE: usize = 3;
const SMALL: usize = 7;

/// How many times slower a slow target is.
pub const SLOWNESS: u32 = 4;

/// How a target fares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetFate {
    Well,
    Slow,
    Dead,
}

/// A fleet and what is asked of it.
pub struct ModelSetup {
    pub seed: u64,
    pub service: ServiceName,
    pub entries: Vec<(HostName, SiteName)>,
    pub agents: Vec<(HostName, SiteName, TargetFate)>,
    pub hosts: Vec<HostRecord>,
    pub document: ConfigDocument,
    pub slots: u32,
    pub span: Duration,
    pub patience: Duration,
    /// Requests a second by organisation.
    pub demands: Vec<f64>,
    /// Requests a second that the targets can serve without cached prompts.
    pub capacity: f64,
}

impl ModelSetup {
    /// A fleet at `load` of its capacity with one in ten targets at `fate`.
    pub fn new(entries: usize, agents: usize, load: f64, fate: TargetFate) -> Self {
        let fate_of = |number: usize| if number % 10 == 9 { fate } else { TargetFate::Well };
        let agents: Vec<_> = (0..agents)
            .map(|at| (HostName::from(format!("agent-{at:04}")), site(at), fate_of(at)))
            .collect();
        let entries: Vec<_> =
            (0..entries).map(|at| (HostName::from(format!("entry-{at:04}")), site(at))).collect();
        let mut setup = Self {
            seed: 11,
            service: "chat".into(),
            hosts: host_records(&entries, &agents),
            entries,
            agents,
            document: document(),
            slots: 8,
            span: Duration::from_secs(120),
            patience: Duration::from_secs(10),
            demands: Vec::new(),
            capacity: 0.0,
        };
        setup.capacity = setup.work_out_capacity();
        let total = setup.capacity * load;
        setup.demands.extend([total / 4.0; LARGE]);
        setup.demands.extend([total / 4.0 / SMALL as f64; SMALL]);
        setup
    }

    /// Mean tokens of a request.
    pub fn mean_tokens(&self) -> f64 {
        f64::from(PROMPT_TOKENS.0 + PROMPT_TOKENS.1 + ANSWER_TOKENS.0 + ANSWER_TOKENS.1) / 2.0
    }

    fn work_out_capacity(&self) -> f64 {
        let prompt = PROMPT_TOKEN_TIME * (PROMPT_TOKENS.0 + PROMPT_TOKENS.1) / 2;
        let answer = ANSWER_TOKEN_TIME * (ANSWER_TOKENS.0 + ANSWER_TOKENS.1) / 2;
        let one = f64::from(self.slots) / (prompt + answer).as_secs_f64();
        let shares = self.agents.iter().map(|(_, _, fate)| match fate {
            TargetFate::Well => 1.0,
            TargetFate::Slow => 1.0 / f64::from(SLOWNESS),
            TargetFate::Dead => 0.0,
        });
        one * shares.sum::<f64>()
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
    agents: &[(HostName, SiteName, TargetFate)],
) -> Vec<HostRecord> {
    let entries = entries.iter().map(|(name, site)| host_record(name, site, HostRole::Entry));
    let agents = agents.iter().map(|(name, site, _)| host_record(name, site, HostRole::Agent));
    entries.chain(agents).collect()
}

/// A live host; agents serve the one service.
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
