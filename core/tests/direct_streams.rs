//! Streams of events from one target or several: event boundaries, and whether the end is complete.

use buckthornwharf_core::direct::{AnswerEnd, EventStream, StreamFault};
use bytes::Bytes;
use proptest::prelude::*;

const ENDS: [AnswerEnd; 2] = [AnswerEnd::Delimited, AnswerEnd::Closed];

/// Feeds `parts` to a new stream; returns the forwarded bytes and the stream.
fn feed(parts: &[&str]) -> (String, EventStream) {
    let mut stream = EventStream::default();
    let mut forwarded = String::new();
    for part in parts {
        let events = stream.push(&Bytes::copy_from_slice(part.as_bytes())).expect("no fault");
        forwarded.push_str(std::str::from_utf8(&events).expect("text"));
    }
    (forwarded, stream)
}

#[test]
fn a_stream_that_ends_between_events_is_complete() {
    for text in
        ["id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: a\r\r", "data: a\n\n: done\n"]
    {
        for end in ENDS {
            let (forwarded, mut stream) = feed(&[text]);
            let rest = stream.finish(end).unwrap_or_else(|fault| panic!("{text:?}: {fault}"));
            assert_eq!(forwarded.into_bytes(), text.as_bytes()[..text.len() - rest.len()]);
        }
    }
}

#[test]
fn a_stream_without_events_is_complete_only_if_its_framing_says_so() {
    let (_, mut stream) = feed(&[]);
    assert_eq!(stream.finish(AnswerEnd::Delimited), Ok(Bytes::new()));
    assert_eq!(stream.finish(AnswerEnd::Closed), Err(StreamFault::NoEvent));
}

#[test]
fn a_target_that_continues_a_stream_must_send_an_event_before_it_closes() {
    let (forwarded, mut stream) = feed(&["id: 7\ndata: a\n\nid: 8\nda"]);
    assert_eq!(forwarded, "id: 7\ndata: a\n\n");
    assert_eq!(stream.finish(AnswerEnd::Closed), Err(StreamFault::WithinEvent));
    stream.begin_attempt();
    assert_eq!(stream.last_id(), Some("7"));
    assert_eq!(stream.finish(AnswerEnd::Closed), Err(StreamFault::NoEvent));
}

#[test]
fn an_event_without_end_is_given_up_and_not_held() {
    let mut stream = EventStream::default();
    let part = Bytes::from(vec![b'x'; 4096]);
    let fault = (0..4096).find_map(|_| stream.push(&part).err());
    assert_eq!(fault, Some(StreamFault::EventTooLarge));
    assert!(stream.partial_bytes() < 1024 * 1024, "{}", stream.partial_bytes());
}

#[test]
fn events_before_one_without_end_are_forwarded() {
    let mut stream = EventStream::default();
    let mut bytes = b"id: 1\ndata: a\n\n".to_vec();
    let event_bytes = bytes.len();
    bytes.resize(1024 * 1024, b'x');
    assert_eq!(stream.push(&bytes.into()).map(|events| events.len()), Ok(event_bytes));
    assert_eq!(stream.push(&Bytes::from_static(b"x")), Err(StreamFault::EventTooLarge));
    assert_eq!(stream.last_id(), Some("1"));
}

#[test]
fn a_stream_of_any_length_may_consist_of_small_events() {
    let mut stream = EventStream::default();
    let event = Bytes::from_static(b"data: token\n\n");
    let forwarded: usize = (0..100_000).map(|_| stream.push(&event).expect("no fault").len()).sum();
    assert_eq!(forwarded, 100_000 * event.len());
}

#[test]
fn an_event_that_does_not_follow_the_last_one_is_not_joined_to_it() {
    let last = "id: 7\ndata: a\n\n";
    for (next, follows) in [
        ("id: 8\n\n", true),
        ("version: 2\r\nid:10\r\n\r\n", true),
        (": begin\n\nid: 8\n\n", true),
        ("id: 7\n\n", false),
        (": id: 8\n\ndata: a\n\n", false),
        ("data: a\n\nid: 8\n\n", false),
        ("id: -8\n\n", false),
        ("id: eight\r\r", false),
        ("id\n\n", false),
    ] {
        let (_, mut stream) = feed(&[last]);
        stream.begin_attempt();
        let joined = stream.push(&Bytes::from_static(next.as_bytes()));
        assert_eq!(joined.is_ok(), follows, "{next:?}: {joined:?}");
        assert!(follows || stream.last_id() == Some("7"), "{next:?}");
    }
}

#[test]
fn a_stream_is_resumable_only_after_an_event_with_an_id() {
    for (parts, is_resumable) in [
        (&["id: 1\nda"] as &[&str], true),
        (&[": begin\n\n"], true),
        (&["id: 1\n\n", "data: a\n\n", "id: 2\n\n"], true),
        (&["id: 1\n\n", ": still here\n\n"], true),
        (&["data: a\n\n"], false),
        (&["id: 1\n\nevent: error\n\n"], false),
        (&["id: one\n\n"], false),
    ] {
        let (_, stream) = feed(parts);
        assert_eq!(stream.is_resumable(), is_resumable, "{parts:?}");
    }
}

proptest! {
    #[test]
    fn targets_that_start_anywhere_never_repeat_an_event(
        parts in prop::collection::vec((11_u64..19, 0_u64..5), 1..6),
    ) {
        let mut stream = EventStream::default();
        let mut forwarded = String::new();
        for (first, count) in parts {
            stream.begin_attempt();
            let events: String = (first..first + count).map(|id| format!("id: {id}\n\n")).collect();
            if let Ok(events) = stream.push(&Bytes::from(events)) {
                forwarded.push_str(std::str::from_utf8(&events).expect("text"));
            }
        }
        let ids: Vec<&str> = forwarded.split_terminator("\n\n").collect();
        prop_assert!(ids.is_sorted_by(|first, second| first < second), "{ids:?}");
    }

    #[test]
    fn a_stream_cut_within_an_event_is_never_complete(
        events in 1_usize..6, cut in any::<prop::sample::Index>(), part in 1_usize..9, crlf: bool,
    ) {
        let newline = if crlf { "\r\n" } else { "\n" };
        let event = |id| format!("id: {id}{newline}data: token {id}{newline}{newline}");
        let whole: String = (1..=events).map(event).collect();
        let cut_at = cut.index(whole.len());
        let received = &whole.as_bytes()[..cut_at];
        let mut stream = EventStream::default();
        let mut forwarded = 0;
        for bytes in received.chunks(part) {
            forwarded += stream.push(&Bytes::copy_from_slice(bytes)).expect("no fault").len();
        }
        let boundaries: Vec<usize> =
            (0..=events).map(|count| (1..=count).map(event).collect::<String>().len()).collect();
        let last_boundary = boundaries.iter().copied().filter(|at| *at <= cut_at).max();
        prop_assert_eq!(Some(forwarded), last_boundary);
        for end in ENDS {
            let is_complete = stream.finish(end).is_ok();
            prop_assert!(!is_complete || boundaries.contains(&cut_at));
        }
    }
}
