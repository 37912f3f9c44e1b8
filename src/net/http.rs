//! HTTP/1.1 over one TCP connection, for servers and clients. Heads are parsed by httparse; bodies are framed
//! by length or chunks.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use std::net::TcpStream;

/// Maximum length of a message head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum length of a message body in bytes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 64;
/// Maximum length in bytes of one chunk of an unbounded response, such as a watch.
const MAX_CHUNK_BYTES: usize = 4 << 20;
/// Headers that may occur only once, as recipients could interpret two of them differently.
pub(crate) const UNIQUE_HEADERS: [&str; 6] = [
    "content-length",
    "transfer-encoding",
    "x-correlation-id",
    "x-time-left-ms",
    "idempotency-key",
    "x-facts",
];

/// Reason why a message could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The connection was closed or broke.
    Ended,
    /// The message violates HTTP or the rules of this server.
    Malformed(&'static str),
    /// The message exceeds a length limit.
    TooLarge,
    /// The message did not arrive completely in time.
    Late,
}

impl From<io::Error> for ReadError {
    fn from(_: io::Error) -> ReadError {
        ReadError::Ended
    }
}

/// Head of a request or a response.
#[derive(Debug, Default)]
pub struct Head {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Path and query of a request; empty for a response.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Whether the sender closes the connection after this message.
    pub close: bool,
    headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header, if there is any.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// All values of a header, in the order of the message.
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
    UntilClose,
}

/// A connection with its unprocessed input.
pub struct Conn {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
    overrun: bool,
}

impl Conn {
    /// Wraps a connected stream.
    pub fn new(stream: Async<TcpStream>) -> Conn {
        // Guards against small messages that wait for acknowledgements (Nagle's algorithm).
        let _ = stream.get_ref().set_nodelay(true);
        Conn {
            stream,
            buffer: Vec::new(),
            overrun: false,
        }
    }

    /// The underlying TCP stream.
    pub fn stream(&self) -> &Async<TcpStream> {
        &self.stream
    }

    async fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0u8; 8 << 10];
        let read = self.stream.read(&mut bytes).await?;
        self.buffer.extend_from_slice(&bytes[..read]);
        Ok(read)
    }

    /// Completes when the peer has closed the connection, and never otherwise. Input that arrives in the
    /// meantime is kept up to a limit; beyond that it is discarded, and the connection can then only be
    /// closed. Guards against a client that sends much data at once and disconnects: the end of the stream is
    /// only seen after that data.
    pub async fn closed_by_peer(&mut self) {
        loop {
            if self.buffer.len() < MAX_HEAD_BYTES {
                if !matches!(self.fill().await, Ok(n) if n > 0) {
                    return;
                }
            } else {
                self.overrun = true;
                if self.discard_input().await == 0 {
                    return;
                }
            }
            // Guards against a client that sends at full speed and would starve the other tasks.
            futures_lite::future::yield_now().await;
        }
    }

    /// Whether some input was discarded.
    pub fn is_overrun(&self) -> bool {
        self.overrun
    }

    /// Reads some input and discards it. Returns its length, or 0 at the end of the stream.
    pub async fn discard_input(&mut self) -> usize {
        let mut bytes = [0u8; 8 << 10];
        self.stream.read(&mut bytes).await.unwrap_or(0)
    }

    /// Whether the connection can carry another request: there is no unexpected input, and the peer has not
    /// closed it.
    pub fn is_reusable(&self) -> bool {
        let mut one = [0u8; 1];
        let peeked = self.stream.get_ref().peek(&mut one);
        self.buffer.is_empty() && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether input of a next message has already been read.
    pub fn has_input(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until input of the next message is available. Fails at the end of the stream.
    pub async fn wait_input(&mut self) -> Result<(), ReadError> {
        if self.buffer.is_empty() && !matches!(self.fill().await, Ok(n) if n > 0) {
            return Err(ReadError::Ended);
        }
        Ok(())
    }

    /// Reads one line and returns it without its line feed. Fails if it is longer than `max_bytes`.
    pub async fn line(&mut self, max_bytes: usize) -> Result<Vec<u8>, ReadError> {
        let mut scanned = 0;
        loop {
            if let Some(end) = self.buffer[scanned..].iter().position(|&b| b == b'\n') {
                let mut line: Vec<u8> = self.buffer.drain(..=scanned + end).collect();
                line.pop();
                return Ok(line);
            }
            scanned = self.buffer.len();
            if scanned > max_bytes {
                return Err(ReadError::TooLarge);
            }
            if self.fill().await? == 0 {
                return Err(ReadError::Ended);
            }
        }
    }

    /// Writes all bytes.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the head of a request.
    pub async fn request(&mut self) -> Result<Head, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut request = httparse::Request::new(&mut headers);
            match request.parse(&self.buffer) {
                Ok(httparse::Status::Complete(length)) => {
                    let (method, target) =
                        (request.method.unwrap_or(""), request.path.unwrap_or(""));
                    // The target is forwarded unchanged: guards against one that a worker could not parse.
                    if !target.bytes().all(|b| b.is_ascii_graphic()) {
                        return Err(ReadError::Malformed("the target is not plain ASCII"));
                    }
                    let (method, target) = (method.to_string(), target.to_string());
                    let head = Head {
                        method,
                        target,
                        ..head(request.headers, request.version)?
                    };
                    let is_repeated = |n: &&str| {
                        head.headers
                            .iter()
                            .filter(|(h, _)| h.eq_ignore_ascii_case(n))
                            .count()
                            > 1
                    };
                    if UNIQUE_HEADERS.iter().any(is_repeated) {
                        return Err(ReadError::Malformed("a header that must not come twice"));
                    }
                    if request.version == Some(0) && head.get("transfer-encoding").is_some() {
                        return Err(ReadError::Malformed("Transfer-Encoding in HTTP/1.0"));
                    }
                    self.buffer.drain(..length);
                    return Ok(head);
                }
                Ok(httparse::Status::Partial) => self.read_more_head().await?,
                Err(_) => return Err(ReadError::Malformed("not an HTTP/1.1 request")),
            }
        }
    }

    /// Reads the head of a response and skips interim (1xx) responses.
    pub async fn response(&mut self) -> Result<Head, ReadError> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut response = httparse::Response::new(&mut headers);
            match response.parse(&self.buffer) {
                Ok(httparse::Status::Complete(length)) => {
                    let status = response.code.unwrap_or(0);
                    let head = Head {
                        status,
                        ..head(response.headers, response.version)?
                    };
                    self.buffer.drain(..length);
                    if status >= 200 {
                        return Ok(head);
                    }
                }
                Ok(httparse::Status::Partial) => self.read_more_head().await?,
                Err(_) => return Err(ReadError::Malformed("not an HTTP/1.1 answer")),
            }
        }
    }

    async fn read_more_head(&mut self) -> Result<(), ReadError> {
        if self.buffer.len() > MAX_HEAD_BYTES {
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
                if n > self.buffer.len()
                    && head
                        .get("expect")
                        .is_some_and(|e| e.eq_ignore_ascii_case("100-continue"))
                {
                    self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                }
                while self.buffer.len() < n {
                    if self.fill().await? == 0 {
                        return Err(ReadError::Ended);
                    }
                }
                Ok(self.buffer.drain(..n).collect())
            }
            Framing::Chunked => {
                let mut body = Vec::new();
                while let Some(bytes) = self.chunk_up_to(MAX_BODY_BYTES - body.len()).await? {
                    body.extend_from_slice(&bytes);
                }
                Ok(body)
            }
            Framing::UntilClose => {
                while self.fill().await? > 0 {
                    if self.buffer.len() > MAX_BODY_BYTES {
                        return Err(ReadError::TooLarge);
                    }
                }
                Ok(std::mem::take(&mut self.buffer))
            }
        }
    }

    /// Reads one chunk of an unbounded response; `None` at its end.
    pub async fn chunk(&mut self) -> Result<Option<Vec<u8>>, ReadError> {
        self.chunk_up_to(MAX_CHUNK_BYTES).await
    }

    /// Reads one chunk; `None` for the last one. Guards against a chunk that announces a huge size: none of
    /// it is kept.
    async fn chunk_up_to(&mut self, max_bytes: usize) -> Result<Option<Vec<u8>>, ReadError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((start, size))) => {
                    let size = usize::try_from(size)
                        .ok()
                        .filter(|&s| s <= max_bytes)
                        .ok_or(ReadError::TooLarge)?;
                    while self.buffer.len() < start + size + 2 {
                        if self.fill().await? == 0 {
                            return Err(ReadError::Ended);
                        }
                    }
                    if &self.buffer[start + size..start + size + 2] != b"\r\n" {
                        return Err(ReadError::Malformed("a chunk without its end"));
                    }
                    let bytes = self.buffer[start..start + size].to_vec();
                    self.buffer.drain(..start + size + 2);
                    return Ok((size > 0).then_some(bytes));
                }
                Ok(httparse::Status::Partial) => self.read_more_head().await?,
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
    let has_connection_option = |word: &str| {
        let contains = |c: &str| c.split(',').any(|w| w.trim().eq_ignore_ascii_case(word));
        head.headers
            .iter()
            .any(|(n, v)| n.eq_ignore_ascii_case("connection") && contains(v))
    };
    head.close = has_connection_option("close")
        || version == Some(0) && !has_connection_option("keep-alive");
    Ok(head)
}

/// Upper bound of a request's body length, according to its head.
pub(crate) fn body_length(head: &Head) -> Result<usize, ReadError> {
    match framing(head)? {
        Framing::Length(n) if n > MAX_BODY_BYTES => Err(ReadError::TooLarge),
        Framing::Length(n) => Ok(n),
        Framing::Chunked | Framing::UntilClose => Ok(MAX_BODY_BYTES),
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
        (None, None) => Ok(Framing::UntilClose),
    }
}
