//! Calls to the platform whose responses break off.

#[path = "support/serve_once.rs"]
mod serve_once;

use buckthornwharf::platform::http::{HttpCall, HttpError};
use bytes::Bytes;
use serve_once::serve_once;
use std::time::Duration;

fn call(response: &'static str) -> Result<Bytes, HttpError> {
    let call = HttpCall {
        method: awc::http::Method::GET,
        url: format!("http://{}/", serve_once(response)),
        body: Bytes::new(),
        if_none_match: None,
        timeout: Duration::from_secs(20),
        max_response_bytes: 1000,
    };
    let answered = actix_rt::System::new().block_on(call.send());
    answered.map(|response| response.body)
}

#[test]
fn a_response_shorter_than_its_length_is_broken() {
    let whole = call("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntrue");
    assert_eq!(whole, Ok("true".into()));
    let truncated = call("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntrue");
    assert!(matches!(truncated, Err(HttpError::Broken(_))), "{truncated:?}");
}
