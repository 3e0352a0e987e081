//! Merges the files of a folder, in the order of their names, into one document.
//!
//! A later file overrides an earlier one: maps are merged field by field, lists and scalars are
//! replaced, and `null` removes a field.

use crate::config::ConfigDocument;
use crate::config::check::check_document;
use crate::config::node::{ConfigIssue, ConfigNode, NodeOrigin, NodeValue};
use crate::config::typed;
use crate::prelude::*;

/// A file of a configuration folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigFile {
    /// Name in the folder, by which files are ordered.
    pub name: Arc<str>,
    /// Content, as YAML.
    pub text: String,
}

/// The merged and checked configuration of a folder.
#[derive(Debug, Clone, PartialEq)]
pub struct MergedConfig {
    /// The merged values, with the origin of each.
    pub tree: ConfigNode,
    /// The document deserialized from the tree.
    pub document: ConfigDocument,
}

/// Merges `files` and checks the result.
///
/// # Errors
///
/// At least one issue: all syntax errors; if there are none, the first type error; if there is none,
/// all invalid references and values.
pub fn merge_files(files: &[ConfigFile]) -> Result<MergedConfig, Vec<ConfigIssue>> {
    let tree = merge_trees(files)?;
    let document: ConfigDocument =
        typed::deserialize_document(&tree).map_err(|issue| vec![issue])?;
    let issues = check_document(&document, &tree);
    if !issues.is_empty() {
        return Err(issues);
    }
    Ok(MergedConfig { tree, document })
}

/// Merges `files` without checking fields or types.
///
/// # Errors
///
/// The syntax errors of all files.
pub fn merge_trees(files: &[ConfigFile]) -> Result<ConfigNode, Vec<ConfigIssue>> {
    let mut files: Vec<&ConfigFile> = files.iter().collect();
    files.sort_by(|a, b| a.name.cmp(&b.name));
    let mut merged = empty_tree();
    let mut issues = Vec::new();
    for file in files {
        match ConfigNode::parse(&file.name, &file.text) {
            Ok(node) => overlay(&mut merged, node),
            Err(issue) => issues.push(issue),
        }
    }
    if issues.is_empty() { Ok(merged) } else { Err(issues) }
}

fn empty_tree() -> ConfigNode {
    let origin = NodeOrigin { file: "(no file)".into(), line: 0, column: 0 };
    ConfigNode { value: NodeValue::Map(SortedTable::new()), origin }
}

fn overlay(base: &mut ConfigNode, override_node: ConfigNode) {
    let NodeValue::Map(new_fields) = override_node.value else {
        *base = override_node;
        return;
    };
    if !matches!(base.value, NodeValue::Map(_)) {
        *base =
            ConfigNode { value: NodeValue::Map(SortedTable::new()), origin: override_node.origin };
    }
    let NodeValue::Map(fields) = &mut base.value else { return };
    for (key, node) in new_fields {
        overlay_field(fields, key, node);
    }
}

fn overlay_field(fields: &mut SortedTable<Arc<str>, ConfigNode>, key: Arc<str>, node: ConfigNode) {
    if matches!(node.value, NodeValue::Null { .. }) {
        fields.remove(&*key);
        return;
    }
    let origin = node.origin.clone();
    let empty = || ConfigNode { value: NodeValue::Null { is_explicit: true }, origin };
    overlay(fields.get_or_insert_with(key, empty), node);
}
