//! Renders the template of the settings as the platform does: values, JSON values and sections.

use serde_json::Value;

/// Renders `template` with `fields`.
pub fn render(template: &str, fields: &Value) -> String {
    let mut rendered = String::new();
    let mut rest = template;
    while let Some((before, name, after)) = next_placeholder(rest) {
        rendered.push_str(before);
        rest = after;
        if let Some(section) = name.strip_prefix('#') {
            let end = format!("{{{{/{section}}}}}");
            let (inside, behind) = rest.split_once(&end).expect("the section ends");
            if is_present(lookup(fields, section)) {
                rendered.push_str(&render(inside, fields));
            }
            rest = behind;
            continue;
        }
        match name.strip_suffix("|json") {
            Some(path) => rendered.push_str(&lookup(fields, path).to_string()),
            None => rendered.push_str(&plain(lookup(fields, name))),
        }
    }
    rendered + rest
}

fn next_placeholder(text: &str) -> Option<(&str, &str, &str)> {
    let (before, rest) = text.split_once("{{")?;
    let (name, after) = rest.split_once("}}")?;
    Some((before, name, after))
}

fn lookup<'a>(fields: &'a Value, path: &str) -> &'a Value {
    path.split('.').fold(fields, |value, name| &value[name])
}

fn is_present(value: &Value) -> bool {
    !matches!(value, Value::Null | Value::Bool(false))
}

fn plain(value: &Value) -> String {
    match value {
        Value::Null => String::new(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
