//! Renders the content of a store as text.

use crate::store::FORMAT;
use std::collections::BTreeMap;
use std::path::Path;
use streamusher_coordination::{DiskImage, EpochRecord, StateMap, WitnessState};

/// Totals of the keys of the replicated state that share a prefix.
#[derive(Clone, Copy, Debug, Default)]
struct KeyGroup {
    keys: usize,
    /// Total size of keys and values.
    bytes: usize,
}

/// Lines of text, each with a name and a value in columns.
struct Lines(Vec<String>);

impl Lines {
    fn push(&mut self, name: &str, value: &str) {
        self.0.push(format!("{name:<16}{value}\n"));
    }
}

/// Renders the store under `data_dir`; `bytes` is the total size of its files.
pub(super) fn render(data_dir: &Path, bytes: u64, image: &DiskImage) -> String {
    let mut lines = Lines(vec![format!(
        "{}: format {FORMAT}, {bytes} bytes, good\n",
        data_dir.display()
    )]);
    match &image.witness {
        Some(witness) => push_witness(&mut lines, witness),
        None => lines.push("disk", "empty: the process never ran to its first change"),
    }
    let position = image.position;
    lines.push(
        "position",
        &format!("epoch {}, batch {}", position.epoch, position.sequence),
    );
    lines.push("keys", &image.state.len().to_string());
    for (prefix, group) in groups_by_prefix(&image.state) {
        let line = format!("{prefix:<12}{} keys, {} bytes", group.keys, group.bytes);
        lines.push("", &line);
    }
    lines.0.concat()
}

fn push_witness(lines: &mut Lines, witness: &WitnessState) {
    let record = &witness.decided;
    lines.push("disk", &witness.id.to_string());
    lines.push("starts", &witness.starts.to_string());
    lines.push("epoch", &summarize_record(record));
    for member in &record.members {
        let role = if record.is_replica(member.id) {
            "copy"
        } else {
            "witness"
        };
        let line = format!("{} {} {role}", member.id, member.address.internal);
        lines.push("member", &line);
    }
    lines.push("promise", &format!("round {}", witness.promise.round));
    let accepted = match &witness.accepted {
        Some((_, record)) => format!("epoch {}", record.epoch),
        None => "none".to_owned(),
    };
    lines.push("accepted", &accepted);
}

fn summarize_record(record: &EpochRecord) -> String {
    let primary = match record.primary {
        Some(id) => id.to_string(),
        None => "none".to_owned(),
    };
    format!(
        "{}, primary {primary} since epoch {}",
        record.epoch, record.term
    )
}

/// Groups the keys by their prefix up to and including the first slash.
fn groups_by_prefix(state: &StateMap) -> BTreeMap<&str, KeyGroup> {
    let mut groups: BTreeMap<&str, KeyGroup> = BTreeMap::new();
    for (key, value) in state {
        let prefix = key.split_inclusive('/').next().unwrap_or(key);
        let group = groups.entry(prefix).or_default();
        group.keys += 1;
        group.bytes += key.len() + value.len();
    }
    groups
}
