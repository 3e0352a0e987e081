//! Tests that the relay forwards connections, and silences or cuts open ones by switch.

use anyhow::Result;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{FleetClient, SoloStandin};
use buckthornwharf_standin::relay::RelayCounts;
use serde_json::json;
use std::io::ErrorKind;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// Time without data after which a direction counts as silent; long for a byte on loopback. The
/// absence of data can only be tested by a timeout.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Starts a relay to `listener`.
async fn start_relay(listener: &TcpListener) -> Result<(SoloStandin, RelayCounts)> {
    let target = listener.local_addr()?.to_string();
    let program = env!("CARGO_BIN_EXE_buckthornwharf-standin");
    let solo = SoloStandin::start(program, "relay", &["--to", &target]).await?;
    let relay = solo.counts().await?;
    Ok((solo, relay))
}

async fn connect(relay: &RelayCounts, listener: &TcpListener) -> Result<(TcpStream, TcpStream)> {
    let client = TcpStream::connect(relay.address).await?;
    let (server, _) = timeout(WAIT_TIMEOUT, listener.accept()).await??;
    Ok((client, server))
}

async fn forwards_byte(from: &mut TcpStream, to: &mut TcpStream) -> Result<bool> {
    from.write_all(b"x").await?;
    let read = timeout(SILENCE_TIMEOUT, to.read_u8()).await;
    Ok(matches!(read, Ok(Ok(b'x'))))
}

/// Whether the connection ends with a reset and not with an orderly close.
async fn is_reset(stream: &mut TcpStream) -> Result<bool> {
    let mut buffer = [0; 16];
    let read = timeout(WAIT_TIMEOUT, stream.read(&mut buffer)).await?;
    Ok(read.is_err_and(|error| error.kind() == ErrorKind::ConnectionReset))
}

#[actix_rt::test]
async fn open_and_new_connections_are_closed_while_the_relay_refuses_them() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (solo, relay) = start_relay(&listener).await?;
    let (mut open, _server) = connect(&relay, &listener).await?;
    solo.set_faults(&json!({ "refuse": true })).await?;
    assert!(timeout(WAIT_TIMEOUT, open.read_u8()).await?.is_err());
    let mut refused = TcpStream::connect(relay.address).await?;
    assert!(timeout(WAIT_TIMEOUT, refused.read_u8()).await?.is_err());
    solo.set_faults(&json!({ "refuse": false })).await?;
    let (mut client, mut server) = connect(&relay, &listener).await?;
    assert!(forwards_byte(&mut client, &mut server).await?);
    Ok(())
}

#[actix_rt::test]
async fn a_reset_is_not_relayed_as_an_orderly_close() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (_solo, relay) = start_relay(&listener).await?;
    let (mut client, mut server) = connect(&relay, &listener).await?;
    assert!(forwards_byte(&mut server, &mut client).await?);
    server.set_zero_linger()?;
    drop(server);
    assert!(is_reset(&mut client).await?);
    let (mut client, mut server) = connect(&relay, &listener).await?;
    assert!(forwards_byte(&mut server, &mut client).await?);
    drop(server);
    assert!(!is_reset(&mut client).await?);
    Ok(())
}

#[actix_rt::test]
async fn silences_open_connections_permanently_and_cuts_them() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let (solo, relay) = start_relay(&listener).await?;
    let (mut client, mut server) = connect(&relay, &listener).await?;
    assert!(forwards_byte(&mut client, &mut server).await?);
    assert!(forwards_byte(&mut server, &mut client).await?);
    solo.set_faults(&json!({ "silence": "back" })).await?;
    assert!(forwards_byte(&mut client, &mut server).await?);
    assert!(!forwards_byte(&mut server, &mut client).await?);
    drop(client);
    assert!(
        timeout(SILENCE_TIMEOUT, server.read_u8()).await.is_err(),
        "a silenced connection forwarded the end of the stream"
    );
    let (mut client, mut server) = connect(&relay, &listener).await?;
    assert!(forwards_byte(&mut client, &mut server).await?);
    solo.set_faults(&json!({ "cut": true })).await?;
    assert!(is_reset(&mut client).await?);
    let counts: RelayCounts = FleetClient::default().counts(solo.address()).await?;
    assert_eq!((counts.opened, counts.silenced, counts.cut), (2, 1, 2));
    Ok(())
}
