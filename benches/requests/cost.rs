//! What one decision costs.

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

const STEPS: u64 = 200_000;
/// How much the cost may grow over a growth of 47 or 100 times in size.
const FLAT_GROWTH: &str = "<=2";

/// Measures and prints all.
pub fn print_costs() {
    let picks = [40, 1_900].map(pick_nanos);
    println!("cost/pick/40_targets_ns {:.0} -", picks[0]);
    println!("cost/pick/1900_targets_ns {:.0} -", picks[1]);
    println!("cost/pick/growth {:.2} {FLAT_GROWTH}", picks[1] / picks[0]);
    let steps = [10, 1_000].map(queue_nanos);
    println!("cost/queue/10_organisations_ns {:.0} -", steps[0]);
    println!("cost/queue/1000_organisations_ns {:.0} -", steps[1]);
    println!("cost/queue/growth {:.2} {FLAT_GROWTH}", steps[1] / steps[0]);
    println!("cost/links/12_entries_60_agents_ms {:.2} -", links_millis(12, 60));
    println!("cost/links/380_entries_1900_agents_ms {:.2} -", links_millis(380, 1_900));
}

/// Nanoseconds of a pick, the note that it was sent, and the note that it ended.
fn pick_nanos(targets: usize) -> f64 {
    let (service, site) = (ServiceName::from("chat"), SiteName::from("a1"));
    let mut picker = TargetPicker::default();
    let mut rng = StdRng::seed_from_u64(1);
    for number in 0..targets {
        let host = HostName::from(format!("agent-{number:04}"));
        picker.on_state(MonoTime::ZERO, &host, &site, &target_state(&service, 0, 0));
    }
    let start = Instant::now();
    for step in 0..STEPS {
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
        let picked = picker.pick(now, &request, &mut rng).expect("all targets are open");
        picker.on_attempt_start(now, &picked.host);
        picker.on_attempt_end(now, &picked.host, ResultCode::Ok, Duration::from_millis(1));
    }
    start.elapsed().as_nanos() as f64 / STEPS as f64
}

/// Nanoseconds of a push, a pop and the note that the work ended, with 1,000 requests waiting.
fn queue_nanos(organisations: u64) -> f64 {
    let limits = QueueLimits { max_items: 2_000, max_tokens: u64::MAX };
    let mut queue = FairQueue::new(limits);
    let names: Vec<OrganisationName> =
        (0..organisations).map(|number| format!("organisation-{number:04}").into()).collect();
    for step in 0..1_000 {
        queue.push(MonoTime::ZERO, item(&names, step));
    }
    let start = Instant::now();
    for step in 1_000..1_000 + STEPS {
        let now = MonoTime::from_micros(step);
        black_box(queue.push(now, item(&names, step)));
        let popped = queue.pop(now).next.expect("requests wait");
        queue.on_done(now, &popped, popped.cost_tokens);
    }
    start.elapsed().as_nanos() as f64 / STEPS as f64
}

fn item(names: &[OrganisationName], step: u64) -> QueueItem {
    QueueItem {
        id: RequestId(u128::from(step.wrapping_mul(0x9e37_79b9_7f4a_7c15))),
        organisation: names[step as usize % names.len()].clone(),
        weight: 1,
        priority: PriorityClass::Normal,
        cost_tokens: 100 + (step % 50) as u32,
        deadline: MonoTime::from_millis(u64::MAX / 2_000),
    }
}

fn links_millis(entries: usize, agents: usize) -> f64 {
    let site = SiteName::from("a1");
    let names = |role: &str, count| {
        (0..count).map(|at| HostName::from(format!("{role}-{at:04}"))).collect::<Vec<_>>()
    };
    let (entries, agents) = (names("entry", entries), names("agent", agents));
    let records = entries.iter().map(|name| host_record(name, &site, HostRole::Entry));
    let agents = agents.iter().map(|name| host_record(name, &site, HostRole::Agent));
    let hosts: Vec<_> = records.chain(agents).collect();
    let start = Instant::now();
    black_box(choose_links(&entries[0], &hosts, &ConfigDocument::default(), 64));
    start.elapsed().as_secs_f64() * 1_000.0
}
