//! HTTP/1.1 messages over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// A request that was read completely.
#[derive(Debug, Clone)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A field of the query, decoded; empty if it is absent.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let found = fields.into_iter().find(|(known, _)| *known == name);
        found.map_or_else(String::new, |(_, value)| percent_decoded(value))
    }
}

fn percent_decoded(text: &str) -> String {
    let mut parts = text.split('%');
    let mut bytes = parts.next().unwrap_or_default().as_bytes().to_vec();
    for part in parts {
        let digits = part.get(..2).and_then(|digits| u8::from_str_radix(digits, 16).ok());
        bytes.extend(digits);
        bytes.extend(part.bytes().skip(2));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A connection of which messages are read one after the other.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Only delays small packets if it fails.
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut part = [0; 16 * 1024];
        match self.stream.read(&mut part)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            count => {
                self.buffer.extend(&part[..count]);
                Ok(())
            }
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.read_more()?;
        }
    }

    fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.read_more()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn read_headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?;
            if line.is_empty() {
                return Ok(headers);
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads one chunk of a chunked body; empty at its end.
    fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.read_line()?;
        let digits = line.split(';').next().unwrap_or_default().trim();
        let length = usize::from_str_radix(digits, 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let chunk = self.read_exact(length)?;
        self.read_line()?;
        Ok(chunk)
    }

    /// Reads the next request.
    pub fn read_request(&mut self) -> io::Result<Request> {
        let line = self.read_line()?;
        let mut words = line.split(' ');
        let mut word = || words.next().unwrap_or_default().to_owned();
        let (_method, target) = (word(), word());
        let headers = self.read_headers()?;
        let mut request = Request { target, headers, body: Vec::new() };
        if request.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    break;
                }
                request.body.extend(chunk);
            }
        } else if let Ok(length) = request.header("content-length").parse() {
            request.body = self.read_exact(length)?;
        }
        Ok(request)
    }

    /// Sends a complete answer.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = head(status, headers);
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend(body);
        self.stream.write_all(&bytes)
    }

    /// Sends the head of a chunked answer.
    pub fn begin_chunks(&mut self, status: u16, headers: &[(&str, &str)]) -> io::Result<()> {
        let text = head(status, headers) + "Transfer-Encoding: chunked\r\n\r\n";
        self.stream.write_all(text.as_bytes())
    }

    /// Sends one chunk; an empty one ends the answer.
    pub fn send_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut part = format!("{:x}\r\n", bytes.len()).into_bytes();
        part.extend(bytes);
        part.extend(b"\r\n");
        self.stream.write_all(&part)
    }

    /// Reads an answer to its end. The body that has arrived so far is in `answer` also if it is incomplete.
    pub fn read_answer(&mut self, answer: &mut Answer) -> io::Result<()> {
        let line = self.read_line()?;
        answer.status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
        answer.headers = self.read_headers()?;
        let header = |name: &str| {
            let mut found = answer.headers.iter();
            let found = found.find(|(known, _)| known.eq_ignore_ascii_case(name));
            found.map(|(_, value)| value.clone()).unwrap_or_default()
        };
        let (encoding, length) = (header("transfer-encoding"), header("content-length"));
        if encoding.eq_ignore_ascii_case("chunked") {
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(());
                }
                answer.body.extend(chunk);
            }
        }
        let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        answer.body = self.read_exact(length)?;
        Ok(())
    }
}

/// An answer, as far as it was read.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

fn head(status: u16, headers: &[(&str, &str)]) -> String {
    let mut text = format!("HTTP/1.1 {status} -\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text
}

/// Serves each connection of a listener on a free port with `serve`, on a thread of its own. Returns the address.
pub fn listen(serve: impl Fn(Connection) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
    address
}
