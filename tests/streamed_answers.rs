//! The body of a streamed answer on the product's own path, whatever ends it.

use actix_http::Response;
use actix_http::body::{BoxBody, MessageBody};
use buckthornwharf::entry::answer_channel::{MAX_UNREAD_BYTES, answer_channel};
use buckthornwharf::entry::caller::{CallerEvent, CallerGuard, write_answer};
use buckthornwharf::link::MAX_WHOLE_ANSWER_BYTES;
use buckthornwharf_core::prelude::*;
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use strum::IntoEnumIterator;

fn head(status: u16) -> CallerEvent {
    CallerEvent::Head { status, content_type: "text/event-stream".into(), digest: None }
}

/// The answer to a caller that gets these events, after which their sender is gone.
async fn answer(events: Vec<CallerEvent>) -> Response<BoxBody> {
    let (sender, receiver) = answer_channel();
    events.into_iter().for_each(|event| sender.send(event).expect("little is unread"));
    write_answer(receiver, CallerGuard::new(RequestId(1), Box::new(|_| ()))).await
}

/// Reads a body; returns its bytes and whether it ended as complete.
async fn read(response: Response<BoxBody>) -> (Vec<u8>, bool) {
    let (_, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    loop {
        match poll_fn(|context| Pin::new(&mut body).poll_next(context)).await {
            Some(Ok(part)) => bytes.extend_from_slice(&part),
            Some(Err(_)) => return (bytes, false),
            None => return (bytes, true),
        }
    }
}

#[actix_rt::test]
async fn a_streamed_answer_that_fails_gets_neither_an_error_nor_an_end() {
    let part = || CallerEvent::Body("data: 1\n\n".into());
    let failures = ResultCode::iter().filter(|code| *code != ResultCode::Ok);
    let ends = failures.map(|code| vec![CallerEvent::End(code)]);
    for end in ends.chain([vec![]]) {
        let mut events = vec![head(200), part(), head(500)];
        events.extend(end.clone());
        let response = answer(events).await;
        assert_eq!(response.status(), 200, "{end:?}");
        assert_eq!(read(response).await, (b"data: 1\n\n".to_vec(), false), "{end:?}");
    }
    let whole = answer(vec![head(200), part(), CallerEvent::End(ResultCode::Ok)]).await;
    assert_eq!(read(whole).await, (b"data: 1\n\n".to_vec(), true));
}

/// Guards against an answer without end that fills the memory of the entry.
#[actix_rt::test]
async fn an_answer_without_end_is_given_up_at_the_size_limit() {
    const PART_BYTES: usize = 64 * 1024;
    let is_cancelled = Rc::new(Cell::new(false));
    let cancelled = is_cancelled.clone();
    let on_caller_gone = Box::new(move |_| cancelled.set(true));
    let (sender, receiver) = answer_channel();
    let content_type = "application/json".into();
    sender.send(CallerEvent::Head { status: 200, content_type, digest: None }).expect("a head");
    let mut sent_bytes = 0;
    let endless = async {
        loop {
            sender.send(CallerEvent::Body(vec![b'x'; PART_BYTES].into())).expect("it is read");
            sent_bytes += PART_BYTES;
            tokio::task::yield_now().await;
        }
    };
    let response = tokio::select! {
        response = write_answer(receiver, CallerGuard::new(RequestId(1), on_caller_gone)) => response,
        () = endless => unreachable!("it has no end"),
    };
    assert_eq!(response.status(), 502);
    assert_eq!(response.headers().get("x-result-code").expect("a code"), "305 answer_discarded");
    assert!(is_cancelled.get(), "the request goes on");
    assert!(sent_bytes <= MAX_WHOLE_ANSWER_BYTES + 2 * PART_BYTES, "{sent_bytes} bytes were read");
}

/// Guards against a stream without end that fills the memory of the entry, as its caller reads slowly.
#[actix_rt::test]
async fn a_stream_that_is_not_read_is_not_queued_without_end() {
    const PART_BYTES: usize = 64 * 1024;
    let (sender, mut receiver) = answer_channel();
    let part = || CallerEvent::Body(vec![b'x'; PART_BYTES].into());
    let sent = std::iter::repeat_with(|| sender.send(part())).take_while(Result::is_ok).count();
    assert_eq!(sent * PART_BYTES, MAX_UNREAD_BYTES);
    receiver.recv().await.expect("a part");
    sender.send(part()).expect("there is room again");
    sender.send(part()).expect_err("there is no more room");
}
