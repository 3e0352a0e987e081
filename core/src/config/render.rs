//! Renders merged values as YAML, with the origin of each.

use crate::config::node::{ConfigNode, NodeValue};
use std::fmt::Write;

const INDENT_WIDTH: usize = 2;

impl ConfigNode {
    /// Renders the value as YAML; a comment after each scalar names its file and line.
    pub fn render(&self) -> String {
        let mut output = String::new();
        render_node(&mut output, self, 0);
        output
    }
}

fn render_node(output: &mut String, node: &ConfigNode, indent: usize) {
    match &node.value {
        NodeValue::Map(fields) => {
            for (key, field) in fields.iter() {
                output.push_str(&format!("{:indent$}{}:", "", scalar_text(key)));
                render_value(output, field, indent);
            }
        }
        NodeValue::List(items) => {
            for item in items {
                output.push_str(&format!("{:indent$}-", ""));
                render_value(output, item, indent);
            }
        }
        _ => render_value(output, node, indent),
    }
}

fn render_value(output: &mut String, node: &ConfigNode, indent: usize) {
    let text = match &node.value {
        NodeValue::Map(fields) if !fields.is_empty() => None,
        NodeValue::List(items) if !items.is_empty() => None,
        NodeValue::Map(_) => Some("{}".to_owned()),
        NodeValue::List(_) => Some("[]".to_owned()),
        NodeValue::Null { .. } => Some("null".to_owned()),
        NodeValue::Bool(value) => Some(value.to_string()),
        NodeValue::Integer(number) => Some(number.text.to_string()),
        NodeValue::Float(number) => Some(number.text.to_string()),
        NodeValue::Text(text) => Some(scalar_text(text)),
    };
    let Some(text) = text else {
        output.push('\n');
        render_node(output, node, indent + INDENT_WIDTH);
        return;
    };
    let origin = &node.origin;
    // Writing to a `String` cannot fail.
    let _ = writeln!(output, " {text}  # {}:{}", origin.file, origin.line);
}

/// `text` as a YAML scalar, quoted where it would otherwise be parsed as another type.
fn scalar_text(text: &str) -> String {
    match serde_saphyr::to_string(&text) {
        Ok(yaml) if !yaml.trim_end().contains('\n') => yaml.trim_end().to_owned(),
        _ => format!("{text:?}"),
    }
}
