//! DRMAA-style batch submission: a front for batch tools, and the driver of workers that speak the same.
//!
//! DRMAA v2 fixes an interface and no wire. This one is lines of JSON over TCP in its terms; `docs/drmaa.md`
//! has every call. What DRMAA leaves to the implementation is named with the prefix `streamusher_`.

pub(crate) mod front;
pub(crate) mod worker;

use crate::config::DrmaaConfig;
use crate::core::PoolMember;
use crate::net::pool::Pool;
use crate::runtime::Hub;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The longest line: a body of 64 KiB, each byte escaped, and room for the rest.
pub(crate) const LINE: usize = 7 * (64 << 10);

/// Attaches the driver and its workers, and the front if it is to listen.
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

/// The states of a job.
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

/// The errors of a call.
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

/// What is to be run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub(crate) struct JobTemplate {
    /// What the job is about, as a path; its first part is the class.
    pub(crate) remote_command: String,
    /// The class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) job_category: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) job_name: Option<String>,
    /// Whose it is.
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
    /// The input in hex digits, where it is not text.
    #[serde(
        rename = "streamusher_inputHex",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) input_hex: Option<String>,
}

/// What is known of a job.
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
    /// Unix time in seconds, as the two that follow.
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
    /// Why it failed.
    #[serde(
        default,
        rename = "streamusher_error",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) error: Option<Error>,
    /// Seconds to stay away for, where it was turned away unstarted.
    #[serde(
        default,
        rename = "streamusher_retryAfter",
        skip_serializing_if = "Option::is_none"
    )]
    pub(crate) retry_after: Option<f64>,
}

/// A call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Call {
    pub(crate) seq: u64,
    #[serde(flatten)]
    pub(crate) kind: CallKind,
}

/// What is called for. `timeout` is in seconds; below 0, without end.
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

/// An answer to a call, or, without `seq`, a notification.
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

/// A line for the wire.
pub(crate) fn line(message: &impl Serialize) -> Vec<u8> {
    let mut line = serde_json::to_vec(message).expect("plain data");
    line.push(b'\n');
    line
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
