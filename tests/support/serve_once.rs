//! A server for one raw HTTP answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// Starts a server that answers one request with `answer` and closes the connection.
pub fn serve_once(answer: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let answer = answer.to_owned();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        assert!(stream.read(&mut buffer).expect("a request") > 0);
        stream.write_all(answer.as_bytes()).expect("an answer");
    });
    address
}
