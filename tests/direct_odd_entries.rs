//! End-to-end tests of odd items of the store and odd answers of engines: processes against the stand-in of
//! the platform.

#[path = "soak/fleet.rs"]
#[allow(dead_code)]
mod agents;
#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use agents::{SoakFleet, holds_within};
use buckthornwharf::direct::loads::{AgentMessage, AgentReports, EngineLoad, run_link};
use buckthornwharf::direct::news::VersionNews;
use fleet::{DirectFleet, eventually};
use futures_util::SinkExt;
use serde_json::{Value, json};
use standin::engine::EngineStandin;
use standin::operator;
use standin::store::StoreStandin;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_tungstenite::client_async;
use tokio_tungstenite::tungstenite::Message;

/// Requests in a row that are sent to an entry.
const REQUESTS: usize = 20;
/// Reports of an engine that an agent reads before the next odd one.
const REPORTS: usize = 3;

/// Values that no process may stumble over.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, depth: usize| open.repeat(depth).into_bytes();
    vec![
        Vec::new(),
        vec![0xff, 0xfe, 0x00],
        b"null".to_vec(),
        b"1e400".to_vec(),
        b"\"\\ud800\"".to_vec(),
        nested("[", 10_000),
        nested("{\"a\":", 10_000),
        nested("[", 200_000),
        vec![b'x'; 200_000],
    ]
}

/// Registrations that name no target, as the value of the registration of `engine` with other fields.
fn odd_registrations(engine: &EngineStandin) -> Vec<(String, Vec<u8>)> {
    let changed = |field: &str, value: Value| {
        let mut registration = engine.registration("ledger", "ready");
        registration[field] = value;
        registration.to_string().into_bytes()
    };
    let with_number = |field: &str, number: &str| {
        let text = changed(field, json!("NUMBER"));
        String::from_utf8(text).expect("text").replace("\"NUMBER\"", number).into_bytes()
    };
    let mut values = odd_values();
    values.extend([
        changed("address", json!("127.0.0.1:70000")),
        changed("address", json!("127.0.0.1:0")),
        changed("address", json!(format!("0.0.0.0:{}", engine.address.port()))),
        changed("address", json!("224.0.0.1:80")),
        changed("address", json!("engine.example:80")),
        changed("state", json!("x".repeat(100_000))),
        changed("service", json!({ "name": "ledger" })),
        with_number("slots", "1e400"),
        with_number("slots", "-1"),
        with_number("slots", "4294967296"),
        with_number("born", "18446744073709551616"),
        with_number("born", "18446744073709551615"),
        with_number("models", &"[".repeat(100_000)),
        with_number("models", "[{\"name\":\"m\",\"version\":1e400}]"),
    ]);
    let numbered = values.into_iter().enumerate();
    let mut odd: Vec<(String, Vec<u8>)> =
        numbered.map(|(number, value)| (format!("a-odd-{number}"), value)).collect();
    let usual = engine.registration("ledger", "ready").to_string().into_bytes();
    odd.extend(["a\nb", "a b", "\u{e9}"].map(|id| (id.to_owned(), usual.clone())));
    odd
}

fn put_odd_registrations(store: &StoreStandin, engine: &EngineStandin) {
    for (id, value) in odd_registrations(engine) {
        store.put_bytes(&format!("servers/{id}"), value);
    }
}

/// Sends requests, which targets serve that each dispatch has named.
async fn assert_served(fleet: &DirectFleet, name: &str) {
    for number in 0..REQUESTS {
        assert_eq!(fleet.get("/plain/x", &format!("{name}-{number}")).await.status, 200);
    }
    for engine in &fleet.engines {
        let named = format!("expect-instance: {}", engine.id);
        for received in engine.received.borrow().iter() {
            assert!(received.headers.contains(&named), "{:?}", received.headers);
        }
    }
}

/// Starts another target, has the others leave, and waits until it serves requests alone.
async fn add_target(fleet: &mut DirectFleet, id: &str) {
    let engine = EngineStandin::start(id).await;
    fleet.store.put(&format!("servers/{id}"), &engine.registration("ledger", "ready"));
    (0..fleet.engines.len()).for_each(|number| fleet.set_state(number, "draining"));
    fleet.engines.push(engine.clone());
    for number in 0..fleet.engines.len() - 1 {
        fleet.wait_untouched(number).await;
    }
    assert_served(fleet, id).await;
    assert!(engine.runs() >= REQUESTS);
}

#[actix_rt::test]
async fn odd_registrations_end_no_entry_and_hide_no_target() {
    let mut fleet = DirectFleet::start(2).await;
    put_odd_registrations(&fleet.store, &fleet.engines[0]);
    eventually("the watch is current", || fleet.store.is_watch_current("servers/")).await;
    assert_served(&fleet, "watched").await;
    add_target(&mut fleet, "engine-2").await;
    fleet.restart_entry(0).await;
    assert_served(&fleet, "listed").await;
    add_target(&mut fleet, "engine-3").await;
}

#[actix_rt::test]
async fn a_registration_of_very_many_slots_stops_no_requests() {
    let mut fleet = DirectFleet::start(1).await;
    for zone in ["a", "elsewhere"] {
        let engine = EngineStandin::start(&format!("engine-{zone}")).await;
        let mut registration = engine.registration("ledger", "ready");
        registration["slots"] = json!(u32::MAX);
        registration["zone"] = json!(zone);
        fleet.store.put(&format!("servers/{}", engine.id), &registration);
        fleet.engines.push(engine);
    }
    eventually("the watch is current", || fleet.store.is_watch_current("servers/")).await;
    assert_served(&fleet, "many").await;
}

#[actix_rt::test]
async fn a_load_report_reaches_a_target_whose_address_another_registration_has_too() {
    let fleet = DirectFleet::start(2).await;
    let mut odd = fleet.engines[0].registration("ledger", "ready");
    odd["born"] = json!(0);
    odd["service"] = json!("elsewhere");
    fleet.store.put("servers/a-odd", &odd);
    eventually("the watch is current", || fleet.store.is_watch_current("servers/")).await;
    let load = EngineLoad {
        engine: fleet.engines[0].address,
        requests: 0,
        accepting: false,
        details: None,
    };
    let (_sender, receiver) = watch::channel(Some(load));
    let news = watch::channel(VersionNews::default()).1;
    let reports = AgentReports { loads: receiver, news };
    actix_rt::spawn(run_link(fleet.peer_address(), false, reports, |_| None, |_| {}));
    fleet.wait_untouched(0).await;
}

#[actix_rt::test]
async fn all_pages_of_the_list_are_read_whatever_the_keys_are() {
    let mut fleet = DirectFleet::start(2).await;
    for id in ["a&after=z", "b c", "d#e", "e%41", "f\ng", "h\u{e9}"] {
        fleet.store.put_bytes(&format!("servers/{id}"), Vec::new());
    }
    fleet.store.page_items.set(Some(1));
    fleet.restart_entry(0).await;
    assert_served(&fleet, "paged").await;
    fleet.set_state(0, "draining");
    fleet.wait_untouched(0).await;
    assert_served(&fleet, "changed").await;
}

#[actix_rt::test]
async fn requests_are_served_by_a_target_with_an_endless_keep_alive() {
    let fleet = DirectFleet::start(1).await;
    let endless = "timeout=18446744073709551615".to_owned();
    fleet.engines[0].keep_alive.replace(Some(endless));
    assert_served(&fleet, "kept").await;
}

#[actix_rt::test]
async fn odd_items_of_other_processes_end_no_entry() {
    let mut fleet = DirectFleet::start(2).await;
    for (number, value) in odd_values().into_iter().enumerate() {
        for prefix in ["buckthornwharf/common/entry/", "buckthornwharf-crashes/", "op/version/"] {
            fleet.store.put_bytes(&format!("{prefix}odd-{number}"), value.clone());
        }
        fleet.store.put_bytes("buckthornwharf/common/facts", value);
    }
    for prefix in ["buckthornwharf/common/entry/", "buckthornwharf-crashes/", "op/"] {
        eventually("the watch is current", || fleet.store.is_watch_current(prefix)).await;
    }
    assert_served(&fleet, "watched").await;
    fleet.put_config(2, "/new/", "secret");
    fleet.wait_status("/new/x", "secret", 200).await;
    fleet.restart_entry(0).await;
    fleet.put_config(3, "/plain/", "secret");
    fleet.wait_status("/plain/x", "secret", 200).await;
    add_target(&mut fleet, "engine-2").await;
}

#[actix_rt::test]
async fn odd_messages_on_a_link_do_not_end_it() {
    let fleet = DirectFleet::start(2).await;
    let address = fleet.peer_address();
    let stream = TcpStream::connect(address).await.expect("the entry listens");
    let (mut link, _) =
        client_async(format!("ws://{address}/loads"), stream).await.expect("a link");
    // Nested arrays, maps and tags, and sizes that are far too large.
    for first in [0x81, 0x9f, 0xa1, 0xbf, 0xc1, 0x5f] {
        link.send(Message::Binary(vec![first; 16_000].into())).await.expect("an open link");
    }
    for first in [0x5b, 0x7b, 0x9b, 0xbb] {
        let bytes = [&[first], &[0xff; 8][..], &[0; 8]].concat();
        link.send(Message::Binary(bytes.into())).await.expect("an open link");
    }
    let load = EngineLoad {
        engine: fleet.engines[0].address,
        requests: 0,
        accepting: false,
        details: None,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&AgentMessage::new(load, Vec::new()), &mut bytes).expect("CBOR");
    link.send(Message::Binary(bytes.into())).await.expect("an open link");
    fleet.wait_untouched(0).await;
}

async fn eventually_all_loaded(fleet: &SoakFleet, version: u64) {
    let loaded = || fleet.engines.iter().all(|engine| engine.loaded() == Some(version));
    eventually(&format!("all engines load version {version}"), loaded).await;
}

/// Waits until the first agent has a report of its engine, which runs from the start of the fleet.
async fn eventually_engine_seen(fleet: &SoakFleet) {
    let seen = || fleet.process("agent-0").output().contains("event=engine_seen");
    eventually("the agent knows its engine", seen).await;
}

fn assert_agents_run(fleet: &SoakFleet) {
    for process in fleet.processes.iter().filter(|process| process.name.starts_with("agent")) {
        assert!(!process.has_exited(), "{} has ended", process.name);
    }
}

#[actix_rt::test]
async fn odd_items_of_other_processes_end_no_agent() {
    let fleet = SoakFleet::start(1, 2).await;
    eventually_all_loaded(&fleet, 1).await;
    for (number, value) in odd_values().into_iter().enumerate() {
        for prefix in ["buckthornwharf/common/entry/", "buckthornwharf/agent/a/", "op/version/"] {
            fleet.store.put_bytes(&format!("{prefix}odd-{number}"), value.clone());
        }
    }
    operator::declare_version(&fleet.store, 2);
    eventually_all_loaded(&fleet, 2).await;
    assert_agents_run(&fleet);
}

#[actix_rt::test]
async fn odd_reports_of_an_engine_do_not_end_its_agent() {
    let fleet = SoakFleet::start(1, 1).await;
    eventually_engine_seen(&fleet).await;
    let usual = json!({
        "models": [{ "name": "m", "version": 1, "adapters": [] }], "busy": false, "sequence": 0,
        "waiting": u32::MAX, "running": u32::MAX, "born": 1,
    });
    let reports = [
        usual.to_string(),
        usual.to_string().replace("4294967295", "4294967296"),
        usual.to_string().replace("4294967295", "1e400"),
        "[".repeat(200_000),
        format!("{{\"models\":{}", "[".repeat(200_000)),
        format!("{{\"sequence\":{}}}", u64::MAX),
    ];
    for report in reports {
        fleet.engines[0].odd_report.replace(Some(report));
        let asked = fleet.engines[0].reports.get();
        let is_asked_again = || fleet.engines[0].reports.get() >= asked + REPORTS;
        eventually("the agent asks its engine again", || {
            fleet.process("agent-0").has_exited() || is_asked_again()
        })
        .await;
        assert_agents_run(&fleet);
    }
    fleet.engines[0].odd_report.replace(None);
    operator::declare_version(&fleet.store, 2);
    eventually_all_loaded(&fleet, 2).await;
}

/// Answers each request with `body`, and counts them.
async fn answer_all(listener: TcpListener, body: &'static str, answers: Rc<Cell<u32>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = [0; 4096];
        if stream.read(&mut head).await.is_ok_and(|bytes| bytes > 0) {
            let length = body.len();
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
            let written = stream.write_all(text.as_bytes()).await;
            answers.set(answers.get() + u32::from(written.is_ok()));
        }
    }
}

#[actix_rt::test]
async fn a_peer_that_names_endless_chunks_does_not_end_an_agent() {
    let fleet = SoakFleet::start(1, 1).await;
    // An agent reports only an engine as lost that it has seen.
    eventually_engine_seen(&fleet).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("it is bound").to_string();
    let answers: Rc<Cell<u32>> = Rc::default();
    let body = "{\"pieces\":18446744073709551615,\"held\":\"ff\"}";
    actix_rt::spawn(answer_all(listener, body, answers.clone()));
    let record = json!({ "host": "odd", "region": "a", "address": address });
    fleet.store.put("buckthornwharf/agent/a/odd", &record);
    let agent = fleet.process("agent-0");
    // An engine without weights makes its agent ask the others of its region.
    fleet.engines[0].crash(false);
    let lost = || agent.output().contains("event=engine_lost");
    eventually("the agent reports its engine as lost", lost).await;
    fleet.engines[0].restart();
    eventually("the peer is asked", || answers.get() > 0).await;
    let loaded = || agent.has_exited() || fleet.engines[0].loaded() == Some(1);
    assert!(holds_within(Duration::from_secs(30), loaded).await);
    assert_agents_run(&fleet);
}
