//! End-to-end tests of a store that comes back from an older copy: processes against the stand-in of the
//! platform.

#[path = "soak/fleet.rs"]
#[allow(dead_code)]
mod agents;
#[allow(dead_code)]
#[path = "direct/fleet.rs"]
mod fleet;
#[path = "../platform/tests/standin/standin.rs"]
mod standin;

use agents::SoakFleet;
use fleet::{DirectFleet, eventually};
use serde_json::json;
use standin::operator;

#[actix_rt::test]
async fn a_configuration_written_after_the_store_was_set_back_becomes_active() {
    let fleet = DirectFleet::start(1).await;
    let copied = fleet.store.revision();
    for number in 0..10 {
        fleet.store.put("op/unknown", &json!({ "number": number }));
    }
    eventually("the entry has read everything", || fleet.store.is_watch_current("op/")).await;
    fleet.store.set_back(copied);
    // The new configuration gets a revision that the entry has passed already.
    fleet.put_config(2, "/new/", "secret");
    for number in 0..20 {
        fleet.store.put("op/unknown", &json!({ "number": number }));
    }
    fleet.wait_status("/new/x", "secret", 200).await;
}

#[actix_rt::test]
async fn a_configuration_that_the_store_lost_stays_active() {
    let fleet = DirectFleet::start(1).await;
    let copied = fleet.store.revision();
    fleet.put_config(2, "/new/", "secret");
    fleet.wait_status("/new/x", "secret", 200).await;
    fleet.store.set_back(copied);
    eventually("the entry reads the store again", || fleet.store.is_watch_current("op/")).await;
    for number in 0..10 {
        assert_eq!(fleet.get("/new/x", &format!("new-{number}")).await.status, 200);
        assert_eq!(fleet.get("/plain/x", &format!("old-{number}")).await.status, 404);
    }
}

#[actix_rt::test]
async fn a_draining_target_gets_no_requests_after_the_store_was_set_back() {
    let fleet = DirectFleet::start(2).await;
    let copied = fleet.store.revision();
    fleet.set_state(0, "draining");
    fleet.wait_untouched(0).await;
    fleet.store.set_back(copied);
    eventually("the entry reads the list again", || fleet.store.is_watch_current("servers/")).await;
    let before = fleet.engines[0].runs();
    for number in 0..20 {
        assert_eq!(fleet.get("/plain/x", &format!("later-{number}")).await.status, 200);
    }
    assert_eq!(fleet.engines[0].runs(), before);
}

#[actix_rt::test]
async fn engines_load_a_version_that_is_declared_after_the_store_was_set_back() {
    let fleet = SoakFleet::start(1, 3).await;
    let all_loaded = |version| fleet.engines.iter().all(|engine| engine.loaded() == Some(version));
    eventually("all engines have version 1", || all_loaded(1)).await;
    let copied = fleet.store.revision();
    for number in 0..100 {
        fleet.store.put("op/unknown", &json!({ "number": number }));
    }
    // Its agent registers again, at a revision that the store does not reach soon after it is set back.
    fleet.engines[0].crash(true);
    let agent = fleet.process("agent-0");
    eventually("the agent reports its engine as lost", || {
        agent.output().contains("event=engine_lost")
    })
    .await;
    fleet.engines[0].restart();
    operator::declare_version(&fleet.store, 2);
    eventually("all engines load version 2", || all_loaded(2)).await;
    fleet.store.set_back(copied);
    for (prefix, count) in [("buckthornwharf/agent/", 3), ("buckthornwharf/common/entry/", 1)] {
        let are_registered = || fleet.store.values(prefix).len() == count;
        eventually("processes register again", are_registered).await;
    }
    operator::declare_version(&fleet.store, 2);
    operator::declare_version(&fleet.store, 3);
    eventually("all engines load version 3", || all_loaded(3)).await;
}
