//! Content of an exported file: a header followed by the period's blocks, compressed with zstd.

use crate::entry::to_hex;
use crate::marks::Marks;
use crate::period::Period;
use crate::store::{Block, Store, StoreError};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufWriter, Read, Write};

const MAGIC: &[u8; 8] = b"SLEDGER1";
/// Compression level: zstd's default.
const COMPRESSION_LEVEL: i32 = 3;
const WRITE_BUFFER_BYTES: usize = 1 << 16;
/// Maximum length of a header or block that is read. Guards against invalid lengths in a damaged file.
const MAX_PART_BYTES: u64 = 64 << 20;

/// Reason for which content could not be written.
#[derive(Debug, thiserror::Error)]
pub(super) enum WriteError {
    /// The store could not be read.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// The file could not be written.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Reason for which content could not be read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ContentError {
    #[error("it is cut off")]
    CutOff,
    #[error("not an export of a ledger")]
    NotAnExport,
    #[error("its head cannot be read")]
    Header,
    #[error("a block's head cannot be read")]
    BlockHeader,
    #[error("a length in it is not what was written")]
    Length,
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Header of a file's content.
#[derive(Serialize, Deserialize)]
pub(crate) struct Header {
    pub(crate) instance: String,
    pub(crate) period: String,
    pub(crate) before: Vec<u8>,
    pub(crate) seal: Vec<u8>,
    pub(crate) names: BTreeMap<u32, String>,
    pub(crate) marks: Vec<u8>,
    pub(crate) corrections: Vec<(u64, Vec<u8>)>,
}

impl Header {
    pub(crate) fn marks(&self) -> Option<BTreeMap<u64, Marks>> {
        postcard::from_bytes(&self.marks).ok()
    }
}

/// Header of one block, which precedes the block's encoded entries.
#[derive(Serialize, Deserialize)]
pub(crate) struct BlockHeader {
    pub(crate) epoch: u64,
    pub(crate) first: u64,
    pub(crate) last: u64,
    pub(crate) entries: u64,
    pub(crate) bytes: u64,
}

/// Hashes all bytes that are read or written through it.
pub(crate) struct HashingStream<T> {
    pub(crate) inner: T,
    hash: blake3::Hasher,
}

impl<T> HashingStream<T> {
    pub(crate) fn new(inner: T) -> HashingStream<T> {
        HashingStream {
            inner,
            hash: blake3::Hasher::new(),
        }
    }

    /// Returns the hash of the bytes so far, as hex digits.
    pub(crate) fn hex(&self) -> String {
        to_hex(self.hash.finalize().as_bytes())
    }
}

impl<T: Write> Write for HashingStream<T> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = self.inner.write(bytes)?;
        self.hash.update(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

impl<T: Read> Read for HashingStream<T> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let count = self.inner.read(buffer)?;
        self.hash.update(&buffer[..count]);
        Ok(count)
    }
}

/// Hashes of a file's content before and after compression.
pub(super) struct Hashes {
    pub(super) content: String,
    pub(super) file: String,
}

/// Writes the header and the period's blocks to `file`. The file is not synced.
pub(super) fn write(
    store: &Store,
    period: Period,
    header: &Header,
    file: File,
) -> Result<(File, Hashes), WriteError> {
    let buffered = BufWriter::with_capacity(WRITE_BUFFER_BYTES, file);
    let compressed = zstd::Encoder::new(HashingStream::new(buffered), COMPRESSION_LEVEL)?;
    let mut content = HashingStream::new(compressed);
    write_header(&mut content, header)?;
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

fn write_header(content: &mut impl Write, header: &Header) -> io::Result<()> {
    let bytes = postcard::to_stdvec(header).expect("a plain struct can always be encoded");
    content.write_all(MAGIC)?;
    content.write_all(&(bytes.len() as u64).to_le_bytes())?;
    content.write_all(&bytes)
}

fn write_block(content: &mut impl Write, block: &Block) -> io::Result<()> {
    let header = BlockHeader {
        epoch: block.epoch,
        first: block.first,
        last: block.last,
        entries: block.entries,
        bytes: block.body.len() as u64,
    };
    let header = postcard::to_stdvec(&header).expect("a plain struct can always be encoded");
    content.write_all(&[header.len() as u8])?;
    content.write_all(&header)?;
    content.write_all(block.body)
}

/// Reads the magic bytes, the header's length and the header.
pub(crate) fn read_header(content: &mut impl Read) -> Result<Header, ContentError> {
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
    postcard::from_bytes(&bytes).map_err(|_| ContentError::Header)
}

/// Reads the next block's header and body, or `None` at the end of the content.
pub(crate) fn read_block(
    content: &mut impl Read,
) -> Result<Option<(BlockHeader, Vec<u8>)>, ContentError> {
    let mut length = [0; 1];
    if content.read(&mut length)? == 0 {
        return Ok(None);
    }
    let header = read_bytes(content, u64::from(length[0]))?;
    let header: BlockHeader =
        postcard::from_bytes(&header).map_err(|_| ContentError::BlockHeader)?;
    let body = read_bytes(content, header.bytes)?;
    Ok(Some((header, body)))
}

/// Reads `length` bytes. The buffer grows only as data arrives, so an invalid length costs no memory.
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
