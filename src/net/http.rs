//! HTTP/1.1 over one TCP connection, for both sides: heads by httparse, bodies by length or in chunks.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::TcpStream;

/// The longest head.
const HEAD: usize = 16 << 10;
/// The longest body.
pub const MAX_BODY_BYTES: usize = 64 << 10;
const HEADERS: usize = 64;
/// The longest chunk of an answer without end, such as a watch.
const CHUNK: usize = 4 << 20;
/// Headers that must not come twice, as the two could be read in two ways.
pub(crate) const UNIQUE_HEADERS: [&str; 6] = [
    "content-length",
    "transfer-encoding",
    "x-correlation-id",
    "x-time-left-ms",
    "idempotency-key",
    "x-facts",
];

/// Why a message cannot be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection ended or broke.
    Ended,
    /// It is not HTTP as it should be.
    Malformed(&'static str),
    /// Its body is over the limit.
    TooLarge,
    /// It did not come in whole in time.
    Late,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> ReadError {
        ReadError::Ended
    }
}

/// The head of a request or an answer.
#[derive(Debug, Default)]
pub struct Head {
    /// The method; empty for an answer.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// The status; 0 for a request.
    pub status: u16,
    /// The sender closes after this message.
    pub close: bool,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header; the first, if there are several.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// The values of a header.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a str> + use<'a, 'n> {
        self.headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

enum Framing {
    Length(usize),
    Chunked,
    ToEnd,
}

/// A connection, and what has been read from it but not used.
pub struct Conn {
    stream: Async<TcpStream>,
    buf: Vec<u8>,
    overrun: bool,
}

impl Conn {
    /// Wraps a connected stream.
    pub fn new(stream: Async<TcpStream>) -> Conn {
        // Guards against small answers waiting for acknowledgements.
        let _ = stream.get_ref().set_nodelay(true);
        Conn {
            stream,
            buf: Vec::new(),
            overrun: false,
        }
    }

    /// The stream below.
    pub fn stream(&self) -> &Async<TcpStream> {
        &self.stream
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0u8; 8 << 10];
        let n = self.stream.read(&mut part).await?;
        self.buf.extend_from_slice(&part[..n]);
        Ok(n)
    }

    /// Comes back when the other side has ended the connection, never otherwise. What it sends meanwhile is
    /// kept, up to a little; the rest is thrown away, and the connection is fit for nothing but to be closed. Guards
    /// against a client that sends much at once and goes: its end stands behind what it sent.
    pub async fn ended(&mut self) {
        loop {
            if self.buf.len() < HEAD {
                if !matches!(self.fill().await, Ok(n) if n > 0) {
                    return;
                }
            } else {
                self.overrun = true;
                if self.discard_input().await == 0 {
                    return;
                }
            }
            // Guards against a client that sends at full speed and keeps all others waiting.
            futures_lite::future::yield_now().await;
        }
    }

    /// Whether some of what came was thrown away.
    pub fn is_overrun(&self) -> bool {
        self.overrun
    }

    /// Reads some of what comes, for nothing; how much it was, and 0 at the end.
    pub async fn discard_input(&mut self) -> usize {
        let mut part = [0u8; 8 << 10];
        self.stream.read(&mut part).await.unwrap_or(0)
    }

    /// Whether the connection can carry another request: nothing has come unasked, the end neither.
    pub fn is_quiet(&self) -> bool {
        let mut one = [0u8; 1];
        let peeked = self.stream.get_ref().peek(&mut one);
        self.buf.is_empty() && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether anything of a next message has come already.
    pub fn has_input(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Waits until something of the next message is there. An error at the end.
    pub async fn wait_input(&mut self) -> Result<(), ReadError> {
        if self.buf.is_empty() && !matches!(self.fill().await, Ok(n) if n > 0) {
            return Err(ReadError::Ended);
        }
        Ok(())
    }

    /// Reads one line, without its end.
    pub async fn line(&mut self, most: usize) -> Result<Vec<u8>, ReadError> {
        let mut seen = 0;
        loop {
            if let Some(end) = self.buf[seen..].iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.buf.drain(..=seen + end).collect();
                line.pop();
                return Ok(line);
            }
            seen = self.buf.len();
            if seen > most {
                return Err(ReadError::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(ReadError::Ended);
            }
        }
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of a request.
    pub async fn request(&mut self) -> Result<Head, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            match request.parse(&self.buf) {
                Ok(httparse::Status::Complete(length)) => {
                    let (method, target) =
                        (request.method.unwrap_or(""), request.path.unwrap_or(""));
                    // Passed on as it is: guards against a target that a worker could not read.
                    if !target.bytes().all(|b| b.is_ascii_graphic()) {
                        return Err(ReadError::Malformed("the target is not plain ASCII"));
                    }
                    let (method, target) = (method.to_string(), target.to_string());
                    let head = Head {
                        method,
                        target,
                        ..head(request.headers, request.version)?
                    };
                    let twice = |n: &&str| {
                        head.headers
                            .iter()
                            .filter(|(h, _)| h.eq_ignore_ascii_case(n))
                            .count()
                            > 1
                    };
                    if UNIQUE_HEADERS.iter().any(twice) {
                        return Err(ReadError::Malformed("a header that must not come twice"));
                    }
                    if request.version == Some(0) && head.get("transfer-encoding").is_some() {
                        return Err(ReadError::Malformed("Transfer-Encoding in HTTP/1.0"));
                    }
                    self.buf.drain(..length);
                    return Ok(head);
                }
                Ok(httparse::Status::Partial) => self.more().await?,
                Err(_) => return Err(ReadError::Malformed("not an HTTP/1.1 request")),
            }
        }
    }

    /// Reads the head of an answer, past those that only say to go on.
    pub async fn answer(&mut self) -> Result<Head, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&self.buf) {
                Ok(httparse::Status::Complete(length)) => {
                    let status = response.code.unwrap_or(0);
                    let head = Head {
                        status,
                        ..head(response.headers, response.version)?
                    };
                    self.buf.drain(..length);
                    if status >= 200 {
                        return Ok(head);
                    }
                }
                Ok(httparse::Status::Partial) => self.more().await?,
                Err(_) => return Err(ReadError::Malformed("not an HTTP/1.1 answer")),
            }
        }
    }

    async fn more(&mut self) -> Result<(), ReadError> {
        if self.buf.len() > HEAD {
            return Err(ReadError::Malformed("the head is too long"));
        }
        match self.fill().await {
            Ok(n) if n > 0 => Ok(()),
            _ => Err(ReadError::Ended),
        }
    }

    /// Reads the body that belongs to a head.
    pub async fn body(&mut self, head: &Head) -> Result<Vec<u8>, ReadError> {
        match framing(head)? {
            Framing::Length(n) if n > MAX_BODY_BYTES => Err(ReadError::TooLarge),
            Framing::Length(n) => {
                if n > self.buf.len()
                    && head
                        .get("expect")
                        .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
                {
                    self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                while self.buf.len() < n {
                    if self.fill().await? == 0 {
                        return Err(ReadError::Ended);
                    }
                }
                Ok(self.buf.drain(..n).collect())
            }
            Framing::Chunked => {
                let mut body = Vec::new();
                while let Some(part) = self.chunk_of(MAX_BODY_BYTES - body.len()).await? {
                    body.extend_from_slice(&part);
                }
                Ok(body)
            }
            Framing::ToEnd => {
                while self.fill().await? > 0 {
                    if self.buf.len() > MAX_BODY_BYTES {
                        return Err(ReadError::TooLarge);
                    }
                }
                Ok(std::mem::take(&mut self.buf))
            }
        }
    }

    /// Reads one chunk of an answer without end; none at its end.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        self.chunk_of(CHUNK).await
    }

    /// Reads one chunk; none at the last. Guards against one that says it is huge: nothing of it is kept.
    async fn chunk_of(&mut self, most: usize) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match httparse::parse_chunk_size(&self.buf) {
                Ok(httparse::Status::Complete((start, size))) => {
                    let size = usize::try_from(size)
                        .ok()
                        .filter(|&s| s <= most)
                        .ok_or(ReadError::TooLarge)?;
                    while self.buf.len() < start + size + 2 {
                        if self.fill().await? == 0 {
                            return Err(ReadError::Ended);
                        }
                    }
                    if &self.buf[start + size..start + size + 2] != b"\r\n" {
                        return Err(ReadError::Malformed("a chunk without its end"));
                    }
                    let part = self.buf[start..start + size].to_vec();
                    self.buf.drain(..start + size + 2);
                    return Ok((size > 0).then_some(part));
                }
                Ok(httparse::Status::Partial) => self.more().await?,
                Err(_) => return Err(ReadError::Malformed("not a chunk")),
            }
        }
    }
}

fn head(headers: &[httparse::Header], version: Option<u8>) -> Result<Head, ReadError> {
    let text = |h: &httparse::Header| {
        let value = std::str::from_utf8(h.value)
            .map_err(|_| ReadError::Malformed("a header that is not text"))?;
        Ok((h.name.to_string(), value.trim().to_string()))
    };
    let headers = headers
        .iter()
        .map(text)
        .collect::<Result<Vec<_>, ReadError>>()?;
    let mut head = Head {
        headers,
        ..Head::default()
    };
    let says = |word: &str| {
        let has = |c: &str| c.split(',').any(|w| w.trim().eq_ignore_ascii_case(word));
        head.headers
            .iter()
            .any(|(n, v)| n.eq_ignore_ascii_case("connection") && has(v))
    };
    head.close = says("close") || version == Some(0) && !says("keep-alive");
    Ok(head)
}

/// How long the body of a request may be, by its head.
pub(crate) fn body_length(head: &Head) -> Result<usize, ReadError> {
    match framing(head)? {
        Framing::Length(n) if n > MAX_BODY_BYTES => Err(ReadError::TooLarge),
        Framing::Length(n) => Ok(n),
        Framing::Chunked | Framing::ToEnd => Ok(MAX_BODY_BYTES),
    }
}

fn framing(head: &Head) -> Result<Framing, ReadError> {
    let lengths = head
        .headers
        .iter()
        .filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let mut lengths = lengths.map(|(_, v)| v.as_str());
    match (head.get("transfer-encoding"), lengths.next()) {
        (Some(_), Some(_)) => Err(ReadError::Malformed(
            "both Content-Length and Transfer-Encoding",
        )),
        (Some(t), None) if t.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), None) => Err(ReadError::Malformed("an unknown Transfer-Encoding")),
        (None, Some(n)) => {
            let digits = !n.is_empty() && n.bytes().all(|b| b.is_ascii_digit());
            if !digits || lengths.any(|other| other != n) {
                return Err(ReadError::Malformed("Content-Length"));
            }
            Ok(Framing::Length(n.parse().unwrap_or(usize::MAX)))
        }
        (None, None) if head.status == 0 || head.status == 204 || head.status == 304 => {
            Ok(Framing::Length(0))
        }
        (None, None) => Ok(Framing::ToEnd),
    }
}
