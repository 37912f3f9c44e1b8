//! DRMAA-style batch submission: a front for batch tools, and a driver for workers that use the same
//! protocol.
//!
//! DRMAA v2 defines an interface but no wire protocol. This one exchanges lines of JSON over TCP in DRMAA
//! terms; `docs/drmaa.md` describes every call. Attributes that DRMAA leaves to the implementation have the
//! prefix `streamusher_`.

pub(crate) mod front;
pub(crate) mod worker;

use crate::config::DrmaaConfig;
use crate::core::PoolMember;
use crate::net::pool::Pool;
use crate::runtime::Hub;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Maximum length of a line in bytes: a body of 64 KiB with every byte escaped, plus the other fields.
pub(crate) const MAX_LINE_BYTES: usize = 7 * (64 << 10);

/// Attaches the driver and its workers to the core, and starts the front if a listen address is configured.
pub(crate) fn attach(
    hub: &Rc<Hub>,
    drmaa: DrmaaConfig,
    pool: Rc<Pool>,
    sessions: usize,
) -> Result<Option<Rc<front::JobTable>>, String> {
    let driver =
        hub.with(|core, _| core.attach_driver(worker::DrmaaDriver::new(hub.clone(), pool)));
    let members: Vec<PoolMember> = drmaa.workers.clone();
    hub.with(|core, _| core.pool_config(driver, true, members));
    drmaa
        .listen
        .map(|addr| front::listen(hub, addr, &drmaa, sessions))
        .transpose()
}

/// DRMAA job states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum JobState {
    Undetermined,
    Queued,
    QueuedHeld,
    Running,
    Suspended,
    Requeued,
    RequeuedHeld,
    Done,
    Failed,
}

/// DRMAA error codes returned for a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(crate) enum Error {
    DeniedByDrms,
    DrmCommunication,
    TryLater,
    SessionManagement,
    Timeout,
    Internal,
    InvalidArgument,
    InvalidSession,
    InvalidState,
    OutOfResource,
    UnsupportedAttribute,
    UnsupportedOperation,
    ImplementationSpecific,
}

/// A DRMAA job template: the description of a job to run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JobTemplate {
    /// Request path of the job; its first segment is the class.
    pub(crate) remote_command: String,
    /// Class of the job; must match the first segment of `remote_command`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) job_category: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) job_name: Option<String>,
    /// Tenant that the job is accounted to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) accounting_id: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) min_slots: Option<f64>,
    /// Unix time in seconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) deadline_time: Option<f64>,
    #[serde(
        rename = "streamusher_idempotencyKey",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) idempotency_key: Option<String>,
    #[serde(rename = "streamusher_input", skip_serializing_if = "Option::is_none")]
    pub(crate) input: Option<String>,
    /// Input in hex digits, for input that is not valid UTF-8.
    #[serde(
        rename = "streamusher_inputHex",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) input_hex: Option<String>,
}

/// DRMAA job information: state, times and result of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct JobInfo {
    pub(crate) job_id: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) job_name: Option<String>,
    pub(crate) job_state: JobState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) exit_status: Option<i32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) terminating_signal: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) annotation: Option<String>,
    /// Unix time in seconds, as in `dispatch_time` and `finish_time`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) submission_time: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) dispatch_time: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) finish_time: Option<f64>,
    #[serde(
        default,
        rename = "streamusher_output",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) output: Option<String>,
    /// Error code of a failed job.
    #[serde(
        default,
        rename = "streamusher_error",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) error: Option<Error>,
    /// Seconds to wait before a retry, if the job was rejected without having been started.
    #[serde(
        default,
        rename = "streamusher_retryAfter",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) retry_after: Option<f64>,
}

/// A request from a session, identified by its sequence number.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Call {
    pub(crate) seq: u64,
    #[serde(flatten)]
    pub(crate) kind: CallKind,
}

/// Operation of a call. `timeout` is in seconds; a negative value waits indefinitely.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(
    tag = "call",
    rename_all = "camelCase",
    rename_all_fields = "camelCase"
)]
pub(crate) enum CallKind {
    RunJob { job_template: serde_json::Value },
    WaitStarted { job_id: String, timeout: f64 },
    WaitTerminated { job_id: String, timeout: f64 },
    Terminate { job_id: String },
    GetState { job_id: String },
    GetInfo { job_id: String },
    Reap { job_id: String },
    Suspend { job_id: String },
    Resume { job_id: String },
    Hold { job_id: String },
    Release { job_id: String },
}

/// Response to a call, or a notification if it has no `seq`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct SessionMessage {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) seq: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) event: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) job_id: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) job_state: Option<JobState>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) job_info: Option<JobInfo>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<Error>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) message: Option<String>,
}

/// Encodes a message as one line of JSON.
pub(crate) fn encode_line(message: &impl Serialize) -> Vec<u8> {
    let mut encoded = serde_json::to_vec(message).expect("plain data");
    encoded.push(b'\n');
    encoded
}

pub(crate) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

pub(crate) fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits = text.as_bytes();
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    (digits.len().is_multiple_of(2) && digits.iter().all(u8::is_ascii_hexdigit))
        .then(|| digits.chunks(2).map(byte).collect())?
}
