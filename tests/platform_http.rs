//! Calls to the platform whose responses break off.

use buckthornwharf::platform::http::{HttpCall, HttpError};
use bytes::Bytes;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

/// Starts a server that sends `response` to one request and closes the connection.
fn serve_once(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        assert!(stream.read(&mut buffer).expect("a request") > 0);
        stream.write_all(response.as_bytes()).expect("a response");
    });
    address
}

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
