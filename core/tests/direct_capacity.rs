//! Learned limits of targets that differ in speed: several entries in virtual time, compared with fixed
//! slots and with an oracle that knows the true times and loads.

#[path = "support/uneven_fleet.rs"]
mod uneven_fleet;

use buckthornwharf_core::direct::capacity::{
    CapacityTable, EngineState, PauseMeter, SpeedSample, TargetWork,
};
use buckthornwharf_core::direct::{
    Admission, EngineSpec, EngineTiming, RegisteredTarget, SlotGrant, SlotRequest, SlotScheduler,
    WaitAllowance,
};
use buckthornwharf_core::prelude::*;
use uneven_fleet::{FleetPlan, FleetResult, Placement, play, request, scheduler, target};

const SEEDS: std::ops::Range<u64> = 1..4;
const SPEEDS_1_TO_4: [f64; 8] = [1.0, 4.0, 1.0, 4.0, 1.0, 4.0, 1.0, 4.0];
/// When a target becomes slow.
const CHANGE_MS: u64 = 8_000;

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

/// 16 entries, agents that report every 100 ms, and answers that take longer than that.
fn engines() -> FleetPlan {
    FleetPlan { agents: true, entries: 16, usual_ms: 150.0, length_ms: 14_000, ..plain() }
}

/// 4 entries, and targets without agents.
fn plain() -> FleetPlan {
    FleetPlan { length_ms: 14_000, ..FleetPlan::default() }
}

/// The mean share in time over some seeds, after a start of 2 s.
fn mean_share(plan: &FleetPlan, placement: Placement) -> f64 {
    let share = |seed| {
        let result = play(&FleetPlan { seed, ..plan.clone() }, placement);
        result.share(2_000..plan.length_ms - 1_000)
    };
    SEEDS.map(share).sum::<f64>() / SEEDS.count() as f64
}

/// The shares in time with learned limits and with the oracle.
fn compared(plan: &FleetPlan) -> (f64, f64) {
    let share = mean_share(plan, Placement::Learned);
    let fixed = mean_share(plan, Placement::Fixed);
    let oracle = mean_share(plan, Placement::Oracle);
    println!("learned {share:.3} fixed {fixed:.3} oracle {oracle:.3} part {:.3}", share / oracle);
    assert!(share + 0.01 >= fixed, "learned {share:.3}, fixed {fixed:.3}");
    (share, oracle)
}

/// Plays a target that is slower by 2.5 from [`CHANGE_MS`] on for `slow_ms`, and checks the 2 s that begin 2 s
/// after each change.
fn check_slow_target(plan: FleetPlan, slow_ms: u64) {
    let ends_ms = CHANGE_MS + slow_ms;
    let plan = FleetPlan {
        slow_time: Some((1, CHANGE_MS..ends_ms, 2.5)),
        length_ms: ends_ms.max(CHANGE_MS + 2_000) + 5_000,
        ..plan
    };
    let learned = play(&plan, Placement::Learned);
    let oracle = play(&plan, Placement::Oracle);
    for change_ms in [CHANGE_MS, ends_ms.next_multiple_of(1_000)] {
        let time = change_ms + 2_000..change_ms + 4_000;
        let (share, best) = (learned.share(time.clone()), oracle.share(time));
        println!("after {change_ms}: learned {share:.3} oracle {best:.3}");
        assert!(share >= best * 0.9, "{share:.3} of {best:.3} after {change_ms} ms");
    }
}

/// Guards against equal use of targets that take four times as long: their answers are late.
#[test]
fn with_speeds_1_to_4_plain_targets_answer_in_time_like_with_an_oracle() {
    let (share, oracle) = compared(&FleetPlan { slowness: SPEEDS_1_TO_4.to_vec(), ..plain() });
    assert!(share >= oracle * 0.97, "{share:.3} of {oracle:.3}");
}

/// Misses its goal: entries with reports that are 100 ms old find targets full three times in a row.
#[test]
#[ignore = "known red"]
fn with_speeds_1_to_4_sixteen_entries_answer_in_time_like_with_an_oracle() {
    let (share, oracle) = compared(&FleetPlan { slowness: SPEEDS_1_TO_4.to_vec(), ..engines() });
    assert!(share >= oracle * 0.97, "{share:.3} of {oracle:.3}");
}

/// Guards against filling all slots of targets whose times rise from a third of them on.
#[test]
fn targets_that_slow_down_from_a_third_of_their_slots_answer_in_time() {
    let slow_early = FleetPlan { knee: 2.0, slowness: vec![2.0; 8], ..plain() };
    let (share, oracle) = compared(&slow_early);
    assert!(share >= oracle * 0.97, "{share:.3} of {oracle:.3}");
}

#[test]
fn a_target_that_is_slow_for_a_moment_costs_little() {
    check_slow_target(plain(), 600);
    check_slow_target(engines(), 600);
}

#[test]
fn a_target_that_is_slow_for_a_minute_costs_little() {
    check_slow_target(plain(), 60_000);
    check_slow_target(engines(), 60_000);
}

/// Guards against taking a failure for a quick answer: a target that fails at once is always free.
#[test]
fn a_target_that_fails_fast_gets_few_requests() {
    for plan in [plain(), engines()] {
        let plan = FleetPlan { fails_fast: Some(1), ..plan };
        let result = play(&plan, Placement::Learned);
        let share = result.share(2_000..plan.length_ms - 1_000);
        let total: u32 = result.answers.iter().sum();
        println!("share {share:.3} failed {} of {total}", result.answers[1]);
        assert!(share >= 0.9, "{share:.3}");
        assert!(result.answers[1] * 20 < total, "{} of {total}", result.answers[1]);
    }
}

/// Guards against cutting the limits of targets whose answers only differ by chance.
#[test]
fn limits_of_equal_targets_with_heavy_tailed_times_stay() {
    let plan = FleetPlan { spread: 0.7, ..plain() };
    let FleetResult { limits, .. } = play(&plan, Placement::Learned);
    let means: Vec<f64> = (0..plan.slowness.len())
        .map(|index| limits.iter().map(|limits| f64::from(limits[index])).sum::<f64>())
        .map(|sum| sum / limits.len() as f64)
        .collect();
    assert!(means.iter().all(|mean| *mean >= 5.0), "{means:?}");
}

/// A target with `slots` slots whose times are proportional to its load from `knee` on, driven by a demand
/// between 1 and `slots`. Returns its limit after each answer.
fn limits_of_saturated_target(slots: u32, knee: f64) -> Vec<u32> {
    let mut table = CapacityTable::new(1);
    let record = target("t", "x", slots);
    table.set_target(&record);
    let mut limits = Vec::new();
    for step in 0..1500_u64 {
        let limit = table.limit("t").expect("a known target");
        // Busy for two seconds, then calm for one.
        let demand = if step % 150 < 100 { slots } else { 1 };
        let load = demand.min(limit);
        let sent_at = at(1_000 + step * 20);
        let work = TargetWork { requests: f64::from(load), ..TargetWork::default() };
        let sent = table.record_sent(sent_at, "t", (0, 0), work);
        let jitter = 0.8 + 0.4 * ((step * 7919 % 100) as f64 / 100.0);
        let time = 40.0 * (f64::from(load) / knee).max(1.0) * jitter;
        let sample = SpeedSample::Started { sent_at, sent };
        table.record(sent_at + Duration::from_secs_f64(time / 1000.0), "t", sample, load);
        limits.push(limit);
    }
    limits
}

/// Guards against a limit that swings between too few and too many requests.
#[test]
fn the_limit_of_a_target_that_slows_down_early_settles_near_the_knee() {
    let limits = limits_of_saturated_target(12, 4.0);
    let settled = &limits[500..];
    let (low, high) = (settled.iter().min().copied(), settled.iter().max().copied());
    assert!(low >= Some(3) && high <= Some(7), "{low:?} to {high:?}");
    let changes = settled.windows(2).filter(|pair| pair[0] != pair[1]).count();
    assert!(changes <= 40, "{changes} changes in 20 s");
}

#[test]
fn the_limit_of_a_target_that_takes_all_its_slots_stays() {
    let limits = limits_of_saturated_target(12, 12.0);
    assert!(limits[200..].iter().all(|limit| *limit >= 10), "{:?}", limits.iter().min());
}

/// Guards against limits that are cut since a fleet never reaches the published times.
#[test]
fn engines_that_are_slower_than_published_keep_their_limits() {
    let mut table = CapacityTable::new(1);
    table.set_engine(&"plain".into(), Some(&engine_spec()));
    table.set_target(&engine_target("a"));
    let mut lowest = u32::MAX;
    for step in 0..1000_u64 {
        let sent_at = at(1_000 + step * 20);
        let load = 1 + (step % 12) as u32;
        let work = TargetWork { requests: f64::from(load), ..TargetWork::default() };
        let sent = table.record_sent(sent_at, "a", (800, 21), work);
        let now = sent_at + sent.expected * 2;
        table.record(now, "a", SpeedSample::Started { sent_at, sent }, load);
        lowest = lowest.min(table.limit("a").expect("a known target"));
    }
    assert!(lowest >= 11, "{lowest}");
}

fn engine_spec() -> EngineSpec {
    EngineSpec {
        slots: 12,
        models: vec!["m".into()],
        chunks: 48,
        chunk_bytes: 49_152,
        prompt_tokens_per_second: Some(20_700),
        timing: Some(EngineTiming {
            step: Duration::from_micros(9_270),
            per_request: Duration::from_micros(200),
            per_context: Duration::from_micros(50),
            per_pairs: Duration::from_millis(1),
            prefill_tokens: 512,
            stride: 2,
        }),
        memory_tokens: Some(20_000),
        usual_tokens: Some((800, 21)),
    }
}

fn engine_target(id: &str) -> Arc<RegisteredTarget> {
    target(id, "x", 12)
}

fn engine_scheduler(ids: &[&str], entries: usize, seed: u64) -> SlotScheduler {
    let mut scheduler = scheduler(entries, Some(seed));
    scheduler.set_engine(&"plain".into(), Some(&engine_spec()));
    scheduler.set_prefill_rate(&"plain".into(), 20_700);
    let targets: Vec<Arc<RegisteredTarget>> = ids.iter().map(|id| engine_target(id)).collect();
    scheduler.set_targets(targets.iter());
    scheduler
}

fn prompt_of(tokens: u32) -> SlotRequest {
    let request = request(Duration::from_millis(200), 500, Vec::new());
    SlotRequest { prompt_tokens: tokens, answer_tokens: 21, ..request }
}

fn granted(scheduler: &mut SlotScheduler, now: MonoTime, tokens: u32) -> Option<SlotGrant> {
    match scheduler.request(now, prompt_of(tokens)) {
        Admission::Granted(grant) => Some(grant),
        Admission::Queued(ticket) => {
            scheduler.cancel(ticket);
            None
        }
        Admission::Refused(_) => None,
    }
}

fn report(scheduler: &mut SlotScheduler, now: MonoTime, id: &str, state: EngineState) {
    scheduler.set_load(now, id, state.running + state.waiting, true);
    scheduler.set_engine_state(now, id, state);
}

/// Guards against streams that pause behind two prompts while another target reads none.
#[test]
fn prompts_are_spread_over_targets() {
    let ids = ["a", "b", "c", "d"];
    let mut scheduler = engine_scheduler(&ids, 4, 1);
    for id in ids {
        report(&mut scheduler, at(0), id, EngineState { running: 4, ..EngineState::default() });
    }
    let grants: Vec<SlotGrant> =
        (0..4).filter_map(|_| granted(&mut scheduler, at(10), 1_000)).collect();
    let mut used: Vec<&str> = grants.iter().map(|grant| &*grant.target.id).collect();
    used.sort_unstable();
    assert_eq!(used, ids);
}

/// Guards against entries that all choose the one target that has just become free.
#[test]
fn entries_do_not_herd_onto_a_target_that_has_become_quick() {
    let ids = ["a", "b", "c", "d", "e", "f", "g", "h"];
    let mut sent = 0;
    for seed in 0..16 {
        let mut scheduler = engine_scheduler(&ids, 16, seed);
        for id in ids {
            let running = if id == "c" { 0 } else { 4 };
            report(&mut scheduler, at(0), id, EngineState { running, ..EngineState::default() });
        }
        for _ in 0..4 {
            if let Some(grant) = granted(&mut scheduler, at(10), 600) {
                sent += u32::from(&*grant.target.id == "c");
            }
        }
    }
    // All 16 entries have the same report; 64 requests are sent to 8 targets.
    assert!((1..=16).contains(&sent), "{sent}");
}

/// Guards against reports that are followed only after slow answers: the reported pace counts at once.
#[test]
fn a_reported_pace_is_followed_at_once() {
    let mut scheduler = engine_scheduler(&["a", "b"], 1, 1);
    let state = EngineState { running: 2, pace: Some(1.0), ..EngineState::default() };
    report(&mut scheduler, at(0), "a", state);
    report(&mut scheduler, at(0), "b", state);
    let request = prompt_of(800);
    let before = scheduler.expected_start(at(1), "a", &request).expect("a known target");
    report(&mut scheduler, at(50), "a", EngineState { pace: Some(2.5), ..state });
    let slow = scheduler.expected_start(at(51), "a", &request).expect("a known target");
    assert!(slow > before * 2, "{slow:?} after {before:?}");
    for _ in 0..3 {
        let grant = granted(&mut scheduler, at(52), 200).expect("a slot");
        scheduler.prefill_done(at(53), &grant);
        assert_eq!(&*grant.target.id, "b");
    }
    report(&mut scheduler, at(150), "a", state);
    let after = scheduler.expected_start(at(151), "a", &request).expect("a known target");
    assert_eq!(after, before);
}

/// Guards against an engine that preempts a request, because the answers of others fill its memory.
#[test]
fn a_target_without_memory_for_a_request_gets_none() {
    let mut scheduler = engine_scheduler(&["a"], 1, 1);
    let filled =
        |part| EngineState { running: 4, memory_part: Some(part), ..EngineState::default() };
    report(&mut scheduler, at(0), "a", filled(0.9));
    assert!(granted(&mut scheduler, at(1), 800).is_none());
    report(&mut scheduler, at(100), "a", filled(0.5));
    assert!(granted(&mut scheduler, at(101), 800).is_some());
    // What was sent since the report counts, too.
    let more = (0..11).filter_map(|step| {
        let grant = granted(&mut scheduler, at(102 + step), 1_500)?;
        scheduler.prefill_done(at(102 + step), &grant);
        Some(grant)
    });
    assert!(more.count() <= 5);
}

/// Guards against failures of one route that block the targets for all others.
#[test]
fn targets_that_all_fail_still_get_requests() {
    let mut scheduler = scheduler(1, Some(1));
    scheduler.set_targets([target("a", "x", 6), target("b", "x", 6)].iter());
    for step in 0..200 {
        let now = at(1_000 + step * 10);
        let Some(grant) = granted(&mut scheduler, now, 0) else { continue };
        scheduler.prefill_done(now, &grant);
        scheduler.record_speed(now, &grant, SpeedSample::Failed);
        let answered = buckthornwharf_core::direct::slots::SlotOutcome::Answered;
        scheduler.release(now, &grant.target.id, answered);
    }
    assert!(granted(&mut scheduler, at(3_010), 0).is_some());
}

/// Guards against a new target that is flooded or avoided until it is known.
#[test]
fn a_new_target_starts_from_the_values_of_its_service() {
    let mut scheduler = scheduler(1, Some(1));
    scheduler.set_targets([target("a", "x", 6)].iter());
    for step in 0..50 {
        let sent_at = at(1_000 + step * 100);
        let grant = granted(&mut scheduler, sent_at, 0).expect("a slot");
        let now = sent_at + Duration::from_millis(80);
        scheduler.prefill_done(now, &grant);
        let sample = SpeedSample::Started { sent_at, sent: grant.sent };
        scheduler.record_speed(now, &grant, sample);
        let answered = buckthornwharf_core::direct::slots::SlotOutcome::Answered;
        scheduler.release(now, &grant.target.id, answered);
    }
    scheduler.set_targets([target("a", "x", 6), target("b", "x", 6)].iter());
    let expected = scheduler.expected_start(at(6_000), "b", &prompt_of(0)).expect("a target");
    assert!((75..=85).contains(&expected.as_millis()), "{expected:?}");
}

#[test]
fn pauses_are_recorded_as_means_of_several() {
    let mut meter = PauseMeter::default();
    assert_eq!(meter.on_events(at(0), 1), None);
    for event in 1..8 {
        assert_eq!(meter.on_events(at(event * 10), 1), None);
    }
    let sample = meter.on_events(at(80), 1).expect("a sample");
    assert_eq!((sample.count, sample.mean), (8, Duration::from_millis(10)));
    // A long pause is recorded at its end.
    let sample = meter.on_events(at(480), 1).expect("a sample");
    assert_eq!((sample.count, sample.mean), (1, Duration::from_millis(400)));
}

/// Guards against a short answer that waits in the fair order because a longer one, which was tried before it,
/// does not fit into the memory of the target.
#[test]
fn in_the_fair_order_a_long_answer_does_not_keep_back_a_short_one_that_fits_into_memory() {
    let mut scheduler = scheduler(1, Some(1)).with_fair_queue(true);
    let service = ServiceName::from("plain");
    scheduler.set_engine(&service, Some(&engine_spec()));
    scheduler.set_prefill_rate(&service, 20_700);
    scheduler.set_targets([engine_target("a")].iter());
    let state = EngineState { running: 2, memory_part: Some(0.9), ..EngineState::default() };
    report(&mut scheduler, at(0), "a", state);
    let late = |prompt_tokens, answer_tokens| SlotRequest {
        answer_tokens,
        wait: WaitAllowance { max_wait: Duration::from_secs(2), late: true },
        ..prompt_of(prompt_tokens)
    };
    let long = scheduler.request(at(1), late(100, 600));
    let short = scheduler.request(at(2), late(200, 21));
    let (Admission::Queued(long), Admission::Queued(short)) = (long, short) else {
        panic!("not queued");
    };
    let grants = scheduler.grant_free_slots(at(3));
    let tickets: Vec<_> = grants.iter().map(|(ticket, _)| *ticket).collect();
    assert_eq!(tickets, [short], "{long} does not fit");
}
