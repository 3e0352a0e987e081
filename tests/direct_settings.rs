//! Settings of the direct path, as the platform renders them from the template.

#[path = "../platform/tests/standin/settings.rs"]
mod settings;

use buckthornwharf::direct::settings::DirectSettings;
use proptest::prelude::*;
use serde_json::{Value, json};
use settings::{
    BOUND_FIELDS, BoundField, agent_fields, entry_fields, render_settings, with_bounds, with_link,
};

fn load(fields: &Value) -> Result<DirectSettings, String> {
    DirectSettings::parse(&render_settings(fields)).map_err(|error| format!("{error:#}"))
}

fn bound(setting: &str) -> BoundField {
    let found = BOUND_FIELDS.iter().find(|bound| bound.setting == setting);
    *found.expect("a bound of the template")
}

/// A number up to `max` in any form that the platform may give it.
fn number(max: f64) -> impl Strategy<Value = Option<Value>> {
    prop_oneof![
        Just(None),
        Just(Some(Value::Null)),
        Just(Some(json!(0))),
        Just(Some(json!(0.0))),
        (0.0..=max).prop_map(|number: f64| Some(json!(number as u64))),
        (0.0..=max).prop_map(|number: f64| Some(json!(number))),
    ]
}

fn bounds() -> impl Strategy<Value = Vec<(BoundField, Value)>> {
    let bounds = BOUND_FIELDS.map(|bound| number(bound.max).prop_map(move |value| (bound, value)));
    Vec::from(bounds).prop_map(|bounds| {
        bounds.into_iter().filter_map(|(bound, value)| Some((bound, value?))).collect()
    })
}

proptest! {
    #[test]
    fn settings_load_whatever_form_their_numbers_have(
        bounds in bounds(),
        link in number(20_000.0),
        is_agent: bool,
    ) {
        let fields = if is_agent { agent_fields() } else { entry_fields() };
        let fields = with_link(with_bounds(fields, &bounds), link.unwrap_or(Value::Null));
        let loaded = load(&fields);
        prop_assert!(loaded.is_ok(), "{}: {fields}", loaded.unwrap_err());
    }
}

#[test]
fn a_retry_allowance_that_is_not_a_whole_number_is_accepted() {
    let bounds = [(bound("retry_extra"), json!(39.705))];
    let settings = load(&with_bounds(entry_fields(), &bounds)).expect("the settings are valid");
    assert_eq!(settings.bounds.retry_extra, 39.705);
}

#[test]
fn example_settings_of_each_kind_of_process() {
    insta::assert_debug_snapshot!("entry", load(&entry_fields()).expect("valid"));
    insta::assert_debug_snapshot!("agent", load(&agent_fields()).expect("valid"));
    let bounds = [(bound("retry_ratio"), json!(0.125)), (bound("retry_extra"), json!(39.705))];
    let fields = with_bounds(entry_fields(), &bounds);
    insta::assert_debug_snapshot!("fractions_and_absent_bounds", load(&fields).expect("valid"));
}

#[test]
fn invalid_bounds_name_the_setting_and_the_field_of_the_platform() {
    for bound in BOUND_FIELDS {
        for value in [json!(-0.2), json!(bound.max * 2.0), json!("soon"), json!(true)] {
            let loaded = load(&with_bounds(entry_fields(), &[(bound, value)]));
            let BoundField { field, setting, max } = bound;
            let expected = format!(
                "`{setting}` must be a number from 0 to {max} (the platform's field `bounds.{field}`)"
            );
            let error = loaded.expect_err("invalid settings");
            assert!(error.starts_with(&expected), "{error}");
        }
    }
}
