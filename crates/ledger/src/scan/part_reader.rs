//! Reads one export whole and checks it against its manifest and its own seal.

use super::spilled_keys::{SpilledKey, SpilledKeys};
use crate::correction::Correction;
use crate::entry::{to_hex, Answer, Micros, Row, RowReader};
use crate::export::{
    lines, read_block, read_head, BlockHead, ContentError, Hashing, Head, Manifest,
};
use crate::marks::{Delivery, Marks};
use crate::period::{ParsePeriodError, Period};
use crate::reconcile::{EntryId, OpenDoubt, Part};
use crate::seal;
use crate::store::Lines;
use crate::sums::{Overflow, Usage};
use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufReader};
use std::path::Path;

const READ_BUFFER_BYTES: usize = 1 << 16;

/// Why an export is not what was written.
#[derive(Debug, thiserror::Error)]
pub(super) enum PartError {
    #[error(transparent)]
    Content(#[from] ContentError),
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Period(#[from] ParsePeriodError),
    #[error(transparent)]
    Overflow(#[from] Overflow),
    #[error("its marks cannot be read")]
    Marks,
    #[error("entry {seq} of epoch {epoch} is not what was written")]
    Entry { epoch: u64, seq: u64 },
    #[error("a block holds {found} entries, not {recorded}")]
    EntryCount { found: u64, recorded: u64 },
    #[error("no name {0}")]
    Name(u32),
    #[error("correction {0} cannot be read")]
    Correction(u64),
    #[error("{0} is not what the manifest says")]
    Differs(&'static str),
}

/// The content of an export, hashed before and after it is decompressed.
type Content = BufReader<Hashing<zstd::Decoder<'static, BufReader<Hashing<File>>>>>;

/// The first and the last of numbers without a gap.
type Run = (u64, u64);

/// Reads an export whole. `index` is its place among the exports that are read; keys of served entries go to `keys`.
pub(super) fn read_part(
    path: &Path,
    manifest: &Manifest,
    index: u32,
    keys: &SpilledKeys,
) -> Result<Part, PartError> {
    let mut content = open(path)?;
    let head = read_head(&mut content)?;
    let period = head.period.parse()?;
    let marks = head.marks().ok_or(PartError::Marks)?;
    let mut reader = PartReader::new(&head, period, &marks, manifest, index);
    while let Some((block, body)) = read_block(&mut content)? {
        let served = reader.add_block(&block, &body)?;
        keys.spill(served)?;
    }
    let (part, seal) = reader.finish()?;
    let hashes = finish_content(content)?;
    check(&part, &head, manifest, seal, &hashes)?;
    Ok(part)
}

fn open(path: &Path) -> io::Result<Content> {
    let file = Hashing::new(File::open(path)?);
    let content = Hashing::new(zstd::Decoder::new(file)?);
    Ok(BufReader::with_capacity(READ_BUFFER_BYTES, content))
}

struct Hashes {
    content: String,
    file: String,
}

/// Reads the file to its end: bytes after the last frame count too, as the file's hash is that of all its bytes.
fn finish_content(content: Content) -> io::Result<Hashes> {
    let content = content.into_inner();
    let content_hash = content.hex();
    let mut file = content.inner.finish().into_inner();
    io::copy(&mut file, &mut io::sink())?;
    Ok(Hashes {
        content: content_hash,
        file: file.hex(),
    })
}

fn check(
    part: &Part,
    head: &Head,
    manifest: &Manifest,
    seal: [u8; 32],
    hashes: &Hashes,
) -> Result<(), PartError> {
    let checks = [
        ("the file", hashes.file == manifest.file_hash),
        ("its content", hashes.content == manifest.id),
        (
            "its seal",
            seal[..] == head.seal[..] && part.seal == manifest.seal,
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
    match checks.iter().find(|(_, fits)| !fits) {
        Some((what, _)) => Err(PartError::Differs(what)),
        None => Ok(()),
    }
}

/// Sums up one export, block by block.
struct PartReader<'a> {
    head: &'a Head,
    index: u32,
    marks: &'a BTreeMap<u64, Marks>,
    chain: seal::Chain,
    sums: HashMap<(u32, u32), Usage>,
    part: Part,
}

impl<'a> PartReader<'a> {
    fn new(
        head: &'a Head,
        period: Period,
        marks: &'a BTreeMap<u64, Marks>,
        manifest: &Manifest,
        index: u32,
    ) -> PartReader<'a> {
        PartReader {
            head,
            index,
            marks,
            chain: seal::Chain::new(&head.before, &head.instance, period),
            sums: HashMap::new(),
            part: Part {
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
            },
        }
    }

    /// Counts the entries of a block, and returns the keys of those that were served.
    fn add_block(&mut self, block: &BlockHead, body: &[u8]) -> Result<Vec<SpilledKey>, PartError> {
        self.chain_block(block, body);
        let marks = self.marks.get(&block.epoch);
        let mut served = Vec::new();
        let mut count = 0;
        let mut run: Option<Run> = None;
        for row in RowReader::new(body, self.base(block)) {
            let row = row.map_err(|bad| PartError::Entry {
                epoch: block.epoch,
                seq: block.first + bad.0,
            })?;
            count += 1;
            run = Some(self.extend_run(block.epoch, run, row.seq));
            let delivery = marks.map_or(Delivery::InDoubt, |marks| marks.delivery(row.seq));
            served.extend(self.add_row(block.epoch, row, delivery)?);
        }
        self.add_numbers(block.epoch, run);
        if count != block.entries {
            return Err(PartError::EntryCount {
                found: count,
                recorded: block.entries,
            });
        }
        self.part.entries += count;
        Ok(served)
    }

    fn chain_block(&mut self, block: &BlockHead, body: &[u8]) {
        let place = seal::BlockPosition {
            period: self.part.period,
            epoch: block.epoch,
            first: block.first,
            last: block.last,
            entries: block.entries,
        };
        let hash = seal::block(&place, body);
        self.chain.block(block.epoch, block.first, &hash);
    }

    /// The number and time that a block's first entry counts from.
    fn base(&self, block: &BlockHead) -> (u64, Micros) {
        let start_us = self.part.period.start_s() as u64 * 1_000_000;
        (block.first, start_us)
    }

    /// Continues a run of numbers, or books it and begins another one.
    fn extend_run(&mut self, epoch: u64, run: Option<Run>, seq: u64) -> Run {
        match run {
            Some((first, last)) if last + 1 == seq => (first, seq),
            ended => {
                self.add_numbers(epoch, ended);
                (seq, seq)
            }
        }
    }

    fn add_numbers(&mut self, epoch: u64, run: Option<Run>) {
        if let Some((first, last)) = run {
            let numbers = self.part.numbers.entry(epoch).or_default();
            numbers.add_range(first, last);
        }
    }

    /// Counts one entry. Its key, if it was served and has one.
    fn add_row(
        &mut self,
        epoch: u64,
        row: Row,
        delivery: Delivery,
    ) -> Result<Option<SpilledKey>, PartError> {
        let sums = self.sums.entry((row.tenant, row.class)).or_default();
        sums.count(&row, delivery)?;
        if row.answer != Answer::Served {
            return Ok(None);
        }
        let spilled = row.key.map(|key| SpilledKey {
            key,
            export: self.index,
            epoch,
            seq: row.seq,
        });
        if delivery == Delivery::InDoubt {
            self.add_doubt(epoch, row)?;
        }
        Ok(spilled)
    }

    fn add_doubt(&mut self, epoch: u64, row: Row) -> Result<(), PartError> {
        let doubt = OpenDoubt {
            place: EntryId {
                instance: self.part.instance.clone(),
                epoch,
                seq: row.seq,
            },
            period: self.part.period,
            slot_us: row.slot_us(),
            tenant: self.name(row.tenant)?,
            class: self.name(row.class)?,
            operation: row.operation,
        };
        self.part.doubts.push(doubt);
        Ok(())
    }

    fn name(&self, number: u32) -> Result<String, PartError> {
        let name = self.head.names.get(&number);
        name.cloned().ok_or(PartError::Name(number))
    }

    /// The whole part, and the seal that its content has.
    fn finish(mut self) -> Result<(Part, [u8; 32]), PartError> {
        self.chain.names(&self.head.names);
        self.chain.marks(&self.head.marks);
        for ((tenant, class), sum) in std::mem::take(&mut self.sums) {
            let line = (self.name(tenant)?, self.name(class)?);
            self.part.lines.insert(line, sum);
        }
        for (number, bytes) in &self.head.corrections {
            self.add_correction(*number, bytes)?;
        }
        Ok((self.part, self.chain.finish()))
    }

    fn add_correction(&mut self, number: u64, bytes: &[u8]) -> Result<(), PartError> {
        self.chain.correction(number, bytes);
        let correction: Correction =
            postcard::from_bytes(bytes).map_err(|_| PartError::Correction(number))?;
        self.part.settles.push(correction.subject);
        let line = (correction.tenant, correction.class);
        let sums = self.part.lines.entry(line).or_default();
        sums.correct(correction.operations, correction.slot_us)?;
        Ok(())
    }
}
