//! Connections to the store that go silent for good, and a key that is taken away right after.

use crate::client::{self, KEY};
use crate::engine::{Engine, EngineOptions};
use crate::fleet::{Fleet, Verdict, route};
use crate::process::front_fields;
use crate::proxy::Proxy;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// `stable_window_ms` and `config_apply_ms` of the small deployments.
const STABLE_WINDOW: Duration = Duration::from_millis(3000);
const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Time from the watch call to the silence, and from that to the new configuration.
const SILENCE_DELAY: Duration = Duration::from_millis(50);
const CONFIG_DELAY: Duration = Duration::from_millis(200);
/// Times after the silence at which a client sends with the key that was taken away.
const SEND_AT_MS: [u64; 7] = [2000, 3050, 3150, 3250, 3350, 3450, 5000];
const DEADLINE: Duration = Duration::from_millis(2500);

pub fn run(folder: &Path, trouble: bool) -> Verdict {
    let fleet = Fleet::start(folder);
    let (proxy, proxy_address) = Proxy::start(fleet.store_address);
    let options = EngineOptions {
        name: "ledger1".to_owned(),
        service: "ledger".to_owned(),
        zone: "colombo-a".to_owned(),
        slots: 6,
        has_model: false,
        events: 0,
        pause: Duration::from_millis(30),
    };
    let _engine = Engine::start(options, &fleet.store, &fleet.record);
    let routes = [route("booking", "non_idempotent", "ledger", 1200, 150)];
    fleet.configure_keys(7, &routes, "{\"name\":\"ledger\"}", &[KEY]);
    let (fields, addresses) = front_fields("front-colombo-a-1", "colombo-a", 1, proxy_address);
    let Some(_entry) = fleet.start_entry("front-colombo-a-1", &fields, &addresses) else {
        return Verdict::NotRun;
    };
    thread::sleep(Duration::from_secs(4));
    let send =
        |path: &str, id: &str| client::send(addresses.callers, path, id, DEADLINE, &fleet.record);
    if send("/booking/1", "first").status != 200 || !proxy.wait_watch(Duration::from_secs(5)) {
        return Verdict::NotRun;
    }
    thread::sleep(SILENCE_DELAY);
    let silent_at = Instant::now();
    if trouble {
        proxy.silence();
        fleet.record.line("the open connections to the store go silent; new ones work");
    }
    thread::sleep(CONFIG_DELAY);
    fleet.configure_keys(9, &routes, "{\"name\":\"ledger\"}", &["another-key"]);
    let acknowledged_at = Instant::now();
    fleet.record.line(&format!("it is acknowledged, and takes the key {KEY} away"));
    let mut broken = 0;
    for at_ms in SEND_AT_MS {
        let at = silent_at + Duration::from_millis(at_ms);
        thread::sleep(at.saturating_duration_since(Instant::now()));
        let outcome = send("/booking/2", &format!("silent{at_ms}"));
        let in_touch = !trouble || outcome.sent_at > silent_at + STABLE_WINDOW;
        let is_due = outcome.sent_at > acknowledged_at + CONFIG_APPLY;
        if in_touch && is_due && outcome.status == 200 {
            broken += 1;
            fleet.record.line(&format!(
                "CONFIG: {} was run with a dropped key, {} ms after the acknowledgement and {} ms \
                 after the silence began",
                outcome.id,
                (outcome.sent_at - acknowledged_at).as_millis(),
                (outcome.sent_at - silent_at).as_millis()
            ));
        }
    }
    fleet.record.line(&format!(
        "{broken} requests were run with the dropped key when the entry was in touch"
    ));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
