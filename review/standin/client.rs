//! Clients of the deployment.

use crate::http::{Answer, Connection};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The host of all routes.
pub const HOST: &str = "orders.example";
/// The key of the only tenant.
pub const KEY: &str = "key-of-mill";

/// How a request ended for its client.
#[derive(Debug, Clone)]
pub struct Outcome {
    pub id: String,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer was complete.
    pub is_complete: bool,
}

/// Sends a request on a new connection and reads the answer, at most for `deadline`.
pub fn send(
    address: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
    record: &Arc<Record>,
) -> Outcome {
    record.line(&format!("client sends {id} to {path}"));
    let sent_at = Instant::now();
    let mut answer = Answer::default();
    let result = exchange(address, path, id, deadline, &mut answer);
    let elapsed = sent_at.elapsed().as_millis();
    let how = match &result {
        Ok(()) => "complete".to_owned(),
        Err(error) => format!("not complete: {error}"),
    };
    record.line(&format!(
        "client of {id}: status {}, {} bytes after {elapsed} ms, {how}",
        answer.status,
        answer.body.len()
    ));
    Outcome {
        id: id.to_owned(),
        sent_at,
        ended_at: Instant::now(),
        status: answer.status,
        body: answer.body,
        is_complete: result.is_ok(),
    }
}

fn exchange(
    address: SocketAddr,
    path: &str,
    id: &str,
    deadline: Duration,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut connection =
        Connection::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?);
    connection.stream.set_read_timeout(Some(deadline))?;
    let body = format!("body of {id}");
    // Only generations name a model and their tokens.
    let generation = match path.starts_with("/booking/") {
        true => String::new(),
        false => format!(
            "Model: m0\r\nToken-Count: 1290,126\r\nPrompt-Prefix: 5c1e07a2:40,{id}:1250\r\n"
        ),
    };
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n{generation}\
         Deadline-Ms: {}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    connection.stream.write_all(request.as_bytes())?;
    connection.read_answer(answer)
}
