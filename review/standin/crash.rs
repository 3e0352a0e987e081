//! An engine whose streams have neither a length nor chunks, and that crashes between two events.

use crate::client;
use crate::fleet::{Fleet, Verdict, route};
use crate::http::{self, Connection, Request};
use crate::process::{SIGKILL, send_signal};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// Events of a stream, and the one after which the engine crashes.
const EVENTS: u32 = 12;
const LAST_BEFORE_CRASH: u32 = 5;
/// Time between two events.
const PAUSE: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(6000);
const ID: &str = "i-llm1-1";

/// The engine, in a process of its own. It writes its address, and a line for each event that it has sent.
pub fn run_engine() -> ! {
    let address = http::listen(|mut connection| {
        while let Ok(request) = connection.read_request() {
            if answer(&mut connection, &request).is_err() || request.path().starts_with("/draft/") {
                return;
            }
        }
    });
    println!("{address}");
    loop {
        thread::sleep(Duration::from_secs(60));
    }
}

fn answer(connection: &mut Connection, request: &Request) -> std::io::Result<()> {
    let id = request.header("attempt-id").to_owned();
    if request.header("expect-instance") != ID {
        return connection.answer(421, &[("Attempt-Id", &id), ("Instance-Id", ID)], b"");
    }
    let first = request.header("last-event-id").parse::<u32>().unwrap_or(0) + 1;
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nServer-Seal: seal\r\n\
         Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    );
    connection.stream.write_all(head.as_bytes())?;
    for event in first..=EVENTS {
        thread::sleep(PAUSE);
        connection.stream.write_all(format!("id: {event}\ndata: token {event}\n\n").as_bytes())?;
        println!("{id} {event}");
    }
    Ok(())
}

/// The process of the engine, killed when it is dropped.
struct EngineProcess {
    child: Child,
    lines: Receiver<String>,
}

impl EngineProcess {
    fn start() -> Self {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new(program);
        let command = command.arg("engine").stdin(Stdio::null()).stdout(Stdio::piped());
        let mut child = command.spawn().expect("this program can be started");
        let output = child.stdout.take().expect("it is piped");
        let (sender, lines) = channel();
        thread::spawn(move || {
            let read = BufReader::new(output).lines().map_while(Result::ok);
            read.for_each(|line| drop(sender.send(line)));
        });
        Self { child, lines }
    }

    fn line(&self) -> Option<String> {
        self.lines.recv_timeout(Duration::from_secs(5)).ok()
    }
}

impl Drop for EngineProcess {
    fn drop(&mut self) {
        // Fails if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder);
    let engine = EngineProcess::start();
    let Some(address) = engine.line().and_then(|line| line.parse::<SocketAddr>().ok()) else {
        return Verdict::NotRun;
    };
    let entry_of_engine = format!(
        "{{\"service\":\"llm\",\"address\":\"{address}\",\"zone\":\"colombo-a\",\"version\":\"v1\",\
         \"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\
         \"models\":[{{\"name\":\"m0\",\"version\":1,\"adapters\":[]}}],\"born\":1796476800000}}"
    );
    fleet.store.put(&format!("servers/{ID}"), &entry_of_engine);
    fleet.configure(7, &[route("draft", "stream", "llm", 6000, 400)], "{\"name\":\"llm\"}");
    let (fields, addresses) = fleet.front(1);
    let Some(entry) = fleet.start_entry("front-colombo-a-1", &fields, &addresses) else {
        return Verdict::NotRun;
    };
    let (record, callers) = (fleet.record.clone(), addresses.callers);
    let client = thread::spawn(move || client::send(callers, "/draft/1", "one", DEADLINE, &record));
    let mut sent = 0;
    while let Some(line) = engine.line() {
        fleet.record.line(&format!("engine has sent event: {line}"));
        sent += 1;
        if trouble && sent == LAST_BEFORE_CRASH {
            thread::sleep(PAUSE / 2);
            send_signal(engine.child.id(), SIGKILL);
            fleet.record.line("the engine crashes (SIGKILL)");
            break;
        }
        if sent == EVENTS {
            break;
        }
    }
    let Ok(outcome) = client.join() else { return Verdict::NotRun };
    thread::sleep(Duration::from_millis(500));
    for line in
        entry.log_lines("event=target_crashed").iter().chain(&entry.log_lines("request=one"))
    {
        fleet.record.line(&format!("log of the entry: {line}"));
    }
    let text = String::from_utf8_lossy(&outcome.body).into_owned();
    let events = text.matches("data: ").count() as u32;
    fleet.record.line(&format!(
        "the client got {events} of {EVENTS} events; its answer ended as complete: {}",
        outcome.is_complete
    ));
    match outcome.status == 200 && outcome.is_complete && events < EVENTS {
        true => Verdict::Broken,
        false if sent == 0 => Verdict::NotRun,
        false => Verdict::Held,
    }
}
