//! Parsing of and responses to the operators' management calls. No I/O: `net::mgmt` owns the sockets, and the
//! caller supplies the metrics.

use crate::counters::Responses;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum length of a call in bytes: the calls are single words.
pub const MAX_CALL_BYTES: usize = 512;

/// Metrics returned for the call `telemetry`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// Answers and attempts by class.
    pub responses: BTreeMap<String, Responses>,
    /// Attempts of all classes written completely to workers.
    pub tries: u64,
    /// Operations accepted and not yet answered.
    pub active: usize,
    /// Workers on the list, without those that have left.
    pub pool_size: usize,
    /// Workers on the list that are currently avoided.
    pub pool_ejected: usize,
    /// Configurations applied at SIGHUP.
    pub config_applied: u64,
    /// Configurations rejected at SIGHUP.
    pub config_rejected: u64,
}

/// A decoded management call.
#[derive(Debug, PartialEq, Eq)]
pub enum Call {
    /// Readiness check (`readyz`).
    Ready,
    /// Request for the metrics (`telemetry`).
    Telemetry,
    /// Request for this member's view of the fleet (`fleet`).
    Fleet,
    /// Request for this member's copy of the tenants' usage tally (`tally`).
    Tally,
    /// Unknown call or invalid UTF-8, with the reason.
    Unknown(String),
}

impl Call {
    /// Decodes one line, without its line end.
    pub fn parse(line: &[u8]) -> Call {
        match std::str::from_utf8(line).map(str::trim) {
            Ok("readyz") => Call::Ready,
            Ok("telemetry") => Call::Telemetry,
            Ok("fleet") => Call::Fleet,
            Ok("tally") => Call::Tally,
            Ok(other) if other.len() <= 40 => Call::Unknown(format!("unknown call {other:?}")),
            Ok(_) => Call::Unknown("unknown call".into()),
            Err(_) => Call::Unknown("not text".into()),
        }
    }
}

/// State of the process, as `readyz` reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Not serving yet.
    Starting,
    /// Serving.
    Serving,
    /// SIGTERM has been received.
    Stopping,
}

/// Returns the whole response to a call: for `readyz` a line that begins with YES or NO; for `telemetry` the
/// metrics as one line of JSON, then a line `END`; for `fleet` and `tally` the JSON from `fleet` in the same
/// form, or a line with NO if nothing is shared. `metrics` is called only for `telemetry`.
pub fn answer(
    call: &Call,
    ready: Readiness,
    metrics: impl FnOnce() -> Metrics,
    fleet: impl FnOnce(&Call) -> Option<String>,
) -> String {
    match (call, ready) {
        (Call::Ready, Readiness::Serving) => "YES\n".into(),
        (Call::Ready, Readiness::Starting) => "NO starting\n".into(),
        (Call::Ready, Readiness::Stopping) => "NO stopping\n".into(),
        (Call::Telemetry, _) => {
            let json = serde_json::to_string(&metrics()).unwrap_or_else(|_| "{}".into());
            format!("{json}\nEND\n")
        }
        (Call::Fleet | Call::Tally, _) => match fleet(call) {
            Some(json) => format!("{json}\nEND\n"),
            None => "NO this dispatcher shares nothing: [fleet] is off\n".into(),
        },
        (Call::Unknown(why), _) => format!("NO {why}\n"),
    }
}

/// Assembles one call from chunks of any size.
#[derive(Default)]
pub struct LineReader {
    line: Vec<u8>,
}

/// State of the reader after a chunk.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// The line is not complete yet.
    Incomplete,
    /// The complete call.
    Line(Call),
    /// More than [`MAX_CALL_BYTES`] without a line end.
    TooLong,
}

impl LineReader {
    /// Adds the next chunk; anything after the line end is ignored.
    pub fn feed(&mut self, chunk: &[u8]) -> ReadStatus {
        let end = chunk.iter().position(|&b| b == b'\n');
        let line_bytes = end.map_or(chunk.len(), |e| e);
        if self.line.len() + line_bytes > MAX_CALL_BYTES {
            return ReadStatus::TooLong;
        }
        self.line.extend_from_slice(&chunk[..line_bytes]);
        match end {
            Some(_) => ReadStatus::Line(Call::parse(&self.line)),
            None => ReadStatus::Incomplete,
        }
    }

    /// Handles the end of the peer's input: the bytes received so far count as the line, unless there are
    /// none.
    pub fn end(&self) -> Option<Call> {
        (!self.line.iter().all(u8::is_ascii_whitespace)).then(|| Call::parse(&self.line))
    }
}
