//! Calls to the platform whose responses break off.

#[path = "support/serve_once.rs"]
mod serve_once;

use buckthornwharf::platform::hosts::HostsClient;
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

#[test]
fn an_odd_row_of_the_list_of_hosts_hides_no_other() {
    let row = |name: &str| {
        format!(
            r#"{{"name":"{name}","site":"a","role":"entry","admin":"127.0.0.1:80","phase":"live"}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(10_000), "]".repeat(10_000));
    let rows = [
        row("a"),
        row("b").replace(":80", ":70000"),
        row("c").replace("live", "of tomorrow"),
        row("d").replace("\"a\"", "1e400"),
        row("e").replace("\"a\"", &nested),
        nested,
        "null".to_owned(),
        row("f"),
    ];
    let body = format!("[{}]", rows.join(","));
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let client = HostsClient::new(serve_once(&response));
    let records = actix_rt::System::new().block_on(client.list()).expect("a list");
    let names: Vec<&str> = records.iter().map(|record| record.name.as_str()).collect();
    assert_eq!(names, ["a", "f"]);
}
