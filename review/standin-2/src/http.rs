//! HTTP/1.1 over blocking sockets: heads, bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch.
pub fn now_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |time| time.as_secs_f64() * 1000.0)
}

pub fn sleep_ms(millis: f64) {
    if millis > 0.0 {
        std::thread::sleep(Duration::from_micros((millis * 1000.0) as u64));
    }
}

pub fn sleep_until(at_ms: f64) {
    sleep_ms(at_ms - now_ms());
}

/// A head: the first line and the header fields, with lower-case names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        let target = self.first.split(' ').nth(1).unwrap_or_default();
        target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.first.split(' ').nth(1)?;
        let (_, query) = target.split_once('?')?;
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}=")))?;
        Some(percent_decode(pair))
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn percent_decode(text: &str) -> String {
    let mut decoded = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        match byte {
            b'%' => {
                let digits: Vec<u8> = bytes.by_ref().take(2).collect();
                let digits = String::from_utf8(digits).unwrap_or_default();
                decoded.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            other => decoded.push(other),
        }
    }
    String::from_utf8(decoded).unwrap_or_default()
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, ahead: Vec::new() }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    /// Reads more bytes; `false` at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 4096];
        let count = self.stream.read(&mut part)?;
        self.ahead.extend_from_slice(&part[..count]);
        Ok(count > 0)
    }

    /// Reads a head; `None` if the connection ends before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.ahead.windows(4).position(|part| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.ahead[..end]).into_owned();
                self.ahead.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let field = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first, fields: lines.filter_map(field).collect() }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a body with a length; an error if it ends before.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let length = head.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        self.exactly(length)
    }

    fn exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|part| part == b"\r\n") {
                let line = self.ahead.drain(..end + 2).collect::<Vec<u8>>();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads an answer's body, adds what arrives to `body`, and returns whether its framing marks it as complete.
    pub fn answer_body(&mut self, head: &Head, body: &mut Vec<u8>) -> bool {
        if head.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
        {
            loop {
                let Ok(line) = self.line() else { return false };
                let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return false };
                let Ok(mut part) = self.exactly(length + 2) else { return false };
                part.truncate(length);
                body.extend(part);
                if length == 0 {
                    return true;
                }
            }
        }
        match self.body(head) {
            Ok(part) => {
                body.extend(part);
                true
            }
            Err(_) => false,
        }
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }
}
