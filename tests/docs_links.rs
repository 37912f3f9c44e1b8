//! Links and paths in the documentation lead somewhere.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Pages of events that are over: they keep the names of their day.
const KEPT_AS_WRITTEN: [&str; 3] = ["CHANGELOG.md", "docs/incidents", "docs/ROADMAP.md"];

/// Folders of the repository: a text in backticks that begins with one of them is a path.
const FOLDERS: [&str; 8] = [
    "benches/",
    "crates/",
    "deploy/",
    "docs/",
    "examples/",
    "src/",
    "tests/",
    ".ci/",
];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn add_pages(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            add_pages(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

/// The README, the developers' page, and all of `docs/` but what is kept as it was written.
fn pages() -> Vec<PathBuf> {
    let mut pages = vec![root().join("README.md"), root().join("DEVELOPERS.md")];
    add_pages(&root().join("docs"), &mut pages);
    let is_kept = |page: &PathBuf| {
        KEPT_AS_WRITTEN
            .iter()
            .any(|kept| page.starts_with(root().join(kept)))
    };
    pages.retain(|page| !is_kept(page));
    pages
}

/// Targets of inline links, without those to other sites.
fn link_targets(text: &str) -> BTreeSet<String> {
    let candidates = text
        .split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')'));
    let targets = candidates.map(|(target, _)| target.to_string());
    targets.filter(|target| !target.contains("://")).collect()
}

/// Texts in backticks that name a path of the repository.
fn named_paths(text: &str) -> BTreeSet<String> {
    let quoted = text.split('`').skip(1).step_by(2);
    let plain = quoted.filter(|quoted| {
        let is_path = |c: char| c.is_ascii_alphanumeric() || "/._-".contains(c);
        quoted.chars().all(is_path) && FOLDERS.iter().any(|folder| quoted.starts_with(folder))
    });
    plain.map(str::to_string).collect()
}

/// Headings as the anchors that links use.
fn anchors(text: &str) -> BTreeSet<String> {
    let headings = text.lines().filter(|line| line.starts_with('#'));
    let anchor = |heading: &str| {
        let title = heading.trim_start_matches('#').trim().to_lowercase();
        let kept = title
            .chars()
            .filter(|c| c.is_alphanumeric() || "-_ ".contains(*c));
        kept.map(|c| if c == ' ' { '-' } else { c }).collect()
    };
    headings.map(anchor).collect()
}

#[test]
fn links_lead_to_files_and_headings_that_exist() {
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a page");
        for target in link_targets(&text) {
            let (file, anchor) = target.split_once('#').unwrap_or((&target, ""));
            let folder = page.parent().expect("a folder");
            let linked = if file.is_empty() {
                page.clone()
            } else {
                folder.join(file)
            };
            assert!(linked.exists(), "{}: no {target}", page.display());
            let is_page = linked
                .extension()
                .is_some_and(|extension| extension == "md");
            if !anchor.is_empty() && is_page {
                let headings = anchors(&std::fs::read_to_string(&linked).expect("a page"));
                assert!(
                    headings.contains(anchor),
                    "{}: no heading {target}",
                    page.display()
                );
            }
        }
    }
}

#[test]
fn paths_in_backticks_exist() {
    let mut missing = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a page");
        let lost = named_paths(&text)
            .into_iter()
            .filter(|path| !root().join(path).exists());
        missing.extend(lost.map(|path| format!("{}: {path}", page.display())));
    }
    assert!(missing.is_empty(), "{}", missing.join("\n"));
}

#[test]
fn every_page_under_docs_is_linked_or_named_by_another() {
    let pages = pages();
    let texts: Vec<(PathBuf, String)> = pages
        .iter()
        .map(|page| (page.clone(), std::fs::read_to_string(page).expect("a page")))
        .collect();
    for page in pages
        .iter()
        .filter(|page| page.starts_with(root().join("docs")))
    {
        let name = page
            .file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        let is_named = texts
            .iter()
            .any(|(other, text)| other != page && text.contains(&name));
        assert!(is_named, "{} is named by no other page", page.display());
    }
}
