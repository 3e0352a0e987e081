//! Stand-in of an engine, as a process of its own. It takes commands on its standard input, and writes a line for
//! each request that it runs, refuses or ends to its standard output.

use crate::http::{Connection, Head, now_ms, sleep_ms};
use std::collections::VecDeque;
use std::io::{BufRead, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Tokens in an event of a stream.
const EVENT_BYTES: &str = "six tokens of an answer";

/// Factor and requests beyond the rate that a cold engine tolerates above which it crashes: a little more than what
/// the rules allow.
const CRASH_FACTOR: f64 = 1.5;
const CRASH_SLACK: f64 = 7.0;
/// One stream in so many has no framing: `x` = 0.05 of `garble` (`unframed`).
const UNFRAMED_EVERY: usize = 20;

/// How the engine works.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    pub id: String,
    pub address: SocketAddr,
    /// Time to run a request that is no stream.
    pub work_ms: f64,
    /// Events of a stream, and the time before each.
    pub events: u32,
    pub gap_ms: f64,
    /// Number of the first stream that has neither a length nor chunks; each [`UNFRAMED_EVERY`]th after it has none
    /// either. 0 for no such stream.
    pub unframed_from: usize,
    /// Requests per second that it bears while it is cold, and for how long it is cold after its start. It crashes
    /// at a rate well above that.
    pub cold_per_s: f64,
    pub cold_ms: f64,
    pub model: String,
    pub slots: usize,
}

impl EngineOptions {
    /// Reads the options of the command line, `name=value` each.
    pub fn parse(words: &[String]) -> Self {
        let text = |name: &str| {
            let value = words.iter().find_map(|word| word.strip_prefix(&format!("{name}=")));
            value.unwrap_or_default().to_owned()
        };
        let number = |name: &str| text(name).parse().unwrap_or(0.0);
        Self {
            id: text("id"),
            address: text("address").parse().expect("an address"),
            work_ms: number("work_ms"),
            events: number("events") as u32,
            gap_ms: number("gap_ms"),
            unframed_from: number("unframed_from") as usize,
            cold_per_s: number("cold_per_s"),
            cold_ms: number("cold_ms"),
            model: text("model"),
            slots: number("slots").max(1.0) as usize,
        }
    }
}

struct Engine {
    options: EngineOptions,
    born_ms: f64,
    /// Until when it is cold.
    cold_until_ms: Mutex<f64>,
    is_leaving: AtomicBool,
    running: AtomicUsize,
    streams: AtomicUsize,
    arrivals: Mutex<VecDeque<f64>>,
}

fn say(text: &str) {
    let mut output = std::io::stdout().lock();
    let _ = writeln!(output, "{:.1} {text}", now_ms());
    let _ = output.flush();
}

/// Runs the engine until it is told to exit, or is killed.
pub fn run(options: EngineOptions) {
    let listener = TcpListener::bind(options.address).expect("the address is free");
    let born_ms = now_ms();
    let engine = Arc::new(Engine {
        born_ms,
        cold_until_ms: Mutex::new(born_ms + options.cold_ms),
        is_leaving: AtomicBool::new(false),
        running: AtomicUsize::new(0),
        streams: AtomicUsize::new(0),
        arrivals: Mutex::default(),
        options,
    });
    say(&format!("started {}", engine.options.id));
    let commanded = engine.clone();
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            match line.as_str() {
                line if line.starts_with("cold ") => {
                    let cold_ms: f64 = line[5..].parse().unwrap_or(0.0);
                    *commanded.cold_until_ms.lock().expect("no thread panics") = now_ms() + cold_ms;
                    say(&format!("is cold for {cold_ms} ms"));
                }
                "leave" => commanded.is_leaving.store(true, Ordering::SeqCst),
                "exit" => {
                    say(&format!("exits {}", commanded.options.id));
                    std::process::exit(0);
                }
                _ => {}
            }
        }
        // Its parent is gone.
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let engine = engine.clone();
        thread::spawn(move || engine.serve(Connection::new(stream)));
    }
}

impl Engine {
    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.head() {
            if connection.body(&head).is_err() {
                return;
            }
            let keeps =
                match head.path().starts_with("/buckthornwharf/") || head.path() == "/health" {
                    true => self.control(&mut connection, &head),
                    false => self.request(&mut connection, &head),
                };
            if !keeps {
                return;
            }
        }
    }

    fn cold_left_ms(&self) -> f64 {
        (*self.cold_until_ms.lock().expect("no thread panics") - now_ms()).max(0.0)
    }

    fn control(&self, connection: &mut Connection, head: &Head) -> bool {
        let (status, body) = match head.path() {
            "/health" if self.is_leaving.load(Ordering::SeqCst) => (503, String::new()),
            "/health" => (200, String::new()),
            "/buckthornwharf/report" => (
                200,
                format!(
                    r#"{{"stage":"hybrid","models":[{{"name":"{}","version":1,"adapters":[]}}],"busy":false,"sequence":0,"waiting":0,"running":{},"kv_used":0,"kv_total":685000,"handles":0,"born":{:.0}}}"#,
                    self.options.model,
                    self.running.load(Ordering::SeqCst),
                    self.born_ms
                ),
            ),
            path if path.starts_with("/buckthornwharf/stage-get/") => {
                (200, r#"{"held":[]}"#.to_owned())
            }
            _ => (404, String::new()),
        };
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nInstance-Id: {}\r\n\
             Cold-Ms: {:.0}\r\nContent-Length: {}\r\n\r\n{body}",
            self.options.id,
            self.cold_left_ms(),
            body.len()
        );
        connection.send(&text).is_ok()
    }

    fn request(&self, connection: &mut Connection, head: &Head) -> bool {
        let id = head.get("attempt-id").unwrap_or("-").to_owned();
        let common = format!(
            "Attempt-Id: {id}\r\nInstance-Id: {}\r\n{}",
            self.options.id,
            if self.is_leaving.load(Ordering::SeqCst) { "Server-Leaving: 1\r\n" } else { "" }
        );
        if head.get("expect-instance").is_some_and(|expected| expected != self.options.id) {
            say(&format!("refuses {id} 421"));
            return connection
                .send(&format!("HTTP/1.1 421 Misdirected\r\n{common}Content-Length: 0\r\n\r\n"))
                .is_ok();
        }
        self.count_arrival(&id);
        if self.running.fetch_add(1, Ordering::SeqCst) >= self.options.slots + 24 {
            self.running.fetch_sub(1, Ordering::SeqCst);
            say(&format!("refuses {id} full"));
            let refusal = format!(
                "HTTP/1.1 503 Full\r\n{common}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            );
            return connection.send(&refusal).is_ok();
        }
        say(&format!("runs {id} path={}", head.path()));
        let seal = format!("Server-Seal: seal.{id}\r\n");
        let keeps = match head.path().contains("/stream/") {
            true => self.stream(connection, &id, head, &format!("{common}{seal}")),
            false => {
                sleep_ms(self.options.work_ms);
                let body = format!("whole {id} {}", "x".repeat(760));
                let length = body.len();
                say(&format!("ends {id}"));
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{common}{seal}Content-Length: {length}\r\n\r\n{body}"
                );
                connection.send(&text).is_ok()
            }
        };
        self.running.fetch_sub(1, Ordering::SeqCst);
        keeps
    }

    /// Sends the events after `Last-Event-Id`, as they are made.
    fn stream(&self, connection: &mut Connection, id: &str, head: &Head, fields: &str) -> bool {
        let number = self.streams.fetch_add(1, Ordering::SeqCst) + 1;
        let from = self.options.unframed_from;
        let unframed = from > 0 && number >= from && (number - from) % UNFRAMED_EVERY == 0;
        let last = head.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
        let framing = match unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        if unframed {
            say(&format!("sends {id} without framing"));
        }
        let text =
            format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{fields}{framing}\r\n");
        if connection.send(&text).is_err() {
            return false;
        }
        for event in last + 1..=self.options.events {
            sleep_ms(self.options.gap_ms);
            let event = format!("id: {event}\ndata: {EVENT_BYTES} {event}\n\n");
            let part = match unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if connection.send(&part).is_err() {
                say(&format!("loses {id}"));
                return false;
            }
        }
        say(&format!("ends {id}"));
        !unframed && connection.send("0\r\n\r\n").is_ok()
    }

    /// Counts a request, and crashes if there are far too many for a cold engine.
    fn count_arrival(&self, id: &str) {
        if self.options.cold_per_s <= 0.0 {
            return;
        }
        let now = now_ms();
        if self.cold_left_ms() <= 0.0 {
            return;
        }
        let count = {
            let mut arrivals = self.arrivals.lock().expect("no thread panics");
            arrivals.push_back(now);
            while arrivals.front().is_some_and(|at| now - at > 1000.0) {
                arrivals.pop_front();
            }
            arrivals.len()
        };
        say(&format!("cold {id}"));
        if count as f64 > CRASH_FACTOR * self.options.cold_per_s + CRASH_SLACK {
            say(&format!("crashes with {count} requests in a second"));
            std::process::exit(1);
        }
    }
}
