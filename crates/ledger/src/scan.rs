//! Reads exports, several at a time, in memory that does not grow with their entries.

use crate::correction::Correction;
use crate::entry::{to_hex, Answer, KeyHash, Unpack};
use crate::export::{lines, read_bytes, read_head, BlockHead, Hashing, Manifest};
use crate::marks::Delivery;
use crate::period::{ParsePeriodError, Period};
use crate::reconcile::{Finding, Merged, OpenDoubt, Part, Place};
use crate::seal;
use crate::store::Lines;
use crate::sums::Use;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Seek, Write};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// Files that keys are spread over, so that each can be looked at in memory alone.
const BUCKETS: usize = 256;
/// Most repeated keys that are told one by one.
const TOLD: usize = 1_000;

/// What was read.
#[derive(Debug, Default)]
pub struct Scanned {
    /// All that fits by itself.
    pub merged: Merged,
    /// What does not.
    pub findings: Vec<Finding>,
    /// Repeated keys beyond those told.
    pub more_repeats: u64,
}

/// Reads all exports in these folders with so many threads. `each` hears of every file, with how many there are.
pub fn scan(dirs: &[PathBuf], threads: usize, each: impl Fn(usize) + Sync) -> io::Result<Scanned> {
    let mut done = Scanned::default();
    let mut found: Vec<(PathBuf, Manifest)> = Vec::new();
    let mut seen = BTreeSet::new();
    for dir in dirs {
        let (mut names, mut files): (Vec<PathBuf>, BTreeSet<String>) = Default::default();
        let entries = std::fs::read_dir(dir)
            .map_err(|e| io::Error::new(e.kind(), format!("{}: {e}", dir.display())));
        for entry in entries? {
            let path = entry?.path();
            let name = path
                .file_name()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            match name.ends_with(".json") && !name.starts_with('.') {
                true => names.push(path),
                false if name.ends_with(".ledger.zst") && !name.starts_with('.') => {
                    files.insert(name);
                }
                false => {}
            }
        }
        names.sort();
        for path in names {
            match Manifest::load(&path) {
                Ok(m) => {
                    files.remove(&m.file);
                    // The same export in two folders is read once.
                    if seen.insert((
                        m.instance.clone(),
                        m.period,
                        m.id.clone(),
                        m.file_hash.clone(),
                    )) {
                        found.push((dir.join(&m.file), m));
                    }
                }
                Err(why) => done.findings.push(Finding::Changed { why }),
            }
        }
        for name in files {
            let why = format!(
                "{}: no manifest beside it: an export was interrupted",
                dir.join(name).display()
            );
            done.findings.push(Finding::Changed { why });
        }
    }
    let keys = Keys::new()?;
    let (next, parts) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, found.len().max(1)) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::Relaxed);
                let Some((path, manifest)) = found.get(n) else {
                    return;
                };
                let part = read(path, manifest, n as u32, &keys);
                parts
                    .lock()
                    .expect("no thread panics with it")
                    .push((n, part));
                each(found.len());
            });
        }
    });
    let mut parts = parts.into_inner().expect("no thread panics with it");
    parts.sort_by_key(|(n, _)| *n);
    let mut whole = BTreeSet::new();
    for (n, part) in parts {
        match part {
            Ok(part) => {
                whole.insert(n as u32);
                done.merged.add(part);
            }
            Err(why) => {
                let why = format!("{}: {why}", found[n].0.display());
                done.findings.push(Finding::Changed { why });
            }
        }
    }
    let instances: Vec<&str> = found.iter().map(|(_, m)| m.instance.as_str()).collect();
    keys.repeats(&whole, &instances, &mut done)?;
    done.findings.extend(done.merged.findings());
    Ok(done)
}

/// Reads one export whole and checks it against its manifest and its own seal.
fn read(path: &Path, manifest: &Manifest, number: u32, keys: &Keys) -> Result<Part, String> {
    let file = File::open(path).map_err(|e| e.to_string())?;
    let outer = Hashing {
        inner: file,
        hash: blake3::Hasher::new(),
    };
    let zstd = zstd::Decoder::new(outer).map_err(|e| e.to_string())?;
    let mut from = BufReader::with_capacity(
        1 << 16,
        Hashing {
            inner: zstd,
            hash: blake3::Hasher::new(),
        },
    );
    let head = read_head(&mut from)?;
    let period: Period = head
        .period
        .parse()
        .map_err(|e: ParsePeriodError| e.to_string())?;
    let marks = head.marks().ok_or("its marks cannot be read")?;
    let mut chain = seal::Chain::new(&head.before, &head.instance, period);
    let mut part = Part {
        instance: head.instance.clone(),
        period,
        id: manifest.id.clone(),
        seal: to_hex(&head.seal),
        before: to_hex(&head.before),
        entries: 0,
        lines: Lines::new(),
        numbers: BTreeMap::new(),
        doubts: Vec::new(),
        settles: Vec::new(),
    };
    let mut sums: HashMap<(u32, u32), Use> = HashMap::new();
    let mut spilled = Vec::new();
    let name = |n: u32| {
        head.names
            .get(&n)
            .cloned()
            .ok_or_else(|| format!("no name {n}"))
    };
    let mut length = [0; 1];
    while from.read(&mut length).map_err(|e| e.to_string())? == 1 {
        let block = read_bytes(&mut from, u64::from(length[0]))?;
        let block: BlockHead =
            postcard::from_bytes(&block).map_err(|_| "a block's head cannot be read")?;
        let body = read_bytes(&mut from, block.bytes)?;
        let BlockHead {
            epoch,
            first,
            last,
            entries,
            ..
        } = block;
        let hash = seal::block(
            &seal::Place {
                period,
                epoch,
                first,
                last,
                entries,
            },
            &body,
        );
        chain.block(epoch, first, &hash);
        let known = marks.get(&block.epoch);
        let base = (block.first, period.start_s() as u64 * 1_000_000);
        let (mut count, mut run) = (0, None::<(u64, u64)>);
        for row in Unpack::new(&body, base) {
            let row = row.map_err(|bad| {
                format!(
                    "entry {} of epoch {} is not what was written",
                    block.first + bad.0,
                    block.epoch
                )
            })?;
            count += 1;
            run = match run {
                Some((first, last)) if last + 1 == row.seq => Some((first, row.seq)),
                earlier => {
                    earlier
                        .into_iter()
                        .for_each(|(a, b)| numbers(&mut part, block.epoch, a, b));
                    Some((row.seq, row.seq))
                }
            };
            let delivery = known.map_or(Delivery::InDoubt, |m| m.of(row.seq));
            sums.entry((row.tenant, row.class))
                .or_default()
                .count(&row, delivery)
                .map_err(|e| e.to_string())?;
            if row.answer != Answer::Served {
                continue;
            }
            let place = |instance: &str| Place {
                instance: instance.into(),
                epoch: block.epoch,
                seq: row.seq,
            };
            if let Some(key) = row.key {
                spilled.push(Spilled {
                    key,
                    number,
                    epoch: block.epoch,
                    seq: row.seq,
                });
            }
            if delivery == Delivery::InDoubt {
                part.doubts.push(OpenDoubt {
                    place: place(&part.instance),
                    period,
                    slot_us: row.slot_us(),
                    tenant: name(row.tenant)?,
                    class: name(row.class)?,
                    operation: row.operation,
                });
            }
        }
        run.into_iter()
            .for_each(|(a, b)| numbers(&mut part, block.epoch, a, b));
        if count != block.entries {
            return Err(format!(
                "a block holds {count} entries, not {}",
                block.entries
            ));
        }
        part.entries += count;
        keys.spill(&mut spilled).map_err(|e| e.to_string())?;
    }
    chain.names(&head.names);
    chain.marks(&head.marks);
    for ((tenant, class), sum) in sums {
        part.lines.insert((name(tenant)?, name(class)?), sum);
    }
    for (no, bytes) in &head.corrections {
        chain.correction(*no, bytes);
        let c: Correction =
            postcard::from_bytes(bytes).map_err(|_| format!("correction {no} cannot be read"))?;
        part.settles.push(c.about);
        let line = part.lines.entry((c.tenant, c.class)).or_default();
        line.correct(c.operations, c.slot_us)
            .map_err(|e| e.to_string())?;
    }
    // What follows the last frame counts too: the hash of the file is that of all its bytes.
    let hashing = from.into_inner();
    let id = to_hex(hashing.hash.finalize().as_bytes());
    let mut outer = hashing.inner.finish().into_inner();
    io::copy(&mut outer, &mut io::sink()).map_err(|e| e.to_string())?;
    let fits = [
        (
            "the file",
            to_hex(outer.hash.finalize().as_bytes()) == manifest.file_hash,
        ),
        ("its content", id == manifest.id),
        (
            "its seal",
            chain.end()[..] == head.seal[..] && part.seal == manifest.seal,
        ),
        ("the seal before", part.before == manifest.before),
        (
            "its instance",
            part.instance == manifest.instance && part.period == manifest.period,
        ),
        ("its count", part.entries == manifest.entries),
        (
            "its corrections",
            head.corrections.len() as u64 == manifest.corrections,
        ),
        ("its sums", lines(part.lines.clone()) == manifest.lines),
    ];
    match fits.iter().find(|(_, fits)| !fits) {
        Some((what, _)) => Err(format!("{what} is not what the manifest says")),
        None => Ok(part),
    }
}

fn numbers(part: &mut Part, epoch: u64, first: u64, last: u64) {
    part.numbers
        .entry(epoch)
        .or_default()
        .add_range(first, last);
}

#[derive(Serialize, Deserialize)]
struct Spilled {
    key: KeyHash,
    number: u32,
    epoch: u64,
    seq: u64,
}

/// The keys of served entries, spread over files that are gone when this is dropped.
struct Keys(Vec<Mutex<BufWriter<File>>>);

impl Keys {
    fn new() -> io::Result<Keys> {
        let file = |_| {
            Ok(Mutex::new(BufWriter::with_capacity(
                8 << 10,
                tempfile::tempfile()?,
            )))
        };
        Ok(Keys((0..BUCKETS).map(file).collect::<io::Result<_>>()?))
    }

    fn spill(&self, keys: &mut Vec<Spilled>) -> io::Result<()> {
        for one in keys.drain(..) {
            let bytes = postcard::to_stdvec(&one).expect("plain data");
            let mut file = self.0[usize::from(one.key[0])]
                .lock()
                .expect("no thread panics with it");
            file.write_all(&[bytes.len() as u8])?;
            file.write_all(&bytes)?;
        }
        Ok(())
    }

    /// Keys with entries of several instances, among the exports that are whole.
    fn repeats(
        self,
        whole: &BTreeSet<u32>,
        instances: &[&str],
        done: &mut Scanned,
    ) -> io::Result<()> {
        for file in self.0 {
            let mut file = file
                .into_inner()
                .expect("no thread panics with it")
                .into_inner()?;
            file.rewind()?;
            let mut bytes = Vec::new();
            file.read_to_end(&mut bytes)?;
            let mut all: Vec<Spilled> = Vec::new();
            let mut rest = &bytes[..];
            while let Some((length, more)) = rest.split_first() {
                let (one, more) = more.split_at(usize::from(*length).min(more.len()));
                all.extend(
                    postcard::from_bytes(one)
                        .into_iter()
                        .filter(|s: &Spilled| whole.contains(&s.number)),
                );
                rest = more;
            }
            all.sort_by_key(|s| (s.key, s.number, s.epoch, s.seq));
            for same in all.chunk_by(|a, b| a.key == b.key) {
                let instance = |s: &Spilled| instances[s.number as usize];
                if same.iter().all(|s| instance(s) == instance(&same[0])) {
                    continue;
                }
                let told = done
                    .findings
                    .iter()
                    .filter(|f| matches!(f, Finding::Repeated { .. }))
                    .count();
                if told >= TOLD {
                    done.more_repeats += 1;
                    continue;
                }
                let place = |s: &Spilled| Place {
                    instance: instance(s).into(),
                    epoch: s.epoch,
                    seq: s.seq,
                };
                let places: BTreeSet<Place> = same.iter().map(place).collect();
                let (key, places) = (to_hex(&same[0].key), places.into_iter().collect());
                done.findings.push(Finding::Repeated { key, places });
            }
        }
        Ok(())
    }
}
