//! The timeline of a request that `explain` assembles from log lines of several hosts.

use buckthornwharf::cmd::explain::{LogLine, explain};

const ENTRY_LOG: &str = "\
time=2026-06-01T09:31:10.000Z level=info event=config generation=2 revision=18 before=0 routes=119
time=2026-06-01T09:31:10.100Z level=info event=entries live=4 in_region=1
time=2026-06-01T09:31:12.000Z level=info event=target id=i-1 phase=ready models=[1] revision=40
time=2026-06-01T09:31:20.983Z level=info event=attempt_failed request=70ba target=i-1 end=broken attempt=1 age_ms=1
time=2026-06-01T09:31:21.000Z level=info event=answered request=ffff status=200 target=i-1 attempts=1
time=2026-06-01T09:31:21.654Z level=info event=answered request=70ba status=200 target=i-2 attempts=2
";
const OTHER_LOG: &str = "\
time=2026-06-01T09:31:13.000Z level=info event=target id=i-2 phase=ready models=[1] revision=41
time=2026-06-01T09:31:13.100Z level=info event=rejected request=0001 reason=no_route status=404
";

fn lines() -> Vec<LogLine> {
    let parse = |file: &'static str, text: &'static str| {
        text.lines().map(move |line| LogLine::new(file, line))
    };
    parse("other.log", OTHER_LOG).chain(parse("entry.log", ENTRY_LOG)).collect()
}

#[test]
fn a_timeline_shows_the_known_state_and_missing_lines() {
    insta::assert_snapshot!(explain("70ba", lines()).join("\n"), @r"
    believed  entry.log: time=2026-06-01T09:31:10.000Z level=info event=config generation=2 revision=18 before=0 routes=119
    believed  entry.log: time=2026-06-01T09:31:10.100Z level=info event=entries live=4 in_region=1
    believed  entry.log: time=2026-06-01T09:31:12.000Z level=info event=target id=i-1 phase=ready models=[1] revision=40
    request   entry.log: time=2026-06-01T09:31:20.983Z level=info event=attempt_failed request=70ba target=i-1 end=broken attempt=1 age_ms=1
    missing   no line about target i-2 before
    request   entry.log: time=2026-06-01T09:31:21.654Z level=info event=answered request=70ba status=200 target=i-2 attempts=2
    ");
}

#[test]
fn a_request_that_no_line_names_has_no_timeline() {
    assert!(explain("abcd", lines()).is_empty());
}
