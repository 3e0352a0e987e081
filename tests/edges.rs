//! Malformed input from outside (frames, configuration, HTTP, links) is refused without a panic, and
//! requests with a result code.

use anyhow::{Context, Result, ensure};
use awc::http::Method;
use buckthornwharf::link::{LinkIdentity, dial_link};
use buckthornwharf::settings::ProcessSettings;
use buckthornwharf_core::config::{ConfigFile as ConfigText, ConfigRecord, merge_files};
use buckthornwharf_core::frame::{FrameError, LinkFrame, MAX_FRAME_BYTES, ResolveFrame};
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{
    AgentPlan, EntryNode, FleetSystem, HttpReply, ORGANISATION_KEY, PLAIN_SERVICE, SAMPLE_SITES,
    sample_config, wait_until,
};
use proptest::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;

const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const NESTING_DEPTH: usize = 100_000;
const SECRET: &str = "a secret that no log may show";
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// More than servers accept as the head of a request.
const LONG_HEADER_BYTES: usize = 1024 * 1024;

type HeaderList<'a> = &'a [(&'a str, &'a str)];

fn settings_text() -> String {
    format!(
        "host: e1\nsite: nbo-a\nplatform: {{kv: '127.0.0.1:1', hosts: '127.0.0.1:2', store: \
         '127.0.0.1:3'}}\nlink_secret: {SECRET}\nentry: {{http: '127.0.0.1:0', admin: \
         '127.0.0.1:0'}}\n"
    )
}

fn is_valid_config(text: String) -> bool {
    merge_files(&[ConfigText { name: "10.yaml".into(), text }]).is_ok()
}

/// `bytes` with the byte at `at` replaced.
fn with_byte(mut bytes: Vec<u8>, at: usize, byte: u8) -> Vec<u8> {
    let at = at % bytes.len();
    bytes[at] = byte;
    bytes
}

proptest! {
    #[test]
    fn arbitrary_bytes_decode_to_a_frame_or_an_error(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = LinkFrame::decode(&bytes);
        let _ = ConfigRecord::decode(&bytes);
    }

    #[test]
    fn a_damaged_frame_decodes_to_a_frame_or_an_error(
        id in any::<u128>(),
        position in any::<u64>(),
        at in any::<usize>(),
        byte in any::<u8>(),
        kept_bytes in any::<usize>(),
    ) {
        let frame = LinkFrame::Resolve(ResolveFrame { id: RequestId(id), has_head: true, position });
        let bytes = frame.encode().unwrap();
        prop_assert_eq!(LinkFrame::decode(&bytes), Ok(frame));
        let cut = &bytes[..kept_bytes % bytes.len()];
        prop_assert!(LinkFrame::decode(cut).is_err());
        let _ = LinkFrame::decode(&with_byte(bytes, at, byte));
    }

    #[test]
    fn arbitrary_text_as_settings_is_an_error(text in "\\PC{0,200}") {
        prop_assert!(ProcessSettings::parse(&text).is_err());
        let _ = is_valid_config(text);
    }

    #[test]
    fn damaged_settings_never_panic(at in any::<usize>(), byte in 0x20..0x7fu8) {
        let damaged = with_byte(settings_text().into_bytes(), at, byte);
        let _ = ProcessSettings::parse(&String::from_utf8(damaged).unwrap());
    }

    #[test]
    fn a_damaged_configuration_never_panics(
        file in 0..5usize,
        at in any::<usize>(),
        byte in 0x20..0x7fu8,
    ) {
        let mut files = sample_config(VersionDigest::from_bytes([7; 32]));
        let text = files.remove(file).text;
        let damaged = with_byte(text.into_bytes(), at, byte);
        let _ = is_valid_config(String::from_utf8(damaged).unwrap());
    }
}

#[test]
fn a_deeply_nested_frame_is_an_error() {
    assert!(matches!(LinkFrame::decode(&[0x81; NESTING_DEPTH]), Err(FrameError::Malformed(_))));
}

#[test]
fn deeply_nested_settings_are_an_error() {
    assert!(ProcessSettings::parse(&"[".repeat(NESTING_DEPTH)).is_err());
    assert!(ProcessSettings::parse(&format!("host: {}", "{a: ".repeat(NESTING_DEPTH))).is_err());
}

#[test]
fn a_deeply_nested_configuration_is_an_error() {
    assert!(!is_valid_config("[".repeat(NESTING_DEPTH)));
    assert!(!is_valid_config(format!("sites: {}", "{a: ".repeat(NESTING_DEPTH))));
}

#[test]
fn a_frame_over_the_limit_is_refused_before_it_is_decoded() {
    assert_eq!(LinkFrame::decode(&vec![0; MAX_FRAME_BYTES + 1]), Err(FrameError::TooLarge));
}

#[test]
fn debug_output_of_settings_hides_the_secret() -> Result<()> {
    let settings = ProcessSettings::parse(&settings_text())?;
    assert!(!format!("{settings:?} {settings:#?}").contains(SECRET));
    Ok(())
}

#[test]
fn errors_in_the_settings_hide_the_secret() -> Result<()> {
    let text = settings_text().replace("site: nbo-a", "sit: nbo-a");
    let error = ProcessSettings::parse(&text)
        .err()
        .context("settings with an unknown field were accepted")?;
    assert!(!format!("{error:?} {error:#}").contains(SECRET), "{error:?}");
    Ok(())
}

async fn start_system() -> Result<FleetSystem> {
    FleetSystem::start(Path::new(env!("CARGO_BIN_EXE_buckthornwharf"))).await
}

/// Starts an entry that has a configuration and no target.
async fn start_entry(system: &FleetSystem) -> Result<EntryNode> {
    system.apply(&sample_config(VersionDigest::from_bytes([7; 32]))).await?;
    let entry = system.start_entry("entry-1", SAMPLE_SITES[0]).await?;
    let has_config = async || {
        let reply = system.client.get(entry.http, "/nowhere").await;
        reply.is_ok_and(|reply| reply.status == 401)
    };
    wait_until("the entry has a configuration", WAIT_TIMEOUT, has_config).await?;
    Ok(entry)
}

async fn post(
    system: &FleetSystem,
    entry: &EntryNode,
    headers: HeaderList<'_>,
    body: Vec<u8>,
) -> Result<HttpReply> {
    system.client.send(Method::POST, entry.http, "/portal/slots", headers, body).await
}

fn result_code(reply: &HttpReply) -> String {
    reply.header("x-result-code").unwrap_or("none").to_owned()
}

/// Sends raw bytes and returns the result of the first read: the start of the answer, or nothing if
/// the connection was closed.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    // The server may refuse the request and close the connection before it has read all bytes.
    let _ = stream.write_all(bytes);
    let mut buffer = [0; 4096];
    let read = stream.read(&mut buffer).unwrap_or(0);
    Ok(String::from_utf8_lossy(&buffer[..read]).into_owned())
}

#[actix_rt::test]
async fn an_entry_refuses_bad_requests_with_a_code_and_keeps_running() -> Result<()> {
    let system = start_system().await?;
    let mut entry = start_entry(&system).await?;
    let key = format!("Bearer {ORGANISATION_KEY}");
    let good = ("Authorization", key.as_str());
    let long = "k".repeat(257);
    let cases: [(HeaderList, Vec<u8>, &str); 8] = [
        (&[], vec![], "101 unknown_key"),
        (&[("Authorization", "Bearer nobody")], vec![], "101 unknown_key"),
        (&[("Authorization", ORGANISATION_KEY)], vec![], "101 unknown_key"),
        (&[good, ("Idempotency-Key", "")], vec![], "100 bad_request"),
        (&[good, ("Idempotency-Key", &long)], vec![], "100 bad_request"),
        (&[good, ("X-Deadline-Ms", "soon")], vec![], "100 bad_request"),
        (&[good], vec![b'x'; MAX_BODY_BYTES + 1], "100 bad_request"),
        (&[good], b"{\"messages\": [".to_vec(), "200 not_serving"),
    ];
    for (headers, body, code) in cases {
        let reply = post(&system, &entry, headers, body).await?;
        assert_eq!(result_code(&reply), code, "{headers:?}");
        assert!(reply.header("x-request-id").is_some());
    }
    let unrouted = system.client.send(Method::GET, entry.http, "/nowhere", &[good], "").await?;
    assert_eq!(result_code(&unrouted), "102 no_route");
    ensure!(entry.process.is_running());
    assert!(!entry.process.log().contains("panicked"));
    assert!(!entry.process.log().contains(ORGANISATION_KEY));
    Ok(())
}

#[actix_rt::test]
async fn an_entry_refuses_malformed_http_and_long_heads_and_keeps_running() -> Result<()> {
    let system = start_system().await?;
    let mut entry = start_entry(&system).await?;
    let long =
        format!("GET / HTTP/1.1\r\nHost: e\r\nX-Long: {}\r\n\r\n", "x".repeat(LONG_HEADER_BYTES));
    let cases: [&[u8]; 5] = [
        b"\x00\xff\xfe\r\n\r\n",
        b"GET / HTTP/9.9\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: -1\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: e\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        long.as_bytes(),
    ];
    for bytes in cases {
        let address = entry.http;
        let bytes = bytes.to_vec();
        let head = String::from_utf8_lossy(&bytes[..bytes.len().min(60)]).into_owned();
        let answer = actix_rt::task::spawn_blocking(move || send_raw(address, &bytes)).await??;
        assert!(!answer.starts_with("HTTP/1.1 2"), "{head:?}: {answer}");
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{head:?}: {answer}");
        ensure!(entry.process.is_running());
    }
    let reply = post(&system, &entry, &[], vec![]).await?;
    assert_eq!(result_code(&reply), "101 unknown_key");
    assert!(!entry.process.log().contains("panicked"));
    Ok(())
}

/// Identity of an entry whose settings hold the secret `secret_text`.
fn identity(secret_text: &str) -> Result<LinkIdentity> {
    let settings = ProcessSettings::parse(&settings_text().replace(SECRET, secret_text))?;
    Ok(LinkIdentity {
        host: "entry-9".into(),
        site: SAMPLE_SITES[0].into(),
        incarnation: HostIncarnation(9),
        key: settings.link_secret.key(),
    })
}

#[actix_rt::test]
async fn a_link_without_the_secret_is_refused() -> Result<()> {
    let system = start_system().await?;
    let plain = system.start_plain("plain").await?;
    let plan = AgentPlan {
        host: "agent-plain".into(),
        site: SAMPLE_SITES[0].into(),
        service: PLAIN_SERVICE.into(),
        target: plain.address,
        target_checks_fence: false,
        target_holds: 1,
    };
    let mut agent = system.start_agent(plan).await?;
    let address = agent.record.link.context("agent has no link address")?;
    assert!(dial_link(address, &identity("another secret")?).await.is_err());
    assert!(dial_link(address, &identity("secret of a fleet on loopback")?).await.is_ok());
    let garbage = b"GET /link HTTP/1.1\r\nHost: a\r\n\r\n\x00\x01\x02".to_vec();
    let answer = actix_rt::task::spawn_blocking(move || send_raw(address, &garbage)).await??;
    assert!(!answer.starts_with("HTTP/1.1 101"), "{answer}");
    assert!(agent.process.is_running());
    assert!(dial_link(address, &identity("secret of a fleet on loopback")?).await.is_ok());
    assert!(!agent.process.log().contains("panicked"));
    Ok(())
}
