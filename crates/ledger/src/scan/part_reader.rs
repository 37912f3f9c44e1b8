//! Reads one export completely and verifies it against its manifest and its seal.

use super::spilled_keys::{SpilledKey, SpilledKeys};
use crate::correction::Correction;
use crate::entry::{to_hex, Answer, Micros, Row, RowReader};
use crate::export::{
    lines, read_block, read_header, BlockHeader, ContentError, HashingStream, Header, Manifest,
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

/// Reason for which an export is rejected.
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
    #[error("the delivery marks cannot be decoded")]
    Marks,
    #[error("entry {seq} of epoch {epoch} is not what was written")]
    Entry { epoch: u64, seq: u64 },
    #[error("a block holds {found} entries, not {recorded}")]
    EntryCount { found: u64, recorded: u64 },
    #[error("an entry refers to name {0}, which does not exist")]
    Name(u32),
    #[error("correction {0} cannot be read")]
    Correction(u64),
    #[error("{0} is not what the manifest says")]
    Differs(&'static str),
}

/// Content of an export, hashed before and after decompression.
type Content = BufReader<HashingStream<zstd::Decoder<'static, BufReader<HashingStream<File>>>>>;

/// First and last number of a sequence without gaps.
type Run = (u64, u64);

/// Reads and verifies an export. `index` is its position in the list of exports. The idempotency keys of
/// served entries are written to `keys`.
pub(super) fn read_part(
    path: &Path,
    manifest: &Manifest,
    index: u32,
    keys: &SpilledKeys,
) -> Result<Part, PartError> {
    let mut content = open(path)?;
    let header = read_header(&mut content)?;
    let period = header.period.parse()?;
    let marks = header.marks().ok_or(PartError::Marks)?;
    let mut reader = PartReader::new(&header, period, &marks, manifest, index);
    while let Some((block, body)) = read_block(&mut content)? {
        let served = reader.add_block(&block, &body)?;
        keys.spill(served)?;
    }
    let (part, seal) = reader.finish()?;
    let hashes = finish_content(content)?;
    check(&part, &header, manifest, seal, &hashes)?;
    Ok(part)
}

fn open(path: &Path) -> io::Result<Content> {
    let file = HashingStream::new(File::open(path)?);
    let content = HashingStream::new(zstd::Decoder::new(file)?);
    Ok(BufReader::with_capacity(READ_BUFFER_BYTES, content))
}

struct Hashes {
    content: String,
    file: String,
}

/// Reads the file to its end and returns the hashes. Bytes after the last compressed frame are included,
/// because the file's hash covers all its bytes.
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
    header: &Header,
    manifest: &Manifest,
    seal: [u8; 32],
    hashes: &Hashes,
) -> Result<(), PartError> {
    let checks = [
        ("the file", hashes.file == manifest.file_hash),
        ("its content", hashes.content == manifest.id),
        (
            "its seal",
            seal[..] == header.seal[..] && part.seal == manifest.seal,
        ),
        ("the seal before", part.before == manifest.before),
        (
            "its instance",
            part.instance == manifest.instance && part.period == manifest.period,
        ),
        ("its count", part.entries == manifest.entries),
        (
            "its corrections",
            header.corrections.len() as u64 == manifest.corrections,
        ),
        ("its sums", lines(part.lines.clone()) == manifest.lines),
    ];
    match checks.iter().find(|(_, fits)| !fits) {
        Some((what, _)) => Err(PartError::Differs(what)),
        None => Ok(()),
    }
}

/// Accumulates the totals of one export, block by block.
struct PartReader<'a> {
    header: &'a Header,
    index: u32,
    marks: &'a BTreeMap<u64, Marks>,
    chain: seal::Chain,
    sums: HashMap<(u32, u32), Usage>,
    part: Part,
}

impl<'a> PartReader<'a> {
    fn new(
        header: &'a Header,
        period: Period,
        marks: &'a BTreeMap<u64, Marks>,
        manifest: &Manifest,
        index: u32,
    ) -> PartReader<'a> {
        PartReader {
            header,
            index,
            marks,
            chain: seal::Chain::new(&header.before, &header.instance, period),
            sums: HashMap::new(),
            part: Part {
                instance: header.instance.clone(),
                period,
                id: manifest.id.clone(),
                seal: to_hex(&header.seal),
                before: to_hex(&header.before),
                entries: 0,
                lines: Lines::new(),
                numbers: BTreeMap::new(),
                doubts: Vec::new(),
                settles: Vec::new(),
            },
        }
    }

    /// Adds the entries of a block to the totals, and returns the idempotency keys of those that were served.
    fn add_block(
        &mut self,
        block: &BlockHeader,
        body: &[u8],
    ) -> Result<Vec<SpilledKey>, PartError> {
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

    fn chain_block(&mut self, block: &BlockHeader, body: &[u8]) {
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

    /// Returns the sequence number and time that a block's first entry is relative to.
    fn base(&self, block: &BlockHeader) -> (u64, Micros) {
        let start_us = self.part.period.start_s() as u64 * 1_000_000;
        (block.first, start_us)
    }

    /// Extends the run of sequence numbers by `seq`. If `seq` does not follow it, stores the run and starts a
    /// new one.
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

    /// Adds one entry to the totals. Returns its idempotency key if it was served and has one.
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
        let name = self.header.names.get(&number);
        name.cloned().ok_or(PartError::Name(number))
    }

    /// Completes the part, and computes the seal of its content.
    fn finish(mut self) -> Result<(Part, [u8; 32]), PartError> {
        self.chain.names(&self.header.names);
        self.chain.marks(&self.header.marks);
        for ((tenant, class), sum) in std::mem::take(&mut self.sums) {
            let line = (self.name(tenant)?, self.name(class)?);
            self.part.lines.insert(line, sum);
        }
        for (number, bytes) in &self.header.corrections {
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
