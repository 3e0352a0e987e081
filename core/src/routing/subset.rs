//! Which agents an entry holds links to.
//!
//! Every entry works out the same matching of entries and agents from the list of hosts and takes
//! its own part of it. Pairs are accepted in the order of a hash, nearest first, while both ends
//! have room; so a change of the list moves few links, and the room keeps the load even.

use super::hash::{combine_hashes, hash_text};
use crate::config::ConfigDocument;
use crate::membership::{HostPhase, HostRecord, HostRole};
use crate::prelude::*;

/// Fewest links per entry to a service that has as many agents.
pub const MIN_SERVICE_LINKS: usize = 3;
/// One in so many links of an entry to a service goes to another site where that can be.
const REMOTE_LINK_INTERVAL: usize = 4;

/// The agents that `entry` links to, sorted by name: at most `max_links` in all, and to each
/// service at least [`MIN_SERVICE_LINKS`] or all of its agents where `max_links` has room.
///
/// `hosts` is the platform's list; only live agents with a link address are chosen. Where
/// `max_links` allows it, every agent is linked by at least one live entry, and the numbers of
/// entries that agents of a service get differ little. An entry that is not in the list gets no
/// links. The answer depends on the arguments alone, not on the order of `hosts`.
pub fn choose_links(
    entry: &HostName,
    hosts: &[HostRecord],
    document: &ConfigDocument,
    max_links: usize,
) -> Vec<HostName> {
    let all = choose_all_links(hosts, document, max_links);
    all.get(entry).cloned().unwrap_or_default()
}

/// The links of every live entry, as [`choose_links`] gives them for one.
pub fn choose_all_links(
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
        for (chosen, links) in matching.chosen.iter().zip(&mut links) {
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

/// A host as the matching sees it.
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

/// Links per entry to each service, whose numbers of agents are `sizes`: enough to reach every
/// agent, then a few, then in proportion to size; together at most `max_links`.
fn service_quotas(sizes: &[usize], entries: usize, max_links: usize) -> Vec<usize> {
    let reach = |size: usize| size.div_ceil(entries.max(1));
    let least = |size: usize| reach(size).max(MIN_SERVICE_LINKS).min(size);
    let mut quotas: Vec<usize> = sizes.iter().map(|&size| least(size)).collect();
    let mut spare = max_links.saturating_sub(quotas.iter().sum());
    while quotas.iter().sum::<usize>() > max_links {
        let Some(largest) = quotas.iter_mut().max_by_key(|quota| **quota) else { break };
        *largest -= 1;
    }
    let mut missing: usize = sizes.iter().zip(&quotas).map(|(size, quota)| size - quota).sum();
    for (size, quota) in sizes.iter().zip(&mut quotas) {
        let lacks = size - *quota;
        let extra = (spare * lacks).checked_div(missing).unwrap_or(0).min(lacks);
        *quota += extra;
        spare -= extra;
        missing -= lacks;
    }
    quotas
}

/// How far an agent is from an entry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum MatchDistance {
    SameSite,
    SameRegion,
    Elsewhere,
}

fn distance(entry: &MatchNode, agent: &MatchNode) -> MatchDistance {
    if entry.site == agent.site {
        MatchDistance::SameSite
    } else if entry.region == agent.region {
        MatchDistance::SameRegion
    } else {
        MatchDistance::Elsewhere
    }
}

/// A matching of entries and the agents of one service, in the making.
struct LinkMatching {
    /// Chosen agents by entry.
    chosen: Vec<Vec<u32>>,
    /// Entries by agent, as a count.
    taken: Vec<usize>,
    /// Most agents of an entry.
    quota: usize,
}

impl LinkMatching {
    fn solve(entries: &[MatchNode], agents: &[MatchNode], quota: usize) -> Self {
        let mut matching =
            Self { chosen: vec![Vec::new(); entries.len()], taken: vec![0; agents.len()], quota };
        let total = entries.len() * quota;
        let low = (total / agents.len().max(1)).max(1);
        let high = total.div_ceil(agents.len().max(1)).max(1);
        let near = quota - quota / REMOTE_LINK_INTERVAL;
        let rooms = [low, high, high + 1, usize::MAX].map(|room| (room, quota));
        for (room, site_quota) in std::iter::once((low, near)).chain(rooms) {
            matching.fill(entries, agents, MatchDistance::SameSite, room, site_quota);
            matching.fill(entries, agents, MatchDistance::SameRegion, room, quota);
            matching.fill(entries, agents, MatchDistance::Elsewhere, room, quota);
        }
        for (agent, node) in agents.iter().enumerate() {
            matching.raise(entries, node, agent as u32, low);
        }
        matching
    }

    /// Gives `agent` entries that are linked to agents with more, nearest first, until it has `low`
    /// of them.
    fn raise(&mut self, entries: &[MatchNode], agent_node: &MatchNode, agent: u32, low: usize) {
        if self.taken[agent as usize] >= low {
            return;
        }
        let mut order: Vec<usize> = (0..entries.len()).collect();
        order.sort_by_cached_key(|&entry| {
            let entry = &entries[entry];
            (distance(entry, agent_node), combine_hashes(entry.hash, agent_node.hash))
        });
        for entry in order {
            if self.taken[agent as usize] >= low {
                return;
            }
            self.swap_in(entry, agent);
        }
    }

    /// Puts `agent` in the place of the entry's agent with the most entries, if that has at least
    /// two more.
    fn swap_in(&mut self, entry: usize, agent: u32) {
        let taken = &mut self.taken;
        let chosen = &mut self.chosen[entry];
        if chosen.contains(&agent) {
            return;
        }
        let Some(most) = chosen.iter_mut().max_by_key(|other| taken[**other as usize]) else {
            return;
        };
        if taken[*most as usize] >= taken[agent as usize] + 2 {
            taken[*most as usize] -= 1;
            taken[agent as usize] += 1;
            *most = agent;
        }
    }

    /// Accepts pairs at `wanted` distance in the order of their hash while the entry has fewer than
    /// `quota` agents and the agent fewer than `room` entries.
    fn fill(
        &mut self,
        entries: &[MatchNode],
        agents: &[MatchNode],
        wanted: MatchDistance,
        room: usize,
        quota: usize,
    ) {
        let open: Vec<usize> = (0..agents.len()).filter(|&at| self.taken[at] < room).collect();
        let mut pairs = Vec::new();
        for (entry, entry_node) in entries.iter().enumerate() {
            if self.chosen[entry].len() >= quota.min(self.quota) {
                continue;
            }
            for &agent in &open {
                let agent_node = &agents[agent];
                if distance(entry_node, agent_node) == wanted {
                    let hash = combine_hashes(entry_node.hash, agent_node.hash);
                    pairs.push((hash, entry as u32, agent as u32));
                }
            }
        }
        pairs.sort_unstable();
        for (_, entry, agent) in pairs {
            self.accept(entry as usize, agent, room, quota);
        }
    }

    fn accept(&mut self, entry: usize, agent: u32, room: usize, quota: usize) {
        let chosen = &mut self.chosen[entry];
        let taken = &mut self.taken[agent as usize];
        if chosen.len() >= quota || *taken >= room || chosen.contains(&agent) {
            return;
        }
        chosen.push(agent);
        *taken += 1;
    }
}
