//! Settings of the direct path, as the platform renders them from the template.

#[path = "direct_settings/template.rs"]
mod template;

use buckthornwharf::direct::settings::DirectSettings;
use proptest::prelude::*;
use serde_json::{Value, json};
use template::render;

const TEMPLATE: &str = include_str!("../platform/settings.yml");

/// Fields of an entry on a small deployment.
fn entry_fields() -> Value {
    json!({
        "node_name": "front-a-1", "zone": "a", "zones": { "a": "north", "b": "south" },
        "ip": "127.0.0.1", "internal_ports": [7700, 7715], "unknown": { "field": 1.5 },
        "platform_settings": { "address": "127.0.0.1:8007", "form": "kv" },
        "listen": { "front": "127.0.0.1:8005", "ready": "127.0.0.1:8002" },
        "limits": { "link_mbps": 1000.0 },
        "bounds": {
            "budget_ratio": 0.2, "budget_extra": 102, "budget_window_s": 10, "grace_s": 8,
            "version_ms": 8000, "strict_revoke": false,
        },
    })
}

/// Fields of an agent beside an engine.
fn agent_fields() -> Value {
    let mut fields = entry_fields();
    fields["listen"] = json!({});
    fields["app"] = json!("127.0.0.1:9000");
    fields["service"] = json!("chat");
    fields["limits"]["link_mbps"] = json!(7.6);
    fields
}

fn load(fields: &Value) -> Result<DirectSettings, String> {
    DirectSettings::parse(&render(TEMPLATE, fields)).map_err(|error| format!("{error:#}"))
}

fn with_bound(name: &str, value: Value) -> Value {
    let mut fields = entry_fields();
    fields["bounds"][name] = value;
    fields
}

/// A bound in any form that the platform may give it.
fn bound_value() -> impl Strategy<Value = Option<Value>> {
    prop_oneof![
        Just(None),
        Just(Some(Value::Null)),
        Just(Some(json!(0))),
        Just(Some(json!(0.0))),
        (0_u32..20_000).prop_map(|whole| Some(json!(whole))),
        (0.0..20_000.0).prop_map(|fraction: f64| Some(json!(fraction))),
    ]
}

fn bounds() -> impl Strategy<Value = Value> {
    let names =
        ["budget_ratio", "budget_extra", "budget_window_s", "grace_s", "version_ms", "new_bound"];
    prop::collection::vec(bound_value(), names.len()).prop_map(move |values| {
        let mut bounds = serde_json::Map::new();
        for (name, value) in names.iter().zip(values) {
            let value = match (*name, value) {
                ("budget_ratio", Some(ratio)) => {
                    Some(json!(ratio.as_f64().unwrap_or(0.0) / 20_000.0))
                }
                (_, value) => value,
            };
            value.map(|value| bounds.insert((*name).to_owned(), value));
        }
        Value::Object(bounds)
    })
}

proptest! {
    #[test]
    fn settings_load_whatever_form_their_numbers_have(
        bounds in bounds(),
        link in bound_value(),
        is_agent: bool,
    ) {
        let mut fields = if is_agent { agent_fields() } else { entry_fields() };
        fields["bounds"] = bounds;
        fields["limits"]["link_mbps"] = link.unwrap_or(Value::Null);
        let loaded = load(&fields);
        prop_assert!(loaded.is_ok(), "{}: {fields}", loaded.unwrap_err());
    }
}

#[test]
fn a_retry_allowance_that_is_not_a_whole_number_is_accepted() {
    let settings =
        load(&with_bound("budget_extra", json!(39.705))).expect("the settings are valid");
    assert_eq!(settings.bounds.retry_extra, 39.705);
}

#[test]
fn example_settings_of_each_kind_of_process() {
    insta::assert_debug_snapshot!("entry", load(&entry_fields()).expect("valid"));
    insta::assert_debug_snapshot!("agent", load(&agent_fields()).expect("valid"));
    let mut small = entry_fields();
    small["bounds"] = json!({ "budget_ratio": 0.125, "budget_extra": 39.705 });
    insta::assert_debug_snapshot!("fractions_and_absent_bounds", load(&small).expect("valid"));
}

#[test]
fn invalid_bounds_name_the_setting_and_the_field_of_the_platform() {
    let cases = [
        ("budget_ratio", json!(-0.2)),
        ("budget_extra", json!(1e12)),
        ("budget_window_s", json!(1e9)),
        ("grace_s", json!("soon")),
        ("version_ms", json!(true)),
    ];
    let errors: Vec<String> = cases
        .into_iter()
        .map(|(name, value)| load(&with_bound(name, value)).expect_err("invalid settings"))
        .collect();
    insta::assert_debug_snapshot!("invalid_bounds", errors);
}
