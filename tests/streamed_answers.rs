//! The body of a streamed answer on the product's own path, whatever ends it.

use actix_http::Response;
use actix_http::body::{BoxBody, MessageBody};
use buckthornwharf::entry::caller::{CallerEvent, CallerGuard, write_answer};
use buckthornwharf_core::prelude::*;
use std::future::poll_fn;
use std::pin::Pin;
use strum::IntoEnumIterator;
use tokio::sync::mpsc;

fn head(status: u16) -> CallerEvent {
    CallerEvent::Head { status, content_type: "text/event-stream".into(), digest: None }
}

/// The answer to a caller that gets these events, after which their sender is gone.
async fn answer(events: Vec<CallerEvent>) -> Response<BoxBody> {
    let (sender, receiver) = mpsc::unbounded_channel();
    events.into_iter().for_each(|event| sender.send(event).expect("a receiver"));
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
