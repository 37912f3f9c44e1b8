//! Operators' calls: a line in, an answer out. Pure: the socket side is `net::mgmt`, the figures are told.

use crate::counters::Responses;
use serde::Serialize;
use std::collections::BTreeMap;

/// The longest call that is read: the calls are single words.
pub const MAX_CALL_BYTES: usize = 512;

/// What operators are told by `telemetry`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Metrics {
    /// Answers and attempts by class.
    pub responses: BTreeMap<String, Responses>,
    /// Attempts written whole to workers, of all classes.
    pub tries: u64,
    /// Operations taken and not yet answered.
    pub active: usize,
    /// Workers on the list that are not gone.
    pub pool_size: usize,
    /// Workers on the list that are avoided.
    pub pool_ejected: usize,
    /// Configurations taken at SIGHUP.
    pub config_applied: u64,
    /// Configurations refused at SIGHUP.
    pub config_rejected: u64,
}

/// A call as it was read.
#[derive(Debug, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Ready,
    /// The figures.
    Telemetry,
    /// The fleet as this member sees it.
    Fleet,
    /// The tenants' tally as this member has it.
    Tally,
    /// Not a call that is known, or not text; the reason.
    Unknown(String),
}

impl Call {
    /// One line without its end.
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

/// Where this process stands, for `readyz`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// Not serving yet.
    Starting,
    /// Serving.
    Serving,
    /// SIGTERM has come.
    Stopping,
}

/// The whole answer to a call: a line that begins with YES or NO; for `telemetry` the figures as one line of JSON,
/// then a line `END`; for `fleet` and `tally` the same with what `fleet` says, or NO where nothing is shared. `figures`
/// is asked only for `telemetry`.
pub fn answer(
    call: &Call,
    ready: Readiness,
    figures: impl FnOnce() -> Metrics,
    fleet: impl FnOnce(&Call) -> Option<String>,
) -> String {
    match (call, ready) {
        (Call::Ready, Readiness::Serving) => "YES\n".into(),
        (Call::Ready, Readiness::Starting) => "NO starting\n".into(),
        (Call::Ready, Readiness::Stopping) => "NO stopping\n".into(),
        (Call::Telemetry, _) => {
            let json = serde_json::to_string(&figures()).unwrap_or_else(|_| "{}".into());
            format!("{json}\nEND\n")
        }
        (Call::Fleet | Call::Tally, _) => match fleet(call) {
            Some(json) => format!("{json}\nEND\n"),
            None => "NO this dispatcher shares nothing: [fleet] is off\n".into(),
        },
        (Call::Unknown(why), _) => format!("NO {why}\n"),
    }
}

/// Gathers one call from pieces of any size.
#[derive(Default)]
pub struct LineReader {
    line: Vec<u8>,
}

/// What is known after a piece.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadStatus {
    /// More is needed.
    Incomplete,
    /// The call, whole.
    Line(Call),
    /// Over [`MAX_CALL_BYTES`] without an end.
    TooLong,
}

impl LineReader {
    /// Takes the next piece; anything after the end of the line is not looked at.
    pub fn feed(&mut self, piece: &[u8]) -> ReadStatus {
        let end = piece.iter().position(|&b| b == b'\n');
        let take = end.map_or(piece.len(), |e| e);
        if self.line.len() + take > MAX_CALL_BYTES {
            return ReadStatus::TooLong;
        }
        self.line.extend_from_slice(&piece[..take]);
        match end {
            Some(_) => ReadStatus::Line(Call::parse(&self.line)),
            None => ReadStatus::Incomplete,
        }
    }

    /// The peer ended its side: what came counts as the line, if anything came.
    pub fn end(&self) -> Option<Call> {
        (!self.line.iter().all(u8::is_ascii_whitespace)).then(|| Call::parse(&self.line))
    }
}
