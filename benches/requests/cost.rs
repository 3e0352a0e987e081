//! Measures the time that single routing decisions take.

use crate::fleet::host_record;
use crate::policy::target_state;
use buckthornwharf_core::config::{ConfigDocument, PriorityClass};
use buckthornwharf_core::membership::HostRole;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::routing::{
    FairQueue, PickAffinity, PickRequest, QueueItem, QueueLimits, TargetPicker, choose_links,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::hint::black_box;
use std::time::Instant;

const ITERATIONS: u64 = 200_000;
/// Target for the growth of the cost when the size grows 47 times (targets) or 100 times
/// (organisations).
const GROWTH_TARGET: &str = "<=2";

/// Measures and prints all costs.
pub fn print_costs() {
    let pick_costs = [40, 1_900].map(pick_nanos);
    println!("cost/pick/40_targets_ns {:.0} -", pick_costs[0]);
    println!("cost/pick/1900_targets_ns {:.0} -", pick_costs[1]);
    println!("cost/pick/growth {:.2} {GROWTH_TARGET}", pick_costs[1] / pick_costs[0]);
    let queue_costs = [10, 1_000].map(queue_nanos);
    println!("cost/queue/10_organisations_ns {:.0} -", queue_costs[0]);
    println!("cost/queue/1000_organisations_ns {:.0} -", queue_costs[1]);
    println!("cost/queue/growth {:.2} {GROWTH_TARGET}", queue_costs[1] / queue_costs[0]);
    println!("cost/links/12_entries_60_agents_ms {:.2} -", links_millis(12, 60));
    println!("cost/links/380_entries_1900_agents_ms {:.2} -", links_millis(380, 1_900));
}

/// Nanoseconds to pick a target and to record the start and the end of the attempt.
fn pick_nanos(targets: usize) -> f64 {
    let (service, site) = (ServiceName::from("chat"), SiteName::from("a1"));
    let mut picker = TargetPicker::default();
    let mut rng = StdRng::seed_from_u64(1);
    for number in 0..targets {
        let host = HostName::from(format!("agent-{number:04}"));
        picker.on_state(MonoTime::ZERO, &host, &site, &target_state(&service, 0, 0));
    }
    let start = Instant::now();
    for step in 0..ITERATIONS {
        let now = MonoTime::from_micros(step);
        let affinity = match step % 2 {
            0 => PickAffinity::Prefix(step.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            _ => PickAffinity::None,
        };
        let request = PickRequest {
            service: &service,
            site: &site,
            affinity,
            needs_digest: true,
            avoid: &[],
        };
        let picked = picker.pick(now, &request, &mut rng).expect("every target accepts requests");
        picker.on_attempt_start(now, &picked.host);
        picker.on_attempt_end(now, &picked.host, ResultCode::Ok, Duration::from_millis(1));
    }
    start.elapsed().as_nanos() as f64 / ITERATIONS as f64
}

/// Nanoseconds to push, pop and complete a request while 1,000 requests are queued.
fn queue_nanos(organisations: u64) -> f64 {
    let limits = QueueLimits { max_items: 2_000, max_tokens: u64::MAX };
    let mut queue = FairQueue::new(limits);
    let names: Vec<OrganisationName> =
        (0..organisations).map(|number| format!("organisation-{number:04}").into()).collect();
    for step in 0..1_000 {
        queue.push(MonoTime::ZERO, queue_item(&names, step));
    }
    let start = Instant::now();
    for step in 1_000..1_000 + ITERATIONS {
        let now = MonoTime::from_micros(step);
        black_box(queue.push(now, queue_item(&names, step)));
        let popped = queue.pop(now).next.expect("the queue is not empty");
        queue.on_done(now, &popped, popped.cost_tokens);
    }
    start.elapsed().as_nanos() as f64 / ITERATIONS as f64
}

fn queue_item(names: &[OrganisationName], step: u64) -> QueueItem {
    QueueItem {
        id: RequestId(u128::from(step.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        organisation: names[step as usize % names.len()].clone(),
        weight: 1,
        priority: PriorityClass::Normal,
        cost_tokens: 100 + (step % 50) as u32,
        deadline: MonoTime::from_millis(u64::MAX / 2_000),
    }
}

/// Milliseconds to choose the links of one entry.
fn links_millis(entries: usize, agents: usize) -> f64 {
    let site = SiteName::from("a1");
    let names = |role: &str, count| {
        (0..count).map(|index| HostName::from(format!("{role}-{index:04}"))).collect::<Vec<_>>()
    };
    let (entries, agents) = (names("entry", entries), names("agent", agents));
    let entry_records = entries.iter().map(|name| host_record(name, &site, HostRole::Entry));
    let agent_records = agents.iter().map(|name| host_record(name, &site, HostRole::Agent));
    let hosts: Vec<_> = entry_records.chain(agent_records).collect();
    let start = Instant::now();
    black_box(choose_links(&entries[0], &hosts, &ConfigDocument::default(), 64));
    start.elapsed().as_secs_f64() * 1_000.0
}
