//! What control costs and how fast a configuration is in force, in virtual time over the core's own
//! decisions. Prints `name value target` lines.

#[path = "../core/tests/support/fleet.rs"]
mod fleet;

use buckthornwharf_core::config::patch::encode_patches;
use buckthornwharf_core::config::{
    ApplyId, ConfigDocument, ConfigPatch, ConfigRecord, OrganisationConfig, PriorityClass,
};
use buckthornwharf_core::frame::{ConfigFrame, LinkFrame};
use buckthornwharf_core::membership::merge::poll_interval;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::request::heartbeat::HEARTBEAT_INTERVAL;
use fleet::{FleetCounts, FleetModel, fleet_hosts};

const FLEET_SIZE: usize = 2_300;
const SITES: usize = 11;
const CHANGES_PER_DAY: u64 = 4_600;
const SECONDS_PER_DAY: u64 = 86_400;
const BURST_CHANGES: usize = 20;
const MEASURED: Duration = Duration::from_secs(600);
const ORGANISATIONS: usize = 500;
/// Headers of IP, TCP and WebSocket round one frame, and its acknowledgement.
const FRAME_OVERHEAD_BYTES: f64 = 120.0;
/// Changes of the list of hosts: 12 hosts fail (gone, new) and 160 are replaced (leaving, gone, new).
const LIST_CHANGES_PER_DAY: f64 = 12.0 * 2.0 + 160.0 * 3.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Heads of a call and its answer with their acknowledgements.
const CALL_OVERHEAD_BYTES: f64 = 600.0;
const BASE64_GROWTH: f64 = 4.0 / 3.0;

fn main() {
    for size in [20, 200, 2_000] {
        print_calls(size);
    }
    print_time_in_force();
    print_bytes();
}

fn print_line(name: &str, value: f64, target: &str) {
    println!("{name} {value:.3} {target}");
}

fn started(size: usize, seed: u64) -> FleetModel {
    let mut fleet = FleetModel::start(size, SITES, seed);
    fleet.apply();
    fleet.run_for(Duration::from_secs(120));
    fleet
}

/// A stretch with changes at the pace of the day; returns what it took.
fn run_changes(fleet: &mut FleetModel, times: &mut Vec<Duration>) -> FleetCounts {
    let before = fleet.counts;
    let end = fleet.now + MEASURED;
    let pace = Duration::from_secs(SECONDS_PER_DAY) / CHANGES_PER_DAY as u32;
    while fleet.now < end {
        let next = fleet.now + pace;
        fleet.apply();
        times.extend(fleet.run_until_active(pace));
        fleet.run_for(next.since(fleet.now));
    }
    let after = fleet.counts;
    FleetCounts {
        calls: after.calls - before.calls,
        announcements: after.announcements - before.announcements,
        patches: after.patches - before.patches,
        whole_records: after.whole_records - before.whole_records,
        rows: after.rows - before.rows,
    }
}

fn print_calls(size: usize) {
    let mut fleet = started(size, 1);
    let start_peak = fleet.calls_by_second.iter().max().copied().unwrap_or(0);
    let counts = run_changes(&mut fleet, &mut Vec::new());
    let rate = counts.calls as f64 / MEASURED.as_secs_f64();
    print_line(&format!("kv_calls_per_second_{size}"), rate, "<=2000");
    print_line(&format!("kv_calls_peak_second_start_{size}"), start_peak as f64, "<=2000");
    let returned = fleet.calls_by_second.len();
    fleet.set_down(true);
    fleet.run_for(MEASURED);
    let outage = fleet.calls_by_second[returned..].iter().sum::<u64>() as f64;
    let rate = outage / MEASURED.as_secs_f64();
    print_line(&format!("kv_calls_per_second_outage_{size}"), rate, "<=2000");
    let returned = fleet.calls_by_second.len();
    fleet.set_down(false);
    fleet.run_for(Duration::from_secs(60));
    let peak = fleet.calls_by_second[returned..].iter().max().copied().unwrap_or(0);
    print_line(&format!("kv_calls_peak_second_return_{size}"), peak as f64, "<=2000");
}

fn print_time_in_force() {
    let mut fleet = started(FLEET_SIZE, 2);
    let mut times = Vec::new();
    run_changes(&mut fleet, &mut times);
    times.sort();
    let longest = times.last().map_or(0.0, Duration::as_secs_f64);
    let median = times.get(times.len() / 2).map_or(0.0, Duration::as_secs_f64);
    print_line("in_force_median_seconds", median, "<=11");
    print_line("in_force_longest_seconds", longest, "<=11");
    for _ in 0..BURST_CHANGES {
        fleet.apply();
        fleet.run_for(Duration::from_millis(50));
    }
    print_in_force("in_force_burst_seconds", &mut fleet);
    fleet.set_down(true);
    fleet.run_for(Duration::from_secs(3_600));
    fleet.set_down(false);
    fleet.apply();
    print_in_force("in_force_after_outage_seconds", &mut fleet);
    fleet.run_for(Duration::from_secs(60));
    fleet.kill_watchers();
    fleet.apply();
    print_in_force("in_force_without_watchers_seconds", &mut fleet);
}

fn print_in_force(name: &str, fleet: &mut FleetModel) {
    let time = fleet.run_until_active(Duration::from_secs(120));
    print_line(name, time.map_or(f64::INFINITY, |time| time.as_secs_f64()), "<=11");
}

/// A document of the size to design for, and its encoding before and after a change.
fn record_sizes() -> (f64, f64, f64) {
    let mut document = ConfigDocument::default();
    for number in 0..ORGANISATIONS {
        let organisation = OrganisationConfig {
            key_hash: [number as u8; 32],
            weight: 1,
            priority: PriorityClass::Normal,
            max_in_flight: Some(100),
            tokens_per_second: Some(2_000),
        };
        document.organisations.insert(format!("organisation-{number:04}").into(), organisation);
    }
    let mut record = None;
    for run in 0..10 {
        record = Some(ConfigRecord::based_on(record.as_ref(), ApplyId(run), document.clone()));
    }
    let before: ConfigRecord = record.expect("a record");
    document.organisations.values_mut().for_each(|organisation| organisation.weight = 1);
    if let Some(organisation) = document.organisations.get_mut("organisation-0007") {
        organisation.weight = 2;
    }
    let after = ConfigRecord::based_on(Some(&before), ApplyId(11), document);
    let before = before.encode().expect("a record under a megabyte");
    let after = after.encode().expect("a record under a megabyte");
    let patch = ConfigPatch::between(&before, &after).expect("two records");
    let patch = encode_patches(&[&patch]).expect("a small patch");
    let announcement = config_frame_bytes(Vec::new());
    (announcement, config_frame_bytes(patch), after.len() as f64)
}

fn config_frame_bytes(body: Vec<u8>) -> f64 {
    let generation = ConfigGeneration(1_000_000);
    let frame = LinkFrame::Config(ConfigFrame { generation, body: body.into() });
    frame.encode().expect("a frame under the limit").len() as f64
}

fn print_bytes() {
    let (announcement, patch, whole) = record_sizes();
    print_line("record_bytes", whole, "<=1048576");
    print_line("patch_frame_bytes", patch, "-");
    let mut fleet = started(FLEET_SIZE, 3);
    let counts = run_changes(&mut fleet, &mut Vec::new());
    let per_process = 1.0 / (MEASURED.as_secs_f64() * FLEET_SIZE as f64);
    let frame = |count: u64, bytes: f64| count as f64 * (bytes + FRAME_OVERHEAD_BYTES);
    // What goes over a link is counted at both of its ends.
    let announcements = 2.0 * frame(counts.announcements, announcement);
    let links = 2.0 * (frame(counts.patches, patch) + frame(counts.whole_records, whole));
    let rows = counts.rows as f64 * whole * BASE64_GROWTH;
    let service = rows + counts.calls as f64 * CALL_OVERHEAD_BYTES;
    let config = (announcements + links + service) * per_process;
    print_line("config_bytes_per_second_per_process", config, "<=7000");
    let all_whole = 2.0 * frame(counts.patches + counts.whole_records, whole);
    let config = (announcements + all_whole + service) * per_process;
    print_line("config_bytes_per_second_without_patches", config, "<=7000");
    let link_count = fleet.link_ends as f64 / FLEET_SIZE as f64;
    let heartbeat = LinkFrame::Heartbeat.encode().expect("a small frame").len() as f64;
    let pace = 1.0 / HEARTBEAT_INTERVAL.as_secs_f64();
    let heartbeats = link_count * 2.0 * pace * (heartbeat + FRAME_OVERHEAD_BYTES);
    print_line("link_ends_per_process", link_count, "-");
    print_line("heartbeat_bytes_per_second_per_process", heartbeats, "<=7000");
    let hosts = serde_json::to_vec(&fleet_hosts(FLEET_SIZE, SITES)).expect("a list");
    let period = poll_interval(FLEET_SIZE).as_secs_f64();
    // The list is sent only when it has changed; the other reads are answered without a body.
    let changed = hosts.len() as f64 * LIST_CHANGES_PER_DAY / DAY_SECONDS;
    let list = changed + CALL_OVERHEAD_BYTES / period;
    print_line("hosts_list_bytes_per_second_per_process", list, "<=7000");
}
