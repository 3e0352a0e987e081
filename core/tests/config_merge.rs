//! Tests of merging a configuration folder: override rules, positions in error messages, and
//! agreement with a naive merge.

use buckthornwharf_core::config::merge::merge_trees;
use buckthornwharf_core::config::{ConfigFile, ConfigNode, NodeValue, diff_documents, merge_files};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::fmt::Write;

const BASE: &str = "\
sites:
  nbo-a: {region: nairobi}
models:
  grant-7b:
    versions:
      1.10: {digest: 0000000000000000000000000000000000000000000000000000000000000012}
services:
  grant-llm: {kind: engine, model: grant-7b, version: 1.10, sites: [nbo-a]}
  grants-ledger: {kind: plain}
organisations:
  tea:
    key_hash: 1111111111111111111111111111111111111111111111111111111111111111
routes:
  ledger: {path: /ledger, service: grants-ledger, non_idempotent: [POST, PUT]}
";

fn file(name: &str, text: &str) -> ConfigFile {
    ConfigFile { name: name.into(), text: text.to_owned() }
}

/// The issues that `overlay` causes on top of [`BASE`], one a line.
fn issues_with(overlay: &str) -> String {
    let files = [file("10-base.yaml", BASE), file("20-change.yaml", overlay)];
    match merge_files(&files) {
        Ok(_) => "accepted".to_owned(),
        Err(issues) => issues.iter().map(|issue| issue.to_string()).collect::<Vec<_>>().join("\n"),
    }
}

#[test]
fn later_files_override_and_each_value_names_its_file() {
    let overlay = "\
organisations:
  tea: {weight: 3, priority: high}
routes:
  ledger: {non_idempotent: [POST]}
allowances: {host_bytes_per_second: 1000}
";
    // Files are merged in the order of their names, not in the order of the slice.
    let files = [file("20-change.yaml", overlay), file("10-base.yaml", BASE)];
    let merged = merge_files(&files).expect("a valid folder");
    insta::assert_snapshot!(merged.tree.render(), @r#"
    allowances:
      host_bytes_per_second: 1000  # 20-change.yaml:5
    models:
      grant-7b:
        versions:
          "1.10":
            digest: 0000000000000000000000000000000000000000000000000000000000000012  # 10-base.yaml:6
    organisations:
      tea:
        key_hash: 1111111111111111111111111111111111111111111111111111111111111111  # 10-base.yaml:12
        priority: high  # 20-change.yaml:2
        weight: 3  # 20-change.yaml:2
    routes:
      ledger:
        non_idempotent:
          - POST  # 20-change.yaml:4
        path: /ledger  # 10-base.yaml:14
        service: grants-ledger  # 10-base.yaml:14
    services:
      grant-llm:
        kind: engine  # 10-base.yaml:8
        model: grant-7b  # 10-base.yaml:8
        sites:
          - nbo-a  # 10-base.yaml:8
        version: 1.10  # 10-base.yaml:8
      grants-ledger:
        kind: plain  # 10-base.yaml:9
    sites:
      nbo-a:
        region: nairobi  # 10-base.yaml:2
    "#);
}

#[test]
fn null_removes_a_field_with_all_its_subfields() {
    let overlay = "\
routes: {ledger: null}
services: {grants-ledger: ~}
";
    let files = [file("10-base.yaml", BASE), file("20-change.yaml", overlay)];
    let merged = merge_files(&files).expect("a valid folder");
    let base = merge_files(&files[..1]).expect("a valid folder");
    let changes = diff_documents(&base.document, &merged.document);
    let lines: Vec<String> = changes.iter().map(ToString::to_string).collect();
    insta::assert_snapshot!(lines.join("\n"), @"
    - routes.ledger.non_idempotent: [POST, PUT]
    - routes.ledger.path: /ledger
    - routes.ledger.service: grants-ledger
    - services.grants-ledger.kind: plain
    - services.grants-ledger.max_out_of_service: 1
    - services.grants-ledger.priority: 0
    - services.grants-ledger.sites: []
    ");
}

#[test]
fn issues_name_file_line_and_field() {
    let overlays = [
        "services: {grant-llm: {versoin: 2}}",
        "services: {grant-llm: {priority: high}}",
        "services: {grant-llm: {kind: motor}}",
        "services: {new: {model: grant-7b}}",
        "services: {grant-llm: {version: 2}}",
        "services: {grant-llm: {sites: [nbo-a, y]}}",
        "services: {grant-llm: {max_out_of_service: 0}}",
        "services: {grants-ledger: {version: 1.10}}",
        "models: {lora: {base: grant-9b, versions: {}}}",
        "models: {grant-7b: {versions: {2: {digest: 12}}}}",
        "organisations: {tea: {weight: 0}}",
        "organisations: {tea: {weight: -1}}",
        "organisations: {tea: 5}",
        "organisations:\n  kiosk:\n    key_hash: '1111111111111111111111111111111111111111111111111111111111111111'",
        "routes: {ledger: {path: ledger}}",
        "routes: {ledger: {non_idempotent: [post]}}",
        "routes: {ledger: {service: gone}}",
        "routes: {again: {path: /ledger, service: grant-llm}}",
        "allowances: {host_bytes_per_second: 10 MB}",
        "allowances: {host_bytes_per_second: 10 Mbit}",
        "allowances: {host_bytes_per_second: 99999999999 GiB}",
        "allowances: {host_bytes_per_second: 0}",
        "allowances: {store_region: mars}",
        "objectives: {grant-llm: {availability: 99.9}}",
        "objectives: {gone: {availability: 0.9}}",
        "sites: null",
        "organisations:",
        "organisations:\n  tea:\n    priority:\n    weight: 2",
        "routes: {ledger: {non_idempotent: [POST, ]}, again: }",
        "routes:\n  ledger:\n    non_idempotent:\n      - POST\n      -",
        "sites: [",
        "sites: {a: {region: x}, a: {region: y}}",
        "[]",
        "",
    ];
    let mut table = String::new();
    for overlay in overlays {
        writeln!(table, "{overlay}\n{}\n", issues_with(overlay)).expect("writing to a string");
    }
    insta::assert_snapshot!(table, @r#"
    services: {grant-llm: {versoin: 2}}
    20-change.yaml:1:24: services.grant-llm.versoin: unknown field `versoin`, expected one of `kind`, `model`, `version`, `sites`, `max_out_of_service`, `priority`

    services: {grant-llm: {priority: high}}
    20-change.yaml:1:24: services.grant-llm.priority: invalid type: string "high", expected u8

    services: {grant-llm: {kind: motor}}
    20-change.yaml:1:24: services.grant-llm.kind: unknown variant `motor`, expected `engine` or `plain`

    services: {new: {model: grant-7b}}
    20-change.yaml:1:12: services.new: missing field `kind`

    services: {grant-llm: {version: 2}}
    20-change.yaml:1:24: services.grant-llm.version: model `grant-7b` has no version `2`

    services: {grant-llm: {sites: [nbo-a, y]}}
    20-change.yaml:1:24: services.grant-llm.sites: there is no site `y`

    services: {grant-llm: {max_out_of_service: 0}}
    20-change.yaml:1:24: services.grant-llm.max_out_of_service: must be at least 1

    services: {grants-ledger: {version: 1.10}}
    10-base.yaml:9:3: services.grants-ledger: a plain service must not have `model` or `version`

    models: {lora: {base: grant-9b, versions: {}}}
    20-change.yaml:1:17: models.lora.base: there is no model `grant-9b`

    models: {grant-7b: {versions: {2: {digest: 12}}}}
    20-change.yaml:1:36: models.grant-7b.versions.2.digest: Can't convert a Byte Vector of length 1 to the output type.

    organisations: {tea: {weight: 0}}
    20-change.yaml:1:23: organisations.tea.weight: must be at least 1

    organisations: {tea: {weight: -1}}
    20-change.yaml:1:23: organisations.tea.weight: invalid value: integer `-1`, expected u32

    organisations: {tea: 5}
    20-change.yaml:1:17: organisations.tea: invalid type: integer `5`, expected struct OrganisationConfig

    organisations:
      kiosk:
        key_hash: '1111111111111111111111111111111111111111111111111111111111111111'
    10-base.yaml:12:5: organisations.tea.key_hash: organisation `kiosk` has the same key

    routes: {ledger: {path: ledger}}
    20-change.yaml:1:19: routes.ledger.path: must start with `/`

    routes: {ledger: {non_idempotent: [post]}}
    20-change.yaml:1:19: routes.ledger.non_idempotent: `post` is not one of GET, HEAD, POST, PUT, DELETE, PATCH, OPTIONS

    routes: {ledger: {service: gone}}
    20-change.yaml:1:19: routes.ledger.service: there is no service `gone`

    routes: {again: {path: /ledger, service: grant-llm}}
    10-base.yaml:14:12: routes.ledger.path: route `again` has the same path

    allowances: {host_bytes_per_second: 10 MB}
    accepted

    allowances: {host_bytes_per_second: 10 Mbit}
    20-change.yaml:1:14: allowances.host_bytes_per_second: invalid value: string "10 Mbit", expected a number of bytes, or an integer with a unit: B kB MB GB KiB MiB GiB

    allowances: {host_bytes_per_second: 99999999999 GiB}
    20-change.yaml:1:14: allowances.host_bytes_per_second: invalid value: string "99999999999 GiB", expected a number of bytes, or an integer with a unit: B kB MB GB KiB MiB GiB

    allowances: {host_bytes_per_second: 0}
    20-change.yaml:1:14: allowances.host_bytes_per_second: must be at least 1

    allowances: {store_region: mars}
    20-change.yaml:1:14: allowances.store_region: no site is in region `mars`

    objectives: {grant-llm: {availability: 99.9}}
    20-change.yaml:1:26: objectives.grant-llm.availability: must be between 0 and 1

    objectives: {gone: {availability: 0.9}}
    20-change.yaml:1:14: objectives.gone: there is no service `gone`

    sites: null
    10-base.yaml:8:61: services.grant-llm.sites: there is no site `nbo-a`

    organisations:
    20-change.yaml:1:1: organisations: a value is missing; `null` removes the field

    organisations:
      tea:
        priority:
        weight: 2
    20-change.yaml:3:5: organisations.tea.priority: a value is missing; `null` removes the field

    routes: {ledger: {non_idempotent: [POST, ]}, again: }
    20-change.yaml:1:46: routes.again: a value is missing; `null` removes the field

    routes:
      ledger:
        non_idempotent:
          - POST
          -
    20-change.yaml:5:8: routes.ledger.non_idempotent: a value is missing; `null` removes the field

    sites: [
    20-change.yaml: unclosed bracket '[' at line 1, column 8

    sites: {a: {region: x}, a: {region: y}}
    20-change.yaml: duplicate mapping key: a, set DuplicateKeyPolicy in Options if acceptable at line 1, column 25

    []
    20-change.yaml:1:1: the file: expected a map


    accepted
    "#);
}

/// A randomly generated YAML value.
#[derive(Debug, Clone)]
enum Tree {
    Null,
    Number(u8),
    List(Vec<u8>),
    Map(BTreeMap<String, Tree>),
}

fn any_tree() -> impl Strategy<Value = Tree> {
    let leaf = prop_oneof![
        1 => Just(Tree::Null),
        3 => any::<u8>().prop_map(Tree::Number),
        1 => prop::collection::vec(any::<u8>(), 0..3).prop_map(Tree::List),
    ];
    leaf.prop_recursive(3, 24, 4, |inner| any_map(inner).prop_map(Tree::Map))
}

fn any_map(inner: impl Strategy<Value = Tree>) -> impl Strategy<Value = BTreeMap<String, Tree>> {
    prop::collection::btree_map("[abc]", inner, 0..4)
}

fn to_yaml(tree: &Tree) -> String {
    match tree {
        Tree::Null => "null".to_owned(),
        Tree::Number(number) => number.to_string(),
        Tree::List(items) => format!("{items:?}"),
        Tree::Map(fields) => {
            let fields = fields.iter().map(|(key, tree)| format!("{key}: {}", to_yaml(tree)));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(", "))
        }
    }
}

/// The naive merge: a flat map from path to text and file, in which each assignment removes the
/// entries that it replaces.
#[derive(Debug, Default, PartialEq)]
struct NaiveMerge(BTreeMap<String, (String, String)>);

impl NaiveMerge {
    fn assign(&mut self, file: &str, path: &str, tree: &Tree) {
        let leaf = match tree {
            Tree::Map(fields) => {
                // A map replaces a scalar or list at its path, but keeps other fields below it.
                self.0.remove(path);
                for (key, tree) in fields {
                    self.assign(file, &format!("{path}/{key}"), tree);
                }
                return;
            }
            Tree::Null => None,
            Tree::Number(_) | Tree::List(_) => Some(to_yaml(tree)),
        };
        let child_prefix = format!("{path}/");
        self.0.retain(|other, _| other != path && !other.starts_with(&child_prefix));
        if let Some(leaf) = leaf {
            self.0.insert(path.to_owned(), (leaf, file.to_owned()));
        }
    }

    /// Inserts all leaves of a merged tree, for comparison.
    fn flatten(&mut self, path: &str, node: &ConfigNode) {
        let leaf = match &node.value {
            NodeValue::Map(fields) => {
                for (key, node) in fields.iter() {
                    self.flatten(&format!("{path}/{key}"), node);
                }
                return;
            }
            NodeValue::Integer(number) => number.value.to_string(),
            NodeValue::List(items) => {
                let items: Vec<String> = items.iter().map(|item| item.render()).collect();
                let items = items.iter().map(|item| item.split('#').next().unwrap_or("").trim());
                format!("[{}]", items.collect::<Vec<_>>().join(", "))
            }
            other => format!("{other:?}"),
        };
        self.0.insert(path.to_owned(), (leaf, node.origin.file.to_string()));
    }
}

proptest! {
    #[test]
    fn merge_agrees_with_a_naive_merge(
        trees in prop::collection::vec(any_map(any_tree()), 1..6),
    ) {
        let mut files = Vec::new();
        let mut naive = NaiveMerge::default();
        for (number, fields) in trees.into_iter().enumerate() {
            let name = format!("{number}.yaml");
            let tree = Tree::Map(fields);
            naive.assign(&name, "", &tree);
            files.push(file(&name, &to_yaml(&tree)));
        }
        files.reverse();
        let merged = merge_trees(&files).expect("valid files");
        let mut flat = NaiveMerge::default();
        flat.flatten("", &merged);
        prop_assert_eq!(flat, naive);
    }

    #[test]
    fn merge_does_not_panic_on_any_text(text in "[a-c:{}\\[\\],& *#'\"\n0-9~-]{0,60}") {
        let _ = merge_files(&[file("a.yaml", &text)]);
    }
}
