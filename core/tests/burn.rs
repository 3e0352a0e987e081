//! Tests of burn rates and error budgets.

use buckthornwharf_core::burn::{BurnCounts, BurnRecorder, BurnReport, BurnSample, evaluate};
use buckthornwharf_core::config::ObjectiveConfig;
use buckthornwharf_core::prelude::*;
use proptest::prelude::*;

fn objectives() -> SortedTable<ServiceName, ObjectiveConfig> {
    let chat = ObjectiveConfig {
        availability: 0.999,
        first_token_ms: Some(340),
        between_tokens_ms: Some(29),
        time_to_live_seconds: Some(300),
    };
    let ledger = ObjectiveConfig {
        availability: 0.9999,
        first_token_ms: None,
        between_tokens_ms: None,
        time_to_live_seconds: None,
    };
    [("chat".into(), chat), ("ledger".into(), ledger)].into_iter().collect()
}

fn recorder_at(now: MonoTime) -> BurnRecorder {
    let mut recorder = BurnRecorder::new(now);
    recorder.set_objectives(objectives());
    recorder
}

fn record(recorder: &mut BurnRecorder, at_secs: u64, code: ResultCode, first_token_ms: u64) {
    let sample = BurnSample {
        service: &"chat".into(),
        organisation: &"nail-makers".into(),
        site: &"a1".into(),
        code,
        first_token: (code == ResultCode::Ok).then_some(Duration::from_millis(first_token_ms)),
        gaps_on_time: 0,
        gaps_late: 0,
    };
    recorder.record(MonoTime::from_millis(at_secs * 1_000), &sample);
}

/// The rows of a report, one a line.
fn lines(report: &BurnReport) -> String {
    let rows = report.rows.iter().map(|row| {
        let organisation = row.organisation.as_ref().map_or("*", |name| name.as_str());
        let windows = row
            .windows
            .iter()
            .map(|burn| format!("{} {}/{} x{:.1}", burn.window, burn.bad, burn.events, burn.rate));
        let causes = row
            .causes
            .iter()
            .map(|cause| format!("{}@{}:{}", cause.code.number(), cause.site, cause.bad));
        format!(
            "{} {organisation} {} left {:.2} page {} | {} | {}",
            row.service,
            row.kind,
            row.budget_left,
            row.page_due,
            windows.collect::<Vec<_>>().join(", "),
            causes.collect::<Vec<_>>().join(" "),
        )
        .trim_end()
        .to_owned()
    });
    rows.collect::<Vec<_>>().join("\n")
}

fn report_at(recorder: &mut BurnRecorder, at_secs: u64) -> BurnReport {
    evaluate(&recorder.counts(MonoTime::from_millis(at_secs * 1_000)), &objectives())
}

#[test]
fn page_is_due_during_a_short_outage_and_not_after_recovery() {
    let mut recorder = recorder_at(MonoTime::ZERO);
    for second in 0..7_200 {
        let is_failed = (6_900..7_200).contains(&second) && second % 4 == 0;
        let code = if is_failed { ResultCode::TargetFailed } else { ResultCode::Ok };
        record(&mut recorder, second, code, 100);
    }
    insta::assert_snapshot!(lines(&report_at(&mut recorder, 7_199)), @"
    chat * availability left -9.42 page true | 5m 75/330 x227.3, 30m 75/1830 x41.0, 1h 75/3630 x20.7, 6h 75/7200 x10.4 | 301@a1:75
    chat * first_token left 1.00 page false | 5m 0/255 x0.0, 30m 0/1755 x0.0, 1h 0/3555 x0.0, 6h 0/7125 x0.0 |
    chat nail-makers availability left -9.42 page true | 5m 75/330 x227.3, 30m 75/1830 x41.0, 1h 75/3630 x20.7, 6h 75/7200 x10.4 | 301@a1:75
    chat nail-makers first_token left 1.00 page false | 5m 0/255 x0.0, 30m 0/1755 x0.0, 1h 0/3555 x0.0, 6h 0/7125 x0.0 |
    ");
    for second in 7_200..9_100 {
        record(&mut recorder, second, ResultCode::Ok, 100);
    }
    insta::assert_snapshot!(lines(&report_at(&mut recorder, 9_100)), @"
    chat * availability left -7.24 page false | 5m 0/310 x0.0, 30m 0/1810 x0.0, 1h 75/3610 x20.8, 6h 75/9100 x8.2 | 301@a1:75
    chat * first_token left 1.00 page false | 5m 0/310 x0.0, 30m 0/1810 x0.0, 1h 0/3535 x0.0, 6h 0/9025 x0.0 |
    chat nail-makers availability left -7.24 page false | 5m 0/310 x0.0, 30m 0/1810 x0.0, 1h 75/3610 x20.8, 6h 75/9100 x8.2 | 301@a1:75
    chat nail-makers first_token left 1.00 page false | 5m 0/310 x0.0, 30m 0/1810 x0.0, 1h 0/3535 x0.0, 6h 0/9025 x0.0 |
    ");
}

#[test]
fn late_first_tokens_and_gaps_burn_their_own_objectives() {
    let mut recorder = recorder_at(MonoTime::ZERO);
    for second in 0..100 {
        record(&mut recorder, second, ResultCode::Ok, if second % 10 == 0 { 500 } else { 100 });
    }
    let late_gaps = BurnSample {
        service: &"chat".into(),
        organisation: &"cable-plants".into(),
        site: &"b1".into(),
        code: ResultCode::Ok,
        first_token: None,
        gaps_on_time: 80,
        gaps_late: 20,
    };
    recorder.record(MonoTime::from_millis(100_000), &late_gaps);
    let elapsed = Duration::from_secs(400);
    recorder.record_live(MonoTime::from_millis(100_000), &"chat".into(), &"a1".into(), elapsed);
    insta::assert_snapshot!(lines(&report_at(&mut recorder, 100)), @"
    chat * availability left 1.00 page false | 5m 0/101 x0.0, 30m 0/101 x0.0, 1h 0/101 x0.0, 6h 0/101 x0.0 |
    chat * first_token left -1.00 page false | 5m 10/100 x2.0, 30m 10/100 x2.0, 1h 10/100 x2.0, 6h 10/100 x2.0 | 0@a1:10
    chat * between_tokens left -3.00 page false | 5m 20/100 x4.0, 30m 20/100 x4.0, 1h 20/100 x4.0, 6h 20/100 x4.0 | 0@b1:20
    chat * time_to_live left -19.00 page true | 5m 1/1 x20.0, 30m 1/1 x20.0, 1h 1/1 x20.0, 6h 1/1 x20.0 | 0@a1:1
    chat cable-plants availability left 1.00 page false | 5m 0/1 x0.0, 30m 0/1 x0.0, 1h 0/1 x0.0, 6h 0/1 x0.0 |
    chat cable-plants between_tokens left -3.00 page false | 5m 20/100 x4.0, 30m 20/100 x4.0, 1h 20/100 x4.0, 6h 20/100 x4.0 | 0@b1:20
    chat nail-makers availability left 1.00 page false | 5m 0/100 x0.0, 30m 0/100 x0.0, 1h 0/100 x0.0, 6h 0/100 x0.0 |
    chat nail-makers first_token left -1.00 page false | 5m 10/100 x2.0, 30m 10/100 x2.0, 1h 10/100 x2.0, 6h 10/100 x2.0 | 0@a1:10
    ");
}

#[test]
fn errors_of_the_caller_do_not_count() {
    let mut recorder = recorder_at(MonoTime::ZERO);
    for code in [
        ResultCode::BadRequest,
        ResultCode::UnknownKey,
        ResultCode::NoRoute,
        ResultCode::Poisonous,
        ResultCode::OverLimit,
        ResultCode::Cancelled,
    ] {
        record(&mut recorder, 1, code, 0);
    }
    assert_eq!(lines(&report_at(&mut recorder, 2)), "");
}

#[test]
fn a_restarted_process_lowers_the_seen_share() {
    let mut long_running = recorder_at(MonoTime::ZERO);
    record(&mut long_running, 8 * 3_600, ResultCode::Ok, 100);
    let started_at = MonoTime::from_millis(1_000_000_000);
    let mut restarted = recorder_at(started_at);
    let mut counts = long_running.counts(MonoTime::from_millis(8 * 3_600_000));
    counts.merge(restarted.counts(started_at + Duration::from_secs(60)));
    let report = evaluate(&counts, &objectives());
    let shares = report.seen_share.iter().map(|(window, share)| format!("{window} {share:.3}"));
    insta::assert_snapshot!(shares.collect::<Vec<_>>().join(", "), @"5m 0.600, 30m 0.517, 1h 0.508, 6h 0.501");
}

#[test]
fn events_leave_each_window_when_it_has_passed() {
    let mut recorder = recorder_at(MonoTime::ZERO);
    record(&mut recorder, 10, ResultCode::TargetFailed, 0);
    let bad = [10, 329, 331, 1_829, 1_831, 3_629, 3_631, 21_899, 21_901, 90_000].map(|second| {
        let report = report_at(&mut recorder, second);
        report.rows.first().map(|row| row.windows.iter().map(|burn| burn.bad).collect::<Vec<_>>())
    });
    insta::assert_snapshot!(format!("{bad:?}"), @"[Some([1, 1, 1, 1]), Some([1, 1, 1, 1]), Some([0, 1, 1, 1]), Some([0, 1, 1, 1]), Some([0, 0, 1, 1]), Some([0, 0, 1, 1]), Some([0, 0, 0, 1]), Some([0, 0, 0, 1]), None, None]");
}

proptest! {
    /// However requests are distributed over processes, the merged counts equal those of a single
    /// process that recorded all of them.
    #[test]
    fn merged_counts_equal_those_of_one_process(
        events in prop::collection::vec((0u64..30_000, 0usize..3, 0usize..3), 1..200),
    ) {
        let codes = [ResultCode::Ok, ResultCode::TargetFailed, ResultCode::Overloaded];
        let mut events = events;
        events.sort_unstable();
        let mut single = recorder_at(MonoTime::ZERO);
        let mut processes = [(); 3].map(|()| recorder_at(MonoTime::ZERO));
        for (second, process, code) in events {
            record(&mut single, second, codes[code], second % 700);
            record(&mut processes[process], second, codes[code], second % 700);
        }
        let now = MonoTime::from_millis(30_000_000);
        let mut merged = BurnCounts::default();
        for mut process in processes {
            let mut bytes = Vec::new();
            ciborium::into_writer(&process.counts(now), &mut bytes).unwrap();
            merged.merge(ciborium::from_reader(bytes.as_slice()).unwrap());
        }
        prop_assert_eq!(merged.processes, 3);
        let rates = |counts: &BurnCounts| lines(&evaluate(counts, &objectives()));
        let without_causes = |text: String| text.lines().map(|line| {
            line.rsplit_once('|').unwrap_or_default().0.to_owned()
        }).collect::<Vec<_>>();
        prop_assert_eq!(without_causes(rates(&merged)), without_causes(rates(&single.counts(now))));
    }
}
