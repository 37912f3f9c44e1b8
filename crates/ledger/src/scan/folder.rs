//! Finds the exports in a list of folders by their manifests.

use crate::export::Manifest;
use crate::period::Period;
use crate::reconcile::Finding;
use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// Path of an exported file and its manifest.
pub(super) struct FoundExport {
    pub(super) path: PathBuf,
    pub(super) manifest: Manifest,
}

/// Distinguishes exports: instance, period, and the hashes of the content and the compressed file.
type Identity = (String, Period, String, String);

/// Files of one folder that belong to exports.
#[derive(Default)]
struct Listing {
    /// Paths of the manifests, sorted.
    manifests: Vec<PathBuf>,
    /// Names of the exported files.
    contents: BTreeSet<String>,
}

/// Finds all exports. An export that is present in several folders is returned once. Unreadable manifests and
/// files without a manifest become findings.
pub(super) fn find_exports(
    folders: &[PathBuf],
    findings: &mut Vec<Finding>,
) -> io::Result<Vec<FoundExport>> {
    let mut found = Vec::new();
    let mut seen = BTreeSet::new();
    for folder in folders {
        let listing = list(folder)?;
        let mut without_manifest = listing.contents;
        for path in listing.manifests {
            match Manifest::load(&path) {
                Ok(manifest) => {
                    without_manifest.remove(&manifest.file);
                    if seen.insert(identity(&manifest)) {
                        let path = folder.join(&manifest.file);
                        found.push(FoundExport { path, manifest });
                    }
                }
                Err(error) => findings.push(Finding::Changed {
                    why: error.to_string(),
                }),
            }
        }
        for name in without_manifest {
            findings.push(interrupted(&folder.join(name)));
        }
    }
    Ok(found)
}

fn list(folder: &Path) -> io::Result<Listing> {
    let entries = std::fs::read_dir(folder)
        .map_err(|error| io::Error::new(error.kind(), format!("{}: {error}", folder.display())))?;
    let mut listing = Listing::default();
    for entry in entries {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        if name.starts_with('.') {
            continue;
        }
        if name.ends_with(".json") {
            listing.manifests.push(path);
        } else if name.ends_with(".ledger.zst") {
            listing.contents.insert(name.into_owned());
        }
    }
    listing.manifests.sort();
    Ok(listing)
}

fn identity(manifest: &Manifest) -> Identity {
    (
        manifest.instance.clone(),
        manifest.period,
        manifest.id.clone(),
        manifest.file_hash.clone(),
    )
}

fn interrupted(path: &Path) -> Finding {
    Finding::Changed {
        why: format!(
            "{}: no manifest beside it: an export was interrupted",
            path.display()
        ),
    }
}
