//! Streams that break off and that the next target answers in any way: the bytes that the caller receives
//! from an entry process against the stand-in of the platform.

#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use fleet::{DirectFleet, eventually};
use futures_util::future::join_all;
use standin::script::{ScriptedAnswer, ScriptedEnd};

const SEAL: (&str, &str) = ("server-seal", "seal-1");
const EVENT_STREAM: &[(&str, &str)] = &[SEAL, ("content-type", "text/event-stream")];
const JSON: &[(&str, &str)] = &[SEAL, ("content-type", "application/json")];
const TEXT: &[(&str, &str)] = &[SEAL, ("content-type", "text/plain")];
const REFUSAL: &[(&str, &str)] = &[("not-executed", "1")];

const HALF: &str = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\n";
const REST: &str = "id: 3\ndata: token 3\n\nid: 4\ndata: token 4\n\n";
const WHOLE: &str = "id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\nid: 4\n\
                     data: token 4\n\n";

/// A stream that breaks off after whole events, with what the caller has of it.
const BREAKS: [(ScriptedAnswer, &str); 6] = [
    (stream(HALF, ScriptedEnd::Cut), HALF),
    (stream("id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\nda", ScriptedEnd::Cut), HALF),
    (
        stream("id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\nda", ScriptedEnd::LastChunk),
        HALF,
    ),
    (stream("id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3\nda", ScriptedEnd::Close), HALF),
    (
        stream("id: 2\r\ndata: token\r\n\r\nid: 3\r\n", ScriptedEnd::Cut),
        "id: 2\r\ndata: token\r\n\r\n",
    ),
    (stream(WHOLE, ScriptedEnd::Cut), WHOLE),
];

const fn stream(body: &'static str, end: ScriptedEnd) -> ScriptedAnswer {
    ScriptedAnswer { status: 200, headers: EVENT_STREAM, body, end }
}

const fn error(
    status: u16,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
) -> ScriptedAnswer {
    ScriptedAnswer { status, headers, body, end: ScriptedEnd::Length }
}

/// Removes the chunked framing; returns the body and whether its last chunk came.
fn unchunk(mut text: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, rest)) = text.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("the size of a chunk");
        if size == 0 {
            assert_eq!(rest, "\r\n", "bytes follow the last chunk");
            return (body, true);
        }
        body += &rest[..size];
        text = rest[size..].strip_prefix("\r\n").expect("the end of a chunk");
    }
    assert_eq!(text, "", "the connection ends within a chunk");
    (body, false)
}

/// Asserts that the caller received one head of a stream, `expected`, and the end only if it `is_complete`.
fn assert_stream(received: &str, expected: &str, is_complete: bool, case: &str) {
    assert_eq!(received.matches("HTTP/1.1").count(), 1, "{case}: {received}");
    let (head, body) = received.split_once("\r\n\r\n").expect("a head");
    assert!(head.starts_with("HTTP/1.1 200"), "{case}: {head}");
    assert_eq!(unchunk(body), (expected.to_owned(), is_complete), "{case}");
}

/// Breaks a stream off at each point, lets the next target answer with each of `answers`, and asserts that
/// the caller gets the events before the break alone.
async fn assert_cut_at_break(answers: &[ScriptedAnswer]) {
    for answer in answers {
        let cases = BREAKS.map(|(broken, expected)| async move {
            let fleet = DirectFleet::start(2).await;
            fleet.play(&[broken, *answer]);
            let received = fleet.post_raw("/stream/x", "id-1").await;
            let case = format!("{:?} {:?}, then {answer:?}", broken.body, broken.end);
            assert_stream(&received, expected, false, &case);
            let requests: usize = fleet.engines.iter().map(|engine| engine.runs()).sum();
            assert_eq!(requests, 2, "{case}: the stream was not offered to the next target");
        });
        join_all(cases).await;
    }
}

#[actix_rt::test]
async fn an_error_of_the_next_target_reaches_no_stream_that_has_begun() {
    let text = "event: error\ndata: it failed\n\n";
    assert_cut_at_break(&[
        error(500, TEXT, text),
        error(503, REFUSAL, text),
        error(503, TEXT, text),
        error(421, TEXT, text),
        error(504, TEXT, text),
        error(404, JSON, "{}\n\n"),
        error(429, REFUSAL, text),
    ])
    .await;
}

#[actix_rt::test]
async fn an_error_of_any_framing_reaches_no_stream_that_has_begun() {
    let text = "event: error\ndata: it failed\n\n";
    let ends = [ScriptedEnd::LastChunk, ScriptedEnd::Close, ScriptedEnd::Cut];
    let failed = error(500, EVENT_STREAM, text);
    assert_cut_at_break(&ends.map(|end| ScriptedAnswer { end, ..failed })).await;
    assert_cut_at_break(&[ScriptedAnswer { end: ScriptedEnd::NoAnswer, ..failed }]).await;
}

#[actix_rt::test]
async fn a_target_that_answers_a_resumed_stream_with_an_error_is_not_checked_for_a_crash() {
    for (answer, end) in [
        (error(500, TEXT, "it failed"), "end=server_error"),
        (error(504, TEXT, "it failed"), "end=server_error"),
        (error(404, TEXT, "it failed"), "end=garbled"),
        (error(200, JSON, "{}"), "end=garbled"),
    ] {
        let fleet = DirectFleet::start(2).await;
        fleet.play(&[stream(HALF, ScriptedEnd::Cut), answer]);
        fleet.post_raw("/stream/x", "id-1").await;
        let is_logged = || fleet.entry_log(0).contains(end);
        eventually(&format!("{end} for {answer:?}"), is_logged).await;
        let checks = || fleet.entry_log(0).matches("event=target_not_crashed").count();
        eventually("the first target is checked", || checks() > 0).await;
        assert_eq!(checks(), 1, "{answer:?}");
    }
}

#[actix_rt::test]
async fn a_success_that_is_no_stream_of_events_does_not_continue_one() {
    assert_cut_at_break(&[
        error(200, JSON, "{\"error\": \"it failed\"}"),
        error(200, JSON, "{\"error\": \"it failed\"}\n\n"),
        error(200, TEXT, "it failed\n\n"),
        error(200, TEXT, ": it failed\n"),
        error(200, JSON, "id: 7\n\n"),
    ])
    .await;
}

#[actix_rt::test]
async fn an_empty_answer_that_is_no_stream_of_events_does_not_end_one_as_complete() {
    assert_cut_at_break(&[
        error(200, &[SEAL], ""),
        error(200, JSON, ""),
        error(204, &[SEAL], ""),
        error(204, EVENT_STREAM, ""),
        ScriptedAnswer { end: ScriptedEnd::LastChunk, ..error(200, TEXT, "") },
        ScriptedAnswer { end: ScriptedEnd::Close, ..error(200, TEXT, "") },
    ])
    .await;
}

#[actix_rt::test]
async fn a_stream_that_starts_again_is_not_joined_to_one_that_has_begun() {
    assert_cut_at_break(&[
        stream("id: 1\ndata: token 1\n\n", ScriptedEnd::LastChunk),
        stream("id: 2\ndata: token 2\n\nid: 3\ndata: token 3\n\n", ScriptedEnd::LastChunk),
        stream(": begin\n\nid: 1\ndata: token 1\n\n", ScriptedEnd::Close),
    ])
    .await;
}

#[actix_rt::test]
async fn events_without_an_id_are_not_joined_to_a_stream_that_has_begun() {
    assert_cut_at_break(&[
        stream("data: token 3\n\n", ScriptedEnd::LastChunk),
        stream("event: error\ndata: it failed\n\n", ScriptedEnd::LastChunk),
        stream("event: error\ndata: it failed\n\nid: 5\ndata: token\n\n", ScriptedEnd::LastChunk),
        stream("id: five\ndata: token\n\n", ScriptedEnd::LastChunk),
    ])
    .await;
}

#[actix_rt::test]
async fn a_stream_goes_on_with_the_next_event_under_its_first_head() {
    const CHARSET: &[(&str, &str)] = &[SEAL, ("content-type", "Text/Event-Stream; charset=utf-8")];
    for (end, body) in [
        (ScriptedEnd::LastChunk, REST),
        (ScriptedEnd::Close, REST),
        (ScriptedEnd::LastChunk, ": begin\n\nid: 3\ndata: token 3\n\n"),
        // Ids increase, but not always by one.
        (ScriptedEnd::LastChunk, "weight-versions: 2\nid: 9\ndata: tokens\n\ndata: end\n\n"),
    ] {
        let fleet = DirectFleet::start(2).await;
        let broken =
            stream("id: 1\ndata: token 1\n\nid: 2\ndata: token 2\n\nid: 3", ScriptedEnd::Cut);
        fleet.play(&[broken, ScriptedAnswer { headers: CHARSET, ..stream(body, end) }]);
        let received = fleet.post_raw("/stream/x", "id-1").await;
        assert_stream(&received, &format!("{HALF}{body}"), true, body);
    }
}

#[actix_rt::test]
async fn a_stream_that_lacks_only_its_end_gets_it_from_the_next_target() {
    let fleet = DirectFleet::start(2).await;
    fleet.play(&[stream(WHOLE, ScriptedEnd::Cut), stream("", ScriptedEnd::LastChunk)]);
    assert_stream(&fleet.post_raw("/stream/x", "id-1").await, WHOLE, true, "no event is left");
}

#[actix_rt::test]
async fn a_stream_goes_on_at_a_third_target_after_an_error_of_the_second() {
    let text = "event: error\ndata: it failed\n\n";
    for answer in [
        error(500, TEXT, text),
        error(503, REFUSAL, text),
        error(504, TEXT, text),
        error(200, JSON, "{}\n\n"),
        error(204, &[SEAL], ""),
        stream("id: 1\ndata: token 1\n\n", ScriptedEnd::LastChunk),
        stream("id: 3\nda", ScriptedEnd::Close),
        stream("", ScriptedEnd::NoAnswer),
    ] {
        let fleet = DirectFleet::start(3).await;
        fleet.put_stream_routes(2).await;
        let rest = stream(REST, ScriptedEnd::LastChunk);
        fleet.play(&[stream(HALF, ScriptedEnd::Cut), answer, rest]);
        let received = fleet.post_raw("/stream/thrice/x", "id-1").await;
        assert_stream(&received, WHOLE, true, &format!("{answer:?}"));
    }
}

#[actix_rt::test]
async fn a_stream_whose_last_event_has_no_id_is_not_run_again() {
    for (body, end) in [
        ("data: token 1\n\n", ScriptedEnd::Cut),
        ("id: 1\ndata: token 1\n\nevent: error\ndata: it failed\n\n", ScriptedEnd::Cut),
    ] {
        let fleet = DirectFleet::start(2).await;
        fleet.play(&[stream(body, end)]);
        assert_stream(&fleet.post_raw("/stream/x", "id-1").await, body, false, body);
        assert_eq!(fleet.runs(), 1, "{body:?}");
    }
}

#[actix_rt::test]
async fn a_stream_that_may_not_be_resumed_is_cut_where_it_broke_off() {
    for (broken, expected) in BREAKS {
        let fleet = DirectFleet::start(2).await;
        fleet.put_stream_routes(2).await;
        fleet.play(&[broken]);
        let received = fleet.post_raw("/stream/unresumable/x", "id-1").await;
        assert_stream(&received, expected, false, broken.body);
        let is_logged = || fleet.entry_log(0).contains("event=stream_cut request=id-1");
        eventually("the entry logs that it cuts the stream", is_logged).await;
        assert_eq!(fleet.runs(), 1, "{:?}", broken.body);
    }
}

#[actix_rt::test]
async fn an_error_after_a_break_before_the_first_event_is_the_only_answer() {
    let text = "event: error\ndata: it failed\n\n";
    for broken in [stream("", ScriptedEnd::Cut), stream("id: 1\nda", ScriptedEnd::Close)] {
        for status in [500, 504, 404] {
            let fleet = DirectFleet::start(2).await;
            fleet.play(&[broken, error(status, TEXT, text)]);
            let received = fleet.post_raw("/stream/x", "id-1").await;
            let (head, body) = received.split_once("\r\n\r\n").expect("a head");
            assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
            assert_eq!(body, text);
        }
    }
}

#[actix_rt::test]
async fn a_stream_whose_time_runs_out_at_the_next_target_is_cut() {
    for answer in [
        stream("", ScriptedEnd::Never),
        stream("id: 3\nda", ScriptedEnd::Never),
        ScriptedAnswer { end: ScriptedEnd::Never, ..error(500, TEXT, "it failed\n\n") },
    ] {
        let fleet = DirectFleet::start(3).await;
        fleet.put_stream_routes(2).await;
        let broken = stream(HALF, ScriptedEnd::Cut);
        fleet.play(&[broken, answer, stream("", ScriptedEnd::Never)]);
        let received = fleet.post_raw("/stream/short/x", "id-1").await;
        assert_stream(&received, HALF, false, &format!("{answer:?}"));
    }
}

#[actix_rt::test]
async fn a_stream_that_waits_for_the_next_target_at_the_shutdown_is_cut() {
    let mut fleet = DirectFleet::start(2).await;
    fleet.play(&[stream(HALF, ScriptedEnd::Cut), stream("id: 3\nda", ScriptedEnd::Never)]);
    let terminate = async {
        eventually("the next target has the stream", || fleet.runs() == 2).await;
        fleet.terminate_entry();
    };
    let stream = fleet.post_raw("/stream/x", "id-1");
    let (received, ()) = futures_util::future::join(stream, terminate).await;
    assert_stream(&received, HALF, false, "shutdown");
    assert!(fleet.exits_cleanly().await, "the entry did not exit");
}
