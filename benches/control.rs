//! Simulates the control plane in virtual time, with the core's own code: the load on the key-value
//! service, the traffic per process and the time until a configuration is active on all processes.
//! Prints `name value target` lines.

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
const BURST_CHANGE_COUNT: usize = 20;
const MEASUREMENT_PERIOD: Duration = Duration::from_secs(600);
const ORGANISATIONS: usize = 500;
/// IP, TCP and WebSocket headers of one frame, and its TCP acknowledgement.
const FRAME_OVERHEAD_BYTES: f64 = 120.0;
/// Changes of the list of hosts per day: 12 hosts fail (removed, added) and 160 are replaced (leaving,
/// removed, added).
const HOST_LIST_CHANGES_PER_DAY: f64 = 12.0 * 2.0 + 160.0 * 3.0;
const DAY_SECONDS: f64 = 86_400.0;
/// Headers of a call and its response, with their TCP acknowledgements.
const KV_CALL_OVERHEAD_BYTES: f64 = 600.0;
const BASE64_EXPANSION: f64 = 4.0 / 3.0;

fn main() {
    for size in [20, 200, 2_000] {
        print_kv_call_rates(size);
    }
    print_activation_times();
    print_traffic();
}

fn print_line(name: &str, value: f64, target: &str) {
    println!("{name} {value:.3} {target}");
}

/// A fleet that has applied one configuration and run for 120 s.
fn start_settled_fleet(size: usize, seed: u64) -> FleetModel {
    let mut fleet = FleetModel::start(size, SITES, seed);
    fleet.apply();
    fleet.run_for(Duration::from_secs(120));
    fleet
}

/// Runs for [`MEASUREMENT_PERIOD`] with changes at the daily rate. Adds the time until each is active
/// everywhere to `activation_times`; returns the messages sent.
fn run_changes(fleet: &mut FleetModel, activation_times: &mut Vec<Duration>) -> FleetCounts {
    let before_counts = fleet.counts;
    let end = fleet.now + MEASUREMENT_PERIOD;
    let change_interval = Duration::from_secs(SECONDS_PER_DAY) / CHANGES_PER_DAY as u32;
    while fleet.now < end {
        let next_change = fleet.now + change_interval;
        fleet.apply();
        activation_times.extend(fleet.run_until_active(change_interval));
        fleet.run_for(next_change.since(fleet.now));
    }
    let after_counts = fleet.counts;
    FleetCounts {
        calls: after_counts.calls - before_counts.calls,
        announcements: after_counts.announcements - before_counts.announcements,
        patches: after_counts.patches - before_counts.patches,
        whole_records: after_counts.whole_records - before_counts.whole_records,
        rows: after_counts.rows - before_counts.rows,
    }
}

fn print_kv_call_rates(size: usize) {
    let mut fleet = start_settled_fleet(size, 1);
    let start_peak = fleet.calls_by_second.iter().max().copied().unwrap_or(0);
    let counts = run_changes(&mut fleet, &mut Vec::new());
    let rate = counts.calls as f64 / MEASUREMENT_PERIOD.as_secs_f64();
    print_line(&format!("kv_calls_per_second_{size}"), rate, "<=2000");
    print_line(&format!("kv_calls_peak_second_start_{size}"), start_peak as f64, "<=2000");
    let period_start = fleet.calls_by_second.len();
    fleet.set_down(true);
    fleet.run_for(MEASUREMENT_PERIOD);
    let outage_calls = fleet.calls_by_second[period_start..].iter().sum::<u64>() as f64;
    let rate = outage_calls / MEASUREMENT_PERIOD.as_secs_f64();
    print_line(&format!("kv_calls_per_second_outage_{size}"), rate, "<=2000");
    let period_start = fleet.calls_by_second.len();
    fleet.set_down(false);
    fleet.run_for(Duration::from_secs(60));
    let peak = fleet.calls_by_second[period_start..].iter().max().copied().unwrap_or(0);
    print_line(&format!("kv_calls_peak_second_return_{size}"), peak as f64, "<=2000");
}

fn print_activation_times() {
    let mut fleet = start_settled_fleet(FLEET_SIZE, 2);
    let mut activation_times = Vec::new();
    run_changes(&mut fleet, &mut activation_times);
    activation_times.sort();
    let longest = activation_times.last().map_or(0.0, Duration::as_secs_f64);
    let median =
        activation_times.get(activation_times.len() / 2).map_or(0.0, Duration::as_secs_f64);
    print_line("in_force_median_seconds", median, "<=11");
    print_line("in_force_longest_seconds", longest, "<=11");
    for _ in 0..BURST_CHANGE_COUNT {
        fleet.apply();
        fleet.run_for(Duration::from_millis(50));
    }
    print_activation_time("in_force_burst_seconds", &mut fleet);
    fleet.set_down(true);
    fleet.run_for(Duration::from_secs(3_600));
    fleet.set_down(false);
    fleet.apply();
    print_activation_time("in_force_after_outage_seconds", &mut fleet);
    fleet.run_for(Duration::from_secs(60));
    fleet.kill_watchers();
    fleet.apply();
    print_activation_time("in_force_without_watchers_seconds", &mut fleet);
}

fn print_activation_time(name: &str, fleet: &mut FleetModel) {
    let time = fleet.run_until_active(Duration::from_secs(120));
    print_line(name, time.map_or(f64::INFINITY, |time| time.as_secs_f64()), "<=11");
}

/// Bytes of an announcement frame, of a patch frame and of a whole record, for a document of the size
/// that the product is designed for.
fn record_sizes() -> (f64, f64, f64) {
    let mut document = ConfigDocument::default();
    for index in 0..ORGANISATIONS {
        let organisation = OrganisationConfig {
            key_hash: [index as u8; 32],
            weight: 1,
            priority: PriorityClass::Normal,
            max_in_flight: Some(100),
            tokens_per_second: Some(2_000),
        };
        document.organisations.insert(format!("organisation-{index:04}").into(), organisation);
    }
    let mut record = None;
    for apply_id in 0..10 {
        record = Some(ConfigRecord::based_on(record.as_ref(), ApplyId(apply_id), document.clone()));
    }
    let before: ConfigRecord = record.expect("ten records were created");
    document.organisations.values_mut().for_each(|organisation| organisation.weight = 1);
    if let Some(organisation) = document.organisations.get_mut("organisation-0007") {
        organisation.weight = 2;
    }
    let after = ConfigRecord::based_on(Some(&before), ApplyId(11), document);
    let before = before.encode().expect("the record is under 1 MiB");
    let after = after.encode().expect("the record is under 1 MiB");
    let patch = ConfigPatch::between(&before, &after).expect("both records decode");
    let patch = encode_patches(&[&patch]).expect("the patch is within the size limit");
    let announcement_bytes = config_frame_bytes(Vec::new());
    (announcement_bytes, config_frame_bytes(patch), after.len() as f64)
}

fn config_frame_bytes(body: Vec<u8>) -> f64 {
    let generation = ConfigGeneration(1_000_000);
    let frame = LinkFrame::Config(ConfigFrame { generation, body: body.into() });
    frame.encode().expect("the frame is within the size limit").len() as f64
}

fn print_traffic() {
    let (announcement_bytes, patch_bytes, whole_bytes) = record_sizes();
    print_line("record_bytes", whole_bytes, "<=1048576");
    print_line("patch_frame_bytes", patch_bytes, "-");
    let mut fleet = start_settled_fleet(FLEET_SIZE, 3);
    let counts = run_changes(&mut fleet, &mut Vec::new());
    let per_process_second = 1.0 / (MEASUREMENT_PERIOD.as_secs_f64() * FLEET_SIZE as f64);
    let frame_bytes = |count: u64, bytes: f64| count as f64 * (bytes + FRAME_OVERHEAD_BYTES);
    // Link traffic counts at both ends of a link.
    let announcement_traffic = 2.0 * frame_bytes(counts.announcements, announcement_bytes);
    let link_bytes = 2.0
        * (frame_bytes(counts.patches, patch_bytes)
            + frame_bytes(counts.whole_records, whole_bytes));
    let row_bytes = counts.rows as f64 * whole_bytes * BASE64_EXPANSION;
    let kv_bytes = row_bytes + counts.calls as f64 * KV_CALL_OVERHEAD_BYTES;
    let config_rate = (announcement_traffic + link_bytes + kv_bytes) * per_process_second;
    print_line("config_bytes_per_second_per_process", config_rate, "<=7000");
    let all_whole_bytes = 2.0 * frame_bytes(counts.patches + counts.whole_records, whole_bytes);
    let config_rate = (announcement_traffic + all_whole_bytes + kv_bytes) * per_process_second;
    print_line("config_bytes_per_second_without_patches", config_rate, "<=7000");
    let link_count = fleet.link_ends as f64 / FLEET_SIZE as f64;
    let heartbeat_bytes =
        LinkFrame::Heartbeat.encode().expect("the frame is within the size limit").len() as f64;
    let heartbeats_per_second = 1.0 / HEARTBEAT_INTERVAL.as_secs_f64();
    let heartbeat_rate =
        link_count * 2.0 * heartbeats_per_second * (heartbeat_bytes + FRAME_OVERHEAD_BYTES);
    print_line("link_ends_per_process", link_count, "-");
    print_line("heartbeat_bytes_per_second_per_process", heartbeat_rate, "<=7000");
    let encoded_hosts =
        serde_json::to_vec(&fleet_hosts(FLEET_SIZE, SITES)).expect("host records serialize");
    let poll_seconds = poll_interval(FLEET_SIZE).as_secs_f64();
    // The list is sent only when it has changed; other reads get a response without a body.
    let changed_list_rate = encoded_hosts.len() as f64 * HOST_LIST_CHANGES_PER_DAY / DAY_SECONDS;
    let host_list_rate = changed_list_rate + KV_CALL_OVERHEAD_BYTES / poll_seconds;
    print_line("hosts_list_bytes_per_second_per_process", host_list_rate, "<=7000");
}
