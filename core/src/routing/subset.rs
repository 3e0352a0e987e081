//! Deterministic subsetting: which agents each entry links to.
//!
//! Every entry computes the same matching of entries and agents from the list of hosts and uses its
//! own row. Pairs are accepted nearest first, then in hash order, while both ends have capacity.
//! Hash order keeps most links when the list changes; the capacities spread links evenly.

use super::hash::{combine_hashes, hash_text};
use crate::config::ConfigDocument;
use crate::membership::{HostPhase, HostRecord, HostRole};
use crate::prelude::*;

/// Minimum links of an entry to a service, or all agents of a smaller service.
pub const MIN_SERVICE_LINKS: usize = 3;
/// One in this many links of an entry to a service goes to another site where possible.
const REMOTE_LINK_INTERVAL: usize = 4;

/// Chooses the agents that `entry` links to, sorted by name: at most `max_links` in total and, if
/// that allows it, at least [`MIN_SERVICE_LINKS`] per service or all agents of a smaller one.
///
/// `hosts` is the platform's list; only live agents with a link address are chosen. If `max_links`
/// allows it, every agent is linked by at least one live entry, and the agents of a service have
/// nearly equal numbers of entries. An entry that is not in the list gets no links. The result does
/// not depend on the order of `hosts`.
pub fn choose_links(
    entry: &HostName,
    hosts: &[HostRecord],
    document: &ConfigDocument,
    max_links: usize,
) -> Vec<HostName> {
    let all = choose_fleet_links(hosts, document, max_links);
    all.get(entry).cloned().unwrap_or_default()
}

/// Chooses the links of every live entry, as [`choose_links`] does for one.
pub fn choose_fleet_links(
    hosts: &[HostRecord],
    document: &ConfigDocument,
    max_links: usize,
) -> SortedTable<HostName, Vec<HostName>> {
    let entries = nodes(hosts.iter().filter(|host| is_entry(host)), document);
    let agents = agents_by_service(hosts, document);
    let sizes: Vec<usize> = agents.values().map(Vec::len).collect();
    let quotas = service_quotas(&sizes, entries.len(), max_links);
    let mut links: Vec<Vec<HostName>> = vec![Vec::new(); entries.len()];
    for (agents, quota) in agents.values().zip(quotas) {
        let matching = LinkMatching::solve(&entries, agents, quota);
        for (chosen, links) in matching.agents_by_entry.iter().zip(&mut links) {
            links.extend(chosen.iter().map(|&agent| agents[agent as usize].name.clone()));
        }
    }
    links.iter_mut().for_each(|links| links.sort_unstable());
    entries.into_iter().map(|entry| entry.name).zip(links).collect()
}

fn is_entry(host: &HostRecord) -> bool {
    host.role == HostRole::Entry && host.phase == HostPhase::Live
}

fn is_agent(host: &HostRecord) -> bool {
    host.role == HostRole::Agent && host.phase == HostPhase::Live && host.link.is_some()
}

/// A host in the matching.
struct MatchNode {
    name: HostName,
    hash: u64,
    site: SiteName,
    region: RegionName,
}

fn nodes<'a>(
    hosts: impl Iterator<Item = &'a HostRecord>,
    document: &ConfigDocument,
) -> Vec<MatchNode> {
    let mut nodes: Vec<MatchNode> = hosts
        .map(|host| MatchNode {
            name: host.name.clone(),
            hash: hash_text(host.name.as_str()),
            site: host.site.clone(),
            region: document.region_of(&host.site),
        })
        .collect();
    nodes.sort_unstable_by(|left, right| left.name.cmp(&right.name));
    nodes.dedup_by(|left, right| left.name == right.name);
    nodes
}

fn agents_by_service(
    hosts: &[HostRecord],
    document: &ConfigDocument,
) -> SortedTable<ServiceName, Vec<MatchNode>> {
    let mut records: SortedTable<ServiceName, Vec<&HostRecord>> = SortedTable::new();
    for host in hosts.iter().filter(|host| is_agent(host)) {
        let Some(service) = &host.service else { continue };
        records.get_or_insert_with(service.clone(), Vec::new).push(host);
    }
    let services = records.into_iter();
    services.map(|(service, hosts)| (service, nodes(hosts.into_iter(), document))).collect()
}

/// Number of links per entry to each service, where `sizes` are the services' numbers of agents.
/// The minimum reaches every agent and is at least [`MIN_SERVICE_LINKS`]; the rest of `max_links`
/// is shared in proportion to the agents left. If the minimums exceed `max_links`, the largest are
/// reduced.
fn service_quotas(sizes: &[usize], entries: usize, max_links: usize) -> Vec<usize> {
    let reach = |size: usize| size.div_ceil(entries.max(1));
    let minimum = |size: usize| reach(size).max(MIN_SERVICE_LINKS).min(size);
    let mut quotas: Vec<usize> = sizes.iter().map(|&size| minimum(size)).collect();
    let mut spare_links = max_links.saturating_sub(quotas.iter().sum());
    while quotas.iter().sum::<usize>() > max_links {
        let Some(largest) = quotas.iter_mut().max_by_key(|quota| **quota) else { break };
        *largest -= 1;
    }
    let mut total_deficit: usize =
        sizes.iter().zip(&quotas).map(|(size, quota)| size - quota).sum();
    for (size, quota) in sizes.iter().zip(&mut quotas) {
        let deficit = size - *quota;
        let extra_links =
            (spare_links * deficit).checked_div(total_deficit).unwrap_or(0).min(deficit);
        *quota += extra_links;
        spare_links -= extra_links;
        total_deficit -= deficit;
    }
    quotas
}

/// Distance of an agent from an entry, nearest first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum LinkDistance {
    SameSite,
    SameRegion,
    OtherRegion,
}

fn distance(entry: &MatchNode, agent: &MatchNode) -> LinkDistance {
    if entry.site == agent.site {
        LinkDistance::SameSite
    } else if entry.region == agent.region {
        LinkDistance::SameRegion
    } else {
        LinkDistance::OtherRegion
    }
}

/// Matching of entries and the agents of one service. Both are indices into the sorted nodes.
struct LinkMatching {
    /// Chosen agents of each entry.
    agents_by_entry: Vec<Vec<u32>>,
    /// Number of entries linked to each agent.
    entry_counts: Vec<usize>,
    /// Maximum agents per entry.
    quota: usize,
}

impl LinkMatching {
    fn solve(entries: &[MatchNode], agents: &[MatchNode], quota: usize) -> Self {
        let mut matching = Self {
            agents_by_entry: vec![Vec::new(); entries.len()],
            entry_counts: vec![0; agents.len()],
            quota,
        };
        let total_links = entries.len() * quota;
        let entries_floor = (total_links / agents.len().max(1)).max(1);
        let entries_ceil = total_links.div_ceil(agents.len().max(1)).max(1);
        let near_quota = quota - quota / REMOTE_LINK_INTERVAL;
        let capacities = [entries_floor, entries_ceil, entries_ceil + 1, usize::MAX]
            .map(|capacity| (capacity, quota));
        // The first pass reserves links to other sites; later ones raise the capacity of agents until
        // the entries reach their quota.
        for (capacity, site_quota) in std::iter::once((entries_floor, near_quota)).chain(capacities)
        {
            matching.fill(entries, agents, LinkDistance::SameSite, capacity, site_quota);
            matching.fill(entries, agents, LinkDistance::SameRegion, capacity, quota);
            matching.fill(entries, agents, LinkDistance::OtherRegion, capacity, quota);
        }
        for (agent, node) in agents.iter().enumerate() {
            matching.raise_to_minimum(entries, node, agent as u32, entries_floor);
        }
        matching
    }

    /// Moves links from agents with more entries to `agent`, nearest entries first, until it has
    /// `min_entries` entries.
    fn raise_to_minimum(
        &mut self,
        entries: &[MatchNode],
        agent_node: &MatchNode,
        agent: u32,
        min_entries: usize,
    ) {
        if self.entry_counts[agent as usize] >= min_entries {
            return;
        }
        let mut order: Vec<usize> = (0..entries.len()).collect();
        order.sort_by_cached_key(|&entry| {
            let entry = &entries[entry];
            (distance(entry, agent_node), combine_hashes(entry.hash, agent_node.hash))
        });
        for entry in order {
            if self.entry_counts[agent as usize] >= min_entries {
                return;
            }
            self.replace_most_linked(entry, agent);
        }
    }

    /// Replaces the agent of `entry` that has the most entries by `agent`, if it has at least two
    /// more.
    fn replace_most_linked(&mut self, entry: usize, agent: u32) {
        let entry_counts = &mut self.entry_counts;
        let agents = &mut self.agents_by_entry[entry];
        if agents.contains(&agent) {
            return;
        }
        let Some(most_linked) =
            agents.iter_mut().max_by_key(|agent| entry_counts[**agent as usize])
        else {
            return;
        };
        if entry_counts[*most_linked as usize] >= entry_counts[agent as usize] + 2 {
            entry_counts[*most_linked as usize] -= 1;
            entry_counts[agent as usize] += 1;
            *most_linked = agent;
        }
    }

    /// Accepts pairs at `wanted_distance` in hash order, while the entry has fewer than `quota`
    /// agents and the agent fewer than `capacity` entries.
    fn fill(
        &mut self,
        entries: &[MatchNode],
        agents: &[MatchNode],
        wanted_distance: LinkDistance,
        capacity: usize,
        quota: usize,
    ) {
        let agents_with_capacity: Vec<usize> =
            (0..agents.len()).filter(|&at| self.entry_counts[at] < capacity).collect();
        let mut pairs = Vec::new();
        for (entry, entry_node) in entries.iter().enumerate() {
            if self.agents_by_entry[entry].len() >= quota.min(self.quota) {
                continue;
            }
            for &agent in &agents_with_capacity {
                let agent_node = &agents[agent];
                if distance(entry_node, agent_node) == wanted_distance {
                    let hash = combine_hashes(entry_node.hash, agent_node.hash);
                    pairs.push((hash, entry as u32, agent as u32));
                }
            }
        }
        pairs.sort_unstable();
        for (_, entry, agent) in pairs {
            self.accept(entry as usize, agent, capacity, quota);
        }
    }

    fn accept(&mut self, entry: usize, agent: u32, capacity: usize, quota: usize) {
        let agents = &mut self.agents_by_entry[entry];
        let entry_count = &mut self.entry_counts[agent as usize];
        if agents.len() >= quota || *entry_count >= capacity || agents.contains(&agent) {
            return;
        }
        agents.push(agent);
        *entry_count += 1;
    }
}
