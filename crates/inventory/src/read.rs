//! Reads an inventory file and, for Ansible formats, the `group_vars` and `host_vars` directories next to it.

use crate::ansible::{read_ini, read_vars, read_yaml, AdjacentVars, Vars};
use crate::csv_reader::read_csv;
use crate::diagnostics::{Diagnostics, Finding, Findings};
use crate::host::{Host, KnownNames, RawHost};
use crate::host_check::check_hosts;
use crate::source_text::{FileId, SourceFiles, SourcePosition};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Largest file that is read, in bytes. Larger files are rejected, which protects against reading arbitrary
/// data.
pub const MAX_FILE_BYTES: u64 = 16 << 20;

/// Access to inventory files. Implementations supply the I/O, so that the rest of the crate needs none.
pub trait FileSource {
    /// Reads the contents of a file.
    ///
    /// # Errors
    /// If the file cannot be read or is larger than [`MAX_FILE_BYTES`].
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Returns the paths of the files and directories in a directory; empty if the directory does not exist.
    ///
    /// # Errors
    /// If the directory cannot be read.
    fn list(&self, directory: &Path) -> io::Result<Vec<PathBuf>>;
}

/// The contents of an inventory that passed validation.
#[derive(Clone, Debug)]
pub struct Inventory {
    /// Hosts, sorted by name.
    pub hosts: Vec<Host>,
    /// Messages about content that was ignored, such as columns that name no host field.
    pub notes: Vec<String>,
    /// BLAKE3 hash over the names and contents of all files that were read.
    pub hash: [u8; 32],
}

/// Reads an inventory and the `group_vars` and `host_vars` directories next to it, and validates all of it.
///
/// # Errors
/// If there is any error. Returns every error found; a partially valid inventory is never returned.
pub fn read_inventory(
    source: &impl FileSource,
    path: &Path,
    known: &KnownNames,
) -> Result<Inventory, Diagnostics> {
    let mut reader = InventoryReader {
        source,
        files: SourceFiles::default(),
        findings: Findings::default(),
        hasher: blake3::Hasher::new(),
        notes: Vec::new(),
    };
    let raw_hosts = reader.read_hosts(path);
    let mut hosts = check_hosts(&raw_hosts, known, &mut reader.findings);
    if !reader.findings.is_empty() {
        return Err(reader.findings.into_diagnostics(reader.files));
    }
    hosts.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(Inventory {
        hosts,
        notes: reader.notes,
        hash: *reader.hasher.finalize().as_bytes(),
    })
}

/// Input format of an inventory file.
enum InputFormat {
    /// Delimited rows below a heading row.
    Csv,
    /// Ansible's YAML format, or the JSON of `ansible-inventory --list`.
    Yaml,
    /// Ansible's INI format.
    Ini,
}

impl InputFormat {
    /// Selects the format by the file's extension, or by its first line if the extension is not known.
    fn detect(path: &Path, text: &str) -> InputFormat {
        let extension = path.extension().and_then(|extension| extension.to_str());
        match extension.map(str::to_ascii_lowercase).as_deref() {
            Some("csv" | "tsv" | "tab") => InputFormat::Csv,
            Some("yml" | "yaml" | "json") => InputFormat::Yaml,
            Some("ini" | "cfg") => InputFormat::Ini,
            _ => InputFormat::detect_by_first_line(text),
        }
    }

    fn detect_by_first_line(text: &str) -> InputFormat {
        let lines = text.trim_start_matches('\u{feff}').lines();
        let first = lines
            .map(str::trim)
            .find(|line| !line.is_empty() && !line.starts_with(['#', ';']))
            .unwrap_or("");
        if first.starts_with(['{', '-', '%']) || first.ends_with(':') {
            return InputFormat::Yaml;
        }
        if first.contains([',', ';', '\t']) && !first.contains('=') {
            return InputFormat::Csv;
        }
        InputFormat::Ini
    }
}

/// A file of `group_vars` or `host_vars`.
struct VarsFile {
    /// Name of the group or host to which the variables belong.
    owner: String,
    path: PathBuf,
}

/// State that accumulates while an inventory is read.
struct InventoryReader<'a, S> {
    source: &'a S,
    files: SourceFiles,
    findings: Findings,
    hasher: blake3::Hasher,
    notes: Vec<String>,
}

impl<S: FileSource> InventoryReader<'_, S> {
    fn read_hosts(&mut self, path: &Path) -> Vec<RawHost> {
        let Some(file) = self.read_file(path) else {
            return Vec::new();
        };
        let source = self.files.source_text(file);
        let inventory = match InputFormat::detect(path, source.text) {
            InputFormat::Csv => return read_csv(source, &mut self.findings, &mut self.notes),
            InputFormat::Yaml => read_yaml(source, &mut self.findings),
            InputFormat::Ini => read_ini(source, &mut self.findings),
        };
        let directory = path.parent().unwrap_or(Path::new(""));
        let adjacent = AdjacentVars {
            groups: self.read_vars_directory(&directory.join("group_vars")),
            hosts: self.read_vars_directory(&directory.join("host_vars")),
        };
        inventory.resolve(&adjacent, &mut self.findings)
    }

    /// Reads the variables in a `group_vars` or `host_vars` directory, by name of the group or host.
    fn read_vars_directory(&mut self, directory: &Path) -> BTreeMap<String, Vars> {
        let mut by_owner: BTreeMap<String, Vars> = BTreeMap::new();
        for VarsFile { owner, path } in self.list_vars_files(directory) {
            if let Some(file) = self.read_file(&path) {
                let vars = read_vars(self.files.source_text(file), &mut self.findings);
                by_owner.entry(owner).or_default().extend(vars);
            }
        }
        by_owner
    }

    /// Lists the files in a `group_vars` or `host_vars` directory in the order in which they are applied:
    /// `NAME`, `NAME.yml`, `NAME.yaml`, `NAME.json`, or every file in a directory `NAME`.
    fn list_vars_files(&mut self, directory: &Path) -> Vec<VarsFile> {
        let mut files = Vec::new();
        for path in self.list_visible(directory) {
            let name = match path.extension().and_then(|extension| extension.to_str()) {
                Some("yml" | "yaml" | "json") => path.file_stem(),
                _ => path.file_name(),
            };
            let owner = name.unwrap_or_default().to_string_lossy().into_owned();
            let nested = self.list_visible(&path);
            if nested.is_empty() {
                files.push(VarsFile { owner, path });
                continue;
            }
            files.extend(nested.into_iter().map(|path| VarsFile {
                owner: owner.clone(),
                path,
            }));
        }
        files
    }

    /// Lists the paths in a directory, sorted, without those whose name starts with a dot.
    fn list_visible(&mut self, directory: &Path) -> Vec<PathBuf> {
        let mut paths = self.source.list(directory).unwrap_or_else(|error| {
            let message = format!("{}: {error}", directory.display());
            self.findings
                .add(Finding::new(SourcePosition::default(), message));
            Vec::new()
        });
        paths.retain(|path| is_visible(path));
        paths.sort();
        paths
    }

    /// Reads a file as text. If this fails, reports an error and returns `None`.
    fn read_file(&mut self, path: &Path) -> Option<FileId> {
        let name = path.display().to_string();
        match self.read_text(path, &name) {
            Ok(text) => Some(self.files.add(&name, text)),
            Err(error) => {
                let whole_file = SourcePosition {
                    file: self.files.add(&name, String::new()),
                    line: 0,
                    column: 0,
                };
                self.findings
                    .add(Finding::new(whole_file, error.to_string()));
                None
            }
        }
    }

    fn read_text(&mut self, path: &Path, name: &str) -> Result<String, FileError> {
        let bytes = self.source.read(path)?;
        self.hasher
            .update(name.as_bytes())
            .update(&(bytes.len() as u64).to_le_bytes())
            .update(&bytes);
        String::from_utf8(bytes).map_err(|error| {
            let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
            FileError::NotUtf8 {
                line: valid.split(|byte| *byte == b'\n').count(),
            }
        })
    }
}

/// Reason why a file cannot be read as text.
#[derive(Debug, Error)]
enum FileError {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("line {line}: not UTF-8")]
    NotUtf8 { line: usize },
}

fn is_visible(path: &Path) -> bool {
    let name = path.file_name().and_then(|name| name.to_str());
    name.is_some_and(|name| !name.starts_with('.'))
}
