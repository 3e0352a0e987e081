//! The relay passes connections on, and silences or cuts those that are open.

use anyhow::Result;
use buckthornwharf_core::prelude::*;
use buckthornwharf_standin::fleet::{FleetClient, SoloStandin};
use buckthornwharf_standin::relay::RelayCounts;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const LIMIT: Duration = Duration::from_secs(10);
/// Long enough for a byte on loopback; a test that waits for nothing to come can't be surer.
const QUIET: Duration = Duration::from_millis(200);

async fn connect(relay: &RelayCounts, listener: &TcpListener) -> Result<(TcpStream, TcpStream)> {
    let near = TcpStream::connect(relay.address).await?;
    let (far, _) = timeout(LIMIT, listener.accept()).await??;
    Ok((near, far))
}

async fn passes(from: &mut TcpStream, to: &mut TcpStream) -> Result<bool> {
    from.write_all(b"x").await?;
    let read = timeout(QUIET, to.read_u8()).await;
    Ok(matches!(read, Ok(Ok(b'x'))))
}

#[actix_rt::test]
async fn silences_open_connections_for_good_and_cuts_them() -> Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let target = listener.local_addr()?.to_string();
    let program = env!("CARGO_BIN_EXE_buckthornwharf-standin");
    let solo = SoloStandin::start(program, "relay", &["--to", &target]).await?;
    let relay: RelayCounts = solo.counts().await?;
    let (mut near, mut far) = connect(&relay, &listener).await?;
    assert!(passes(&mut near, &mut far).await?);
    assert!(passes(&mut far, &mut near).await?);
    solo.set_faults(&json!({ "silence": "back" })).await?;
    assert!(passes(&mut near, &mut far).await?);
    assert!(!passes(&mut far, &mut near).await?);
    drop(near);
    assert!(timeout(QUIET, far.read_u8()).await.is_err(), "an end passed a silent connection");
    let (mut near, mut far) = connect(&relay, &listener).await?;
    assert!(passes(&mut near, &mut far).await?);
    solo.set_faults(&json!({ "cut": true })).await?;
    assert!(timeout(LIMIT, near.read_u8()).await?.is_err());
    let counts: RelayCounts = FleetClient::default().counts(solo.address()).await?;
    assert_eq!((counts.opened, counts.silenced, counts.cut), (2, 1, 2));
    Ok(())
}
