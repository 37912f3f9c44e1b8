//! The content of an exported file: a head, then the period's blocks, compressed.

use crate::entry::to_hex;
use crate::marks::Marks;
use crate::period::Period;
use crate::store::{Block, Store, StoreError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};

const MAGIC: &[u8; 8] = b"SLEDGER1";
/// Compression: zstd's own choice.
const COMPRESSION_LEVEL: i32 = 3;
const WRITE_BUFFER_BYTES: usize = 1 << 16;
/// The longest head or block that is read: guards against a length that is junk.
const MAX_PART_BYTES: u64 = 64 << 20;

/// Why content could not be written.
#[derive(Debug, thiserror::Error)]
pub(super) enum WriteError {
    /// The store could not be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The file could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Why content could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ContentError {
    #[error("it is cut off")]
    CutOff,
    #[error("not an export of a ledger")]
    NotAnExport,
    #[error("its head cannot be read")]
    Head,
    #[error("a block's head cannot be read")]
    BlockHead,
    #[error("a length in it is not what was written")]
    Length,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The head of a file's content.
#[derive(Serialize, Deserialize)]
pub(crate) struct Head {
    pub(crate) instance: String,
    pub(crate) period: String,
    pub(crate) before: Vec<u8>,
    pub(crate) seal: Vec<u8>,
    pub(crate) names: BTreeMap<u32, String>,
    pub(crate) marks: Vec<u8>,
    pub(crate) corrections: Vec<(u64, Vec<u8>)>,
}

impl Head {
    pub(crate) fn marks(&self) -> Option<BTreeMap<u64, Marks>> {
        postcard::from_bytes(&self.marks).ok()
    }
}

/// The head of a block in a file's content, before its bytes.
#[derive(Serialize, Deserialize)]
pub(crate) struct BlockHead {
    pub(crate) epoch: u64,
    pub(crate) first: u64,
    pub(crate) last: u64,
    pub(crate) entries: u64,
    pub(crate) bytes: u64,
}

/// Hashes what passes through it.
pub(crate) struct Hashing<T> {
    pub(crate) inner: T,
    hash: blake3::Hasher,
}

impl<T> Hashing<T> {
    pub(crate) fn new(inner: T) -> Hashing<T> {
        Hashing {
            inner,
            hash: blake3::Hasher::new(),
        }
    }

    /// The hash of what has passed so far, as hex digits.
    pub(crate) fn hex(&self) -> String {
        to_hex(self.hash.finalize().as_bytes())
    }
}

impl<T: Write> Write for Hashing<T> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let n = self.inner.write(bytes)?;
        self.hash.update(&bytes[..n]);
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

impl<T: Read> Read for Hashing<T> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let n = self.inner.read(into)?;
        self.hash.update(&into[..n]);
        Ok(n)
    }
}

/// The hashes of a file's content before and after compression.
pub(super) struct Hashes {
    pub(super) content: String,
    pub(super) file: String,
}

/// Writes the head and the period's blocks. The file is not synced.
pub(super) fn write(
    store: &Store,
    period: Period,
    head: &Head,
    file: File,
) -> Result<(File, Hashes), WriteError> {
    let buffered = BufWriter::with_capacity(WRITE_BUFFER_BYTES, file);
    let compressed = zstd::Encoder::new(Hashing::new(buffered), COMPRESSION_LEVEL)?;
    let mut content = Hashing::new(compressed);
    write_head(&mut content, head)?;
    store.blocks(period, |block| -> Result<(), WriteError> {
        write_block(&mut content, &block)?;
        Ok(())
    })?;
    let content_hash = content.hex();
    let compressed = content.inner.finish()?;
    let hashes = Hashes {
        content: content_hash,
        file: compressed.hex(),
    };
    let file = compressed
        .inner
        .into_inner()
        .map_err(io::IntoInnerError::into_error)?;
    Ok((file, hashes))
}

fn write_head(content: &mut impl Write, head: &Head) -> io::Result<()> {
    let bytes = postcard::to_stdvec(head).expect("a plain struct can always be encoded");
    content.write_all(MAGIC)?;
    content.write_all(&(bytes.len() as u64).to_le_bytes())?;
    content.write_all(&bytes)
}

fn write_block(content: &mut impl Write, block: &Block) -> io::Result<()> {
    let head = BlockHead {
        epoch: block.epoch,
        first: block.first,
        last: block.last,
        entries: block.entries,
        bytes: block.body.len() as u64,
    };
    let head = postcard::to_stdvec(&head).expect("a plain struct can always be encoded");
    content.write_all(&[head.len() as u8])?;
    content.write_all(&head)?;
    content.write_all(block.body)
}

/// Reads the magic, the length and the head of a file's content.
pub(crate) fn read_head(content: &mut impl Read) -> Result<Head, ContentError> {
    let mut magic = [0; MAGIC.len()];
    let mut length = [0; 8];
    content
        .read_exact(&mut magic)
        .and_then(|()| content.read_exact(&mut length))
        .map_err(|_| ContentError::CutOff)?;
    if &magic != MAGIC {
        return Err(ContentError::NotAnExport);
    }
    let bytes = read_bytes(content, u64::from_le_bytes(length))?;
    postcard::from_bytes(&bytes).map_err(|_| ContentError::Head)
}

/// Reads the next block's head and body; none at the end of the content.
pub(crate) fn read_block(
    content: &mut impl Read,
) -> Result<Option<(BlockHead, Vec<u8>)>, ContentError> {
    let mut length = [0; 1];
    if content.read(&mut length)? == 0 {
        return Ok(None);
    }
    let head = read_bytes(content, u64::from(length[0]))?;
    let head: BlockHead = postcard::from_bytes(&head).map_err(|_| ContentError::BlockHead)?;
    let body = read_bytes(content, head.bytes)?;
    Ok(Some((head, body)))
}

/// Reads so many bytes; grows only as they come, so that a length that is junk costs no memory.
fn read_bytes(content: &mut impl Read, length: u64) -> Result<Vec<u8>, ContentError> {
    if length > MAX_PART_BYTES {
        return Err(ContentError::Length);
    }
    let mut bytes = Vec::new();
    let count = content.take(length).read_to_end(&mut bytes)?;
    if count as u64 != length {
        return Err(ContentError::CutOff);
    }
    Ok(bytes)
}
