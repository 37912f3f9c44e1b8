//! The decision module is what the deploy file names under `policy`, and depends on nothing else of the program.

use std::collections::BTreeSet;
use std::path::Path;

/// Modules that the decision module may import: itself, what crosses its border, and the records it keeps.
const ALLOWED_MODULES: [&str; 3] = ["balance", "interface", "state"];

/// Folder of the decision module.
const MODULE_FOLDER: &str = "src/balance";

fn policy_files(root: &Path) -> Vec<String> {
    let deploy =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let deploy: toml::Table = deploy.parse().expect("TOML");
    let files = deploy["policy"].as_array().expect("a list").iter();
    files
        .map(|file| file.as_str().expect("a path").to_string())
        .collect()
}

/// Modules of the program that a source text names in a path that begins with `crate::`.
fn imported_modules(text: &str) -> BTreeSet<String> {
    let paths = text.split("crate::").skip(1);
    let is_part = |c: &char| c.is_alphanumeric() || *c == '_';
    paths
        .map(|path| path.chars().take_while(is_part).collect())
        .collect()
}

#[test]
fn policy_files_are_the_decision_module() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let named: BTreeSet<String> = policy_files(root).into_iter().collect();
    let folder = std::fs::read_dir(root.join(MODULE_FOLDER)).expect("the module's folder");
    let files = folder.map(|entry| {
        entry
            .expect("an entry")
            .file_name()
            .into_string()
            .expect("a name")
    });
    let found: BTreeSet<String> = files
        .map(|file| format!("{MODULE_FOLDER}/{file}"))
        .collect();
    assert_eq!(
        named, found,
        "each file of the module is named under policy, and no other"
    );
}

#[test]
fn policy_files_depend_on_nothing_else_of_the_program() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    for file in policy_files(root) {
        let text =
            std::fs::read_to_string(root.join(&file)).expect("a file of the decision module");
        for module in imported_modules(&text) {
            assert!(
                ALLOWED_MODULES.contains(&module.as_str()),
                "{file} imports crate::{module}"
            );
        }
        assert!(
            !text.contains("super::super"),
            "{file} reaches beyond its module"
        );
        let first = text.lines().next().unwrap_or_default();
        assert!(
            first.contains("src/interface/mod.rs"),
            "{file}: the interface is named at the top"
        );
    }
}
