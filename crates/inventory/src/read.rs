//! From files to a checked roster. What is read comes from a [`Source`]: nothing here touches a disk by itself.

use crate::ansible::{self, Beside, Vars};
use crate::host::{check, Host, Known, Raw};
use crate::problem::{At, Found, Problems, Texts};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};

/// The largest file that is read, in bytes: guards against junk.
pub const MOST_BYTES: u64 = 16 << 20;

/// Where files come from.
pub trait Source {
    /// The bytes of a file, which must be no larger than [`MOST_BYTES`].
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// The files and folders in a folder; none if there is no such folder.
    fn list(&self, dir: &Path) -> io::Result<Vec<PathBuf>>;
}

/// The forms of an inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Rows with a heading.
    Csv,
    /// Ansible's YAML, and its JSON.
    Yaml,
    /// Ansible's INI.
    Ini,
}

/// A roster that was found good.
#[derive(Clone, Debug)]
pub struct Roster {
    /// Its hosts, by their names.
    pub hosts: Vec<Host>,
    /// What stands in the files and means nothing here.
    pub notes: Vec<String>,
    /// The hash of all that was read.
    pub hash: [u8; 32],
}

/// The form of a file: by its ending, or by how it begins.
pub fn form(path: &Path, text: &str) -> Form {
    match path
        .extension()
        .and_then(|e| e.to_str())
        .map(str::to_ascii_lowercase)
        .as_deref()
    {
        Some("csv" | "tsv" | "tab") => return Form::Csv,
        Some("yml" | "yaml" | "json") => return Form::Yaml,
        Some("ini" | "cfg") => return Form::Ini,
        _ => {}
    }
    let lines = || text.trim_start_matches('\u{feff}').lines().map(str::trim);
    let first = lines()
        .find(|l| !l.is_empty() && !l.starts_with(['#', ';']))
        .unwrap_or("");
    match first {
        l if l.starts_with(['{', '-', '%']) || l.ends_with(':') => Form::Yaml,
        l if l.contains([',', ';', '\t']) && !l.contains('=') => Form::Csv,
        _ => Form::Ini,
    }
}

/// Reads an inventory and what stands beside it, and checks all of it. Either all hosts are good, or every mistake is
/// told.
pub fn read(source: &impl Source, path: &Path, known: &Known) -> Result<Roster, Problems> {
    let (mut texts, mut found) = (Texts::default(), Found::default());
    let mut hash = blake3::Hasher::new();
    let mut notes = Vec::new();
    let raws = match take(source, path, &mut texts, &mut found, &mut hash) {
        Some(file) => raws(
            source, path, file, &mut texts, &mut found, &mut hash, &mut notes,
        ),
        None => Vec::new(),
    };
    let mut hosts = check(&raws, known, &texts, &mut found);
    if !found.is_empty() {
        return Err(found.end(texts));
    }
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(Roster {
        hosts,
        notes,
        hash: *hash.finalize().as_bytes(),
    })
}

#[allow(clippy::too_many_arguments)]
fn raws(
    source: &impl Source,
    path: &Path,
    file: u32,
    texts: &mut Texts,
    found: &mut Found,
    hash: &mut blake3::Hasher,
    notes: &mut Vec<String>,
) -> Vec<Raw> {
    let inventory = match form(path, texts.text(file)) {
        Form::Csv => return crate::csv::read(texts, file, found, notes),
        Form::Yaml => ansible::read_yaml(texts, file, found),
        Form::Ini => ansible::read_ini(texts, file, found),
    };
    let dir = path.parent().unwrap_or(Path::new(""));
    let mut folder = |name: &str, texts: &mut Texts, found: &mut Found| -> BTreeMap<String, Vars> {
        let mut all = BTreeMap::new();
        for (of, file) in beside(source, &dir.join(name), texts, found) {
            if let Some(n) = take(source, &file, texts, found, hash) {
                let vars = ansible::read_vars(texts, n, found);
                all.entry(of).or_insert_with(Vars::new).extend(vars);
            }
        }
        all
    };
    let groups = folder("group_vars", texts, found);
    let hosts = folder("host_vars", texts, found);
    inventory.resolve(&Beside { groups, hosts }, texts, found)
}

/// The files of `group_vars` or `host_vars`, each with the group or host that it is about: `name`, `name.yml`, or any
/// below a folder `name`, in order.
fn beside(
    source: &impl Source,
    dir: &Path,
    texts: &Texts,
    found: &mut Found,
) -> Vec<(String, PathBuf)> {
    let mut files = Vec::new();
    let mut list = |dir: &Path| {
        let listed = source.list(dir).unwrap_or_else(|e| {
            found.add(
                texts,
                At::default(),
                None,
                None,
                format!("{}: {e}", dir.display()),
            );
            Vec::new()
        });
        let visible = |p: &PathBuf| {
            p.file_name()
                .and_then(|n| n.to_str())
                .is_some_and(|n| !n.starts_with('.'))
        };
        let mut listed: Vec<PathBuf> = listed.into_iter().filter(visible).collect();
        listed.sort();
        listed
    };
    for path in list(dir) {
        let stem = match path.extension().and_then(|e| e.to_str()) {
            Some("yml" | "yaml" | "json") => path.file_stem(),
            _ => path.file_name(),
        };
        let of = stem.unwrap_or_default().to_string_lossy().into_owned();
        match list(&path) {
            inner if inner.is_empty() => files.push((of, path)),
            inner => files.extend(inner.into_iter().map(|p| (of.clone(), p))),
        }
    }
    files
}

/// Reads one file as text.
fn take(
    source: &impl Source,
    path: &Path,
    texts: &mut Texts,
    found: &mut Found,
    hash: &mut blake3::Hasher,
) -> Option<u32> {
    let name = path.display().to_string();
    let told = source
        .read(path)
        .map_err(|e| e.to_string())
        .and_then(|bytes| {
            hash.update(name.as_bytes())
                .update(&(bytes.len() as u64).to_le_bytes())
                .update(&bytes);
            String::from_utf8(bytes).map_err(|e| {
                let good = &e.as_bytes()[..e.utf8_error().valid_up_to()];
                format!(
                    "line {}: not UTF-8",
                    1 + good.iter().filter(|b| **b == b'\n').count()
                )
            })
        });
    match told {
        Ok(text) => Some(texts.add(&name, text)),
        Err(why) => {
            let file = texts.add(&name, String::new());
            found.add(
                texts,
                At {
                    file,
                    line: 0,
                    column: 0,
                },
                None,
                None,
                why,
            );
            None
        }
    }
}
