//! The DRMAA front: serves job sessions of batch tools. Jobs outlive the connection that submitted them.
//!
//! - `session`: connections of batch tools and their calls.
//! - `receipt`: tracks which replies carry a job's result, and whether one of them was written.
//! - `template`: validation of job templates.

mod receipt;
mod session;
mod template;

pub(crate) use session::listen;

use super::{from_hex, Error, JobInfo, JobState, JobTemplate, SessionMessage};
use crate::core::{Answer, Front, Operation, Receipt, SubmitError};
use crate::interface::{JobId, Micros};
use crate::net::http::MAX_BODY_BYTES;
use crate::runtime::Hub;
use async_channel::{bounded, Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use receipt::SharedReceipt;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Maximum length in bytes of a name, path or key; they are stored with each job.
const MAX_NAME_BYTES: usize = 1 << 10;
/// Maximum total size in bytes of the inputs and outputs stored for all jobs.
const MAX_STORED_BYTES: usize = 32 << 20;

struct Job {
    info: JobInfo,
    /// Id of the operation in the core; none until the core has accepted it.
    operation: Option<JobId>,
    /// Replaced at each change of state; dropping the previous channel wakes all tasks that wait on it.
    changed: (Sender<()>, Receiver<()>),
    /// Session that submitted the job, which receives its notifications.
    session: Sender<Outgoing>,
    bytes: usize,
    receipt: SharedReceipt,
}

/// A message to a session.
struct Outgoing {
    message: SessionMessage,
    /// Receipt to confirm once the message is written, if the message reports how the job ended.
    receipt: Option<SharedReceipt>,
}

impl From<SessionMessage> for Outgoing {
    fn from(message: SessionMessage) -> Outgoing {
        Outgoing {
            message,
            receipt: None,
        }
    }
}

impl Job {
    fn has_ended(&self) -> bool {
        matches!(self.info.job_state, JobState::Done | JobState::Failed)
    }

    fn set_state(&mut self, state: JobState) {
        self.info.job_state = state;
        self.changed = bounded(1);
        let message = SessionMessage {
            event: Some("NEW_STATE".into()),
            job_id: Some(self.info.job_id.clone()),
            job_state: Some(state),
            ..SessionMessage::default()
        };
        let _ = self.session.try_send(message.into()); // dropped if the session's queue is full
    }

    /// Job information as a reply.
    fn info_reply(&self) -> Outgoing {
        Outgoing {
            message: SessionMessage {
                job_info: Some(self.info.clone()),
                ..SessionMessage::default()
            },
            receipt: self.has_ended().then(|| self.receipt.clone()),
        }
    }
}

/// All jobs of this front.
pub(crate) struct JobTable {
    weak_self: Weak<JobTable>,
    hub: Rc<Hub>,
    jobs: RefCell<BTreeMap<u64, Job>>,
    next: Cell<u64>,
    /// Number of `waitStarted` and `waitTerminated` calls not yet answered.
    waits: Cell<usize>,
    sessions: Cell<usize>,
    max_jobs: usize,
    retention_us: Micros,
}

impl Front for JobTable {
    fn answer(&self, ticket: u64, answer: &Answer, receipt: Receipt) {
        let now = self.now_s();
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&ticket).filter(|j| !j.has_ended()) else {
            return;
        };
        job.receipt = SharedReceipt::new(receipt);
        job.info.finish_time = Some(now);
        let state = match answer {
            Answer::Served(result) => {
                job.info.exit_status = Some(0);
                job.info.output = Some(String::from_utf8_lossy(result).into_owned());
                job.bytes += result.len();
                JobState::Done
            }
            Answer::Busy { retry_after_us } => {
                job.info.error = Some(Error::TryLater);
                job.info.retry_after =
                    (*retry_after_us > 0).then_some(*retry_after_us as f64 / 1e6);
                job.info.annotation = Some("turned away; trying again is harmless".into());
                JobState::Failed
            }
            Answer::Failed { late } => {
                job.info.error = Some(if *late {
                    Error::Timeout
                } else {
                    Error::Internal
                });
                JobState::Failed
            }
            Answer::Withheld => {
                job.info.error = Some(Error::Internal);
                job.info.annotation =
                    Some("it has run, but its use could not be booked in time; not billed".into());
                JobState::Failed
            }
        };
        job.set_state(state);
    }

    fn started(&self, ticket: u64) {
        let now = self.now_s();
        let mut jobs = self.jobs.borrow_mut();
        if let Some(job) = jobs
            .get_mut(&ticket)
            .filter(|j| j.info.job_state == JobState::Queued)
        {
            job.info.dispatch_time = Some(now);
            job.set_state(JobState::Running);
        }
    }
}

type Reply = Result<Outgoing, (Error, String)>;

fn reject<T>(error: Error, why: impl Into<String>) -> Result<T, (Error, String)> {
    Err((error, why.into()))
}

impl JobTable {
    /// Returns whether wait calls are still unanswered.
    pub(crate) fn has_pending_waits(&self) -> bool {
        self.waits.get() > 0
    }

    fn now_s(&self) -> f64 {
        self.hub.now() as f64 / 1e6
    }

    /// Evicts ended jobs until another job fits: first those past the retention period, then the one that
    /// ended earliest. Returns whether the job fits.
    fn evict_for(&self, bytes: usize) -> bool {
        let mut jobs = self.jobs.borrow_mut();
        let expired_before = (self.hub.now().saturating_sub(self.retention_us)) as f64 / 1e6;
        let ended_at = |j: &Job| j.has_ended().then_some(j.info.finish_time.unwrap_or(0.0));
        jobs.retain(|_, j| ended_at(j).is_none_or(|at| at > expired_before));
        loop {
            let stored_bytes: usize = jobs.values().map(|j| j.bytes).sum();
            if jobs.len() < self.max_jobs && stored_bytes + bytes <= MAX_STORED_BYTES {
                return true;
            }
            let oldest = jobs
                .iter()
                .filter_map(|(n, j)| Some((ended_at(j)?, *n)))
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let Some((_, number)) = oldest else {
                return false;
            };
            jobs.remove(&number);
        }
    }

    fn run_job(&self, template: serde_json::Value, session: &Sender<Outgoing>) -> Reply {
        let template = template::read_template(template)?;
        let name = template.job_name.clone();
        let number = self.next.get();
        let operation = self.operation(template, number)?;
        if !self.evict_for(MAX_BODY_BYTES) {
            return reject(Error::TryLater, "too many jobs");
        }
        self.next.set(number + 1);
        let job_id = number.to_string();
        let info = JobInfo {
            job_id: job_id.clone(),
            job_name: name,
            job_state: JobState::Queued,
            exit_status: None,
            terminating_signal: None,
            annotation: None,
            submission_time: Some(self.now_s()),
            dispatch_time: None,
            finish_time: None,
            output: None,
            error: None,
            retry_after: None,
        };
        let bytes = operation.body.len();
        let job = Job {
            info,
            operation: None,
            changed: bounded(1),
            session: session.clone(),
            bytes,
            receipt: SharedReceipt::default(),
        };
        self.jobs.borrow_mut().insert(number, job);
        let front = self.front();
        match self
            .hub
            .with(|core, now| core.submit(now, operation, front, number))
        {
            Ok(job) => {
                let mut jobs = self.jobs.borrow_mut();
                if let Some(entry) = jobs.get_mut(&number) {
                    entry.operation = Some(job);
                }
                let message = SessionMessage {
                    job_id: Some(job_id),
                    ..SessionMessage::default()
                };
                Ok(message.into())
            }
            Err(why) => {
                self.jobs.borrow_mut().remove(&number);
                match why {
                    SubmitError::DuplicateId | SubmitError::AtCapacity => {
                        reject(Error::TryLater, "too many operations")
                    }
                    SubmitError::BillingUnavailable => {
                        reject(Error::TryLater, "use cannot be booked now")
                    }
                    SubmitError::Stopping => reject(Error::TryLater, "this dispatcher ends"),
                    SubmitError::InvalidTenant => {
                        reject(Error::InvalidArgument, "accountingId: no name")
                    }
                    SubmitError::Unlisted => {
                        reject(Error::DeniedByDrms, "accountingId: no such tenant")
                    }
                }
            }
        }
    }

    fn front(&self) -> Rc<dyn Front> {
        self.weak_self.upgrade().expect("called through an Rc")
    }

    fn operation(&self, template: JobTemplate, number: u64) -> Result<Operation, (Error, String)> {
        if template
            .job_name
            .as_ref()
            .is_some_and(|n| n.len() > MAX_NAME_BYTES)
        {
            return reject(Error::InvalidArgument, "jobName: too long");
        }
        let visible =
            |s: &str| s.len() <= MAX_NAME_BYTES && s.bytes().all(|b| b.is_ascii_graphic());
        if !template.remote_command.starts_with('/') || !visible(&template.remote_command) {
            return reject(Error::InvalidArgument, "remoteCommand: not a path");
        }
        let path = template.remote_command.split('?').next().unwrap_or("");
        let mut parts = path.split('/').skip(1);
        let path_class = parts.next().unwrap_or("");
        let category = template.job_category.as_deref().unwrap_or(path_class);
        let class = self
            .hub
            .with(|core, _| core.class(category))
            .filter(|_| category == path_class);
        let Some(class) = class else {
            return reject(
                Error::InvalidArgument,
                "jobCategory: no such class, or not that of remoteCommand",
            );
        };
        let (keyed, deadline_us) = self
            .hub
            .with(|core, _| (core.is_keyed(class), core.class_settings(class).deadline_us));
        let key = template.idempotency_key.filter(|k| !k.is_empty());
        if key.as_deref().map_or(keyed, |k| !visible(k)) {
            return reject(
                Error::InvalidArgument,
                "streamusher_idempotencyKey: missing, or not visible text",
            );
        }
        let slots = template.min_slots.unwrap_or(1.0);
        if !(slots.is_finite() && slots > 0.0) {
            return reject(Error::InvalidArgument, "minSlots: must be above 0");
        }
        let remaining_us = match template.deadline_time {
            Some(deadline) if !deadline.is_finite() => {
                return reject(Error::InvalidArgument, "deadlineTime: not a time")
            }
            Some(deadline) => ((deadline - self.now_s()).clamp(0.0, 86_400.0) * 1e6) as Micros,
            None => deadline_us,
        };
        if remaining_us == 0 {
            return reject(Error::InvalidArgument, "deadlineTime: is over");
        }
        let body = match (template.input, template.input_hex) {
            (Some(_), Some(_)) => return reject(Error::InvalidArgument, "two inputs"),
            (Some(text), None) => text.into_bytes(),
            (None, Some(hex)) => match from_hex(&hex) {
                Some(bytes) => bytes,
                None => {
                    return reject(
                        Error::InvalidArgument,
                        "streamusher_inputHex: not hex digits",
                    )
                }
            },
            (None, None) => Vec::new(),
        };
        if body.len() > MAX_BODY_BYTES {
            return reject(Error::OutOfResource, "the input is over 64 KiB");
        }
        Ok(Operation {
            // The prefix keeps these ids apart from those that clients of the HTTP front choose.
            id: format!("drmaa-{:x}-{number}", self.hub.start()),
            class,
            tenant: template.accounting_id.map(Into::into),
            subject: parts.filter(|p| !p.is_empty()).last().map(str::to_string),
            target: template.remote_command,
            idempotency_key: key,
            slots,
            remaining_us,
            body,
        })
    }

    fn with_job<T>(
        &self,
        id: &str,
        action: impl FnOnce(&mut Job) -> T,
    ) -> Result<T, (Error, String)> {
        let mut jobs = self.jobs.borrow_mut();
        let job = id
            .parse()
            .ok()
            .and_then(|number: u64| jobs.get_mut(&number));
        job.map(action)
            .ok_or((Error::InvalidArgument, "jobId: no such job".to_string()))
    }

    /// Terminates a job and sets its final state. Fails with `InvalidState` for a job that has already ended.
    fn terminate(&self, id: &str) -> Reply {
        let now = self.now_s();
        let operation = self.with_job(id, |job| {
            if job.has_ended() {
                return None;
            }
            job.info.finish_time = Some(now);
            job.info.terminating_signal = Some("SIGTERM".into());
            job.info.annotation = Some("terminated".into());
            job.set_state(JobState::Failed);
            job.operation
        })?;
        let (Some(operation), Ok(number)) = (operation, id.parse()) else {
            return reject(Error::InvalidState, "the job is over");
        };
        let front = self.front();
        self.hub
            .with(|core, now| core.client_disconnected(now, operation, &front, number));
        Ok(SessionMessage::default().into())
    }

    /// Waits until a job has ended or, with `until_started`, is running.
    async fn wait(&self, id: &str, timeout: f64, until_started: bool) -> Reply {
        let reached = async {
            loop {
                let outcome = self.with_job(id, |job| {
                    let started = until_started && job.info.job_state == JobState::Running;
                    if job.has_ended() || started {
                        Ok(job.info_reply())
                    } else {
                        Err(job.changed.1.clone())
                    }
                })?;
                match outcome {
                    Ok(description) => return Ok(description),
                    Err(changed) => drop(changed.recv().await),
                }
            }
        };
        let timed_out = async {
            match Duration::try_from_secs_f64(timeout) {
                Ok(limit) => Timer::after(limit.min(Duration::from_secs(86_400))).await,
                Err(_) => future::pending().await,
            };
            reject(Error::Timeout, "not yet")
        };
        future::or(reached, timed_out).await
    }
}
