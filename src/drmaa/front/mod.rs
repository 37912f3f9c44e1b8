//! The DRMAA front: job sessions of batch tools. Jobs outlive the connection that ran them.
//!
//! - `session`: connections and their calls.
//! - `receipt`: which replies carry a job's result, and when one of them is written.
//! - `template`: what a job is asked for with.

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

/// The longest name, path or key: they are kept with each job.
const NAME: usize = 1 << 10;
/// Most bytes kept of inputs and outputs of all jobs.
const KEPT_BYTES: usize = 32 << 20;

struct Job {
    info: JobInfo,
    /// The core's number; none before it is taken.
    operation: Option<JobId>,
    /// Dropped and made anew at each change of state, which wakes all who wait.
    changed: (Sender<()>, Receiver<()>),
    /// The session that ran it, for notifications.
    session: Sender<Outgoing>,
    bytes: usize,
    receipt: SharedReceipt,
}

/// A message to a session.
struct Outgoing {
    message: SessionMessage,
    /// To be told once the message is written, where it says how a job ended.
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
    fn is_over(&self) -> bool {
        matches!(self.info.job_state, JobState::Done | JobState::Failed)
    }

    fn enter(&mut self, state: JobState) {
        self.info.job_state = state;
        self.changed = bounded(1);
        let message = SessionMessage {
            event: Some("NEW_STATE".into()),
            job_id: Some(self.info.job_id.clone()),
            job_state: Some(state),
            ..SessionMessage::default()
        };
        let _ = self.session.try_send(message.into()); // a session that does not read misses it
    }

    /// What is known of it, for a reply.
    fn describe(&self) -> Outgoing {
        Outgoing {
            message: SessionMessage {
                job_info: Some(self.info.clone()),
                ..SessionMessage::default()
            },
            receipt: self.is_over().then(|| self.receipt.clone()),
        }
    }
}

/// All jobs of this front.
pub(crate) struct JobTable {
    me: Weak<JobTable>,
    hub: Rc<Hub>,
    jobs: RefCell<BTreeMap<u64, Job>>,
    next: Cell<u64>,
    /// Answers that sessions still wait for.
    waits: Cell<usize>,
    sessions: Cell<usize>,
    max_jobs: usize,
    keep_us: Micros,
}

impl Front for JobTable {
    fn answer(&self, ticket: u64, answer: &Answer, receipt: Receipt) {
        let now = self.seconds();
        let mut jobs = self.jobs.borrow_mut();
        let Some(job) = jobs.get_mut(&ticket).filter(|j| !j.is_over()) else {
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
        job.enter(state);
    }

    fn started(&self, ticket: u64) {
        let now = self.seconds();
        let mut jobs = self.jobs.borrow_mut();
        if let Some(job) = jobs
            .get_mut(&ticket)
            .filter(|j| j.info.job_state == JobState::Queued)
        {
            job.info.dispatch_time = Some(now);
            job.enter(JobState::Running);
        }
    }
}

type Reply = Result<Outgoing, (Error, String)>;

fn refuse<T>(error: Error, why: impl Into<String>) -> Result<T, (Error, String)> {
    Err((error, why.into()))
}

impl JobTable {
    /// Whether answers are still on their way to sessions.
    pub(crate) fn busy(&self) -> bool {
        self.waits.get() > 0
    }

    fn seconds(&self) -> f64 {
        self.hub.now() as f64 / 1e6
    }

    /// Makes room for another job: what is over for long goes first, then what is over the longest.
    fn make_room(&self, bytes: usize) -> bool {
        let mut jobs = self.jobs.borrow_mut();
        let long_ago = (self.hub.now().saturating_sub(self.keep_us)) as f64 / 1e6;
        let over = |j: &Job| j.is_over().then_some(j.info.finish_time.unwrap_or(0.0));
        jobs.retain(|_, j| over(j).is_none_or(|at| at > long_ago));
        loop {
            let held: usize = jobs.values().map(|j| j.bytes).sum();
            if jobs.len() < self.max_jobs && held + bytes <= KEPT_BYTES {
                return true;
            }
            let oldest = jobs
                .iter()
                .filter_map(|(n, j)| Some((over(j)?, *n)))
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
        if !self.make_room(MAX_BODY_BYTES) {
            return refuse(Error::TryLater, "too many jobs");
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
            submission_time: Some(self.seconds()),
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
                        refuse(Error::TryLater, "too many operations")
                    }
                    SubmitError::BillingUnavailable => {
                        refuse(Error::TryLater, "use cannot be booked now")
                    }
                    SubmitError::Stopping => refuse(Error::TryLater, "this dispatcher ends"),
                    SubmitError::InvalidTenant => {
                        refuse(Error::InvalidArgument, "accountingId: no name")
                    }
                    SubmitError::Unlisted => {
                        refuse(Error::DeniedByDrms, "accountingId: no such tenant")
                    }
                }
            }
        }
    }

    fn front(&self) -> Rc<dyn Front> {
        self.me.upgrade().expect("called through an Rc")
    }

    fn operation(&self, t: JobTemplate, number: u64) -> Result<Operation, (Error, String)> {
        if t.job_name.as_ref().is_some_and(|n| n.len() > NAME) {
            return refuse(Error::InvalidArgument, "jobName: too long");
        }
        let visible = |s: &str| s.len() <= NAME && s.bytes().all(|b| b.is_ascii_graphic());
        if !t.remote_command.starts_with('/') || !visible(&t.remote_command) {
            return refuse(Error::InvalidArgument, "remoteCommand: not a path");
        }
        let path = t.remote_command.split('?').next().unwrap_or("");
        let mut parts = path.split('/').skip(1);
        let named = parts.next().unwrap_or("");
        let category = t.job_category.as_deref().unwrap_or(named);
        let class = self
            .hub
            .with(|core, _| core.class(category))
            .filter(|_| category == named);
        let Some(class) = class else {
            return refuse(
                Error::InvalidArgument,
                "jobCategory: no such class, or not that of remoteCommand",
            );
        };
        let (keyed, deadline_us) = self
            .hub
            .with(|core, _| (core.is_keyed(class), core.class_settings(class).deadline_us));
        let key = t.idempotency_key.filter(|k| !k.is_empty());
        if key.as_deref().map_or(keyed, |k| !visible(k)) {
            return refuse(
                Error::InvalidArgument,
                "streamusher_idempotencyKey: missing, or not visible text",
            );
        }
        let slots = t.min_slots.unwrap_or(1.0);
        if !(slots.is_finite() && slots > 0.0) {
            return refuse(Error::InvalidArgument, "minSlots: must be above 0");
        }
        let remaining_us = match t.deadline_time {
            Some(at) if !at.is_finite() => {
                return refuse(Error::InvalidArgument, "deadlineTime: not a time")
            }
            Some(at) => ((at - self.seconds()).clamp(0.0, 86_400.0) * 1e6) as Micros,
            None => deadline_us,
        };
        if remaining_us == 0 {
            return refuse(Error::InvalidArgument, "deadlineTime: is over");
        }
        let body = match (t.input, t.input_hex) {
            (Some(_), Some(_)) => return refuse(Error::InvalidArgument, "two inputs"),
            (Some(text), None) => text.into_bytes(),
            (None, Some(hex)) => match from_hex(&hex) {
                Some(bytes) => bytes,
                None => {
                    return refuse(
                        Error::InvalidArgument,
                        "streamusher_inputHex: not hex digits",
                    )
                }
            },
            (None, None) => Vec::new(),
        };
        if body.len() > MAX_BODY_BYTES {
            return refuse(Error::OutOfResource, "the input is over 64 KiB");
        }
        Ok(Operation {
            // Apart from what clients of the other front choose.
            id: format!("drmaa-{:x}-{number}", self.hub.start()),
            class,
            tenant: t.accounting_id.map(Into::into),
            subject: parts.filter(|p| !p.is_empty()).last().map(str::to_string),
            target: t.remote_command,
            idempotency_key: key,
            slots,
            remaining_us,
            body,
        })
    }

    fn look<T>(&self, id: &str, at: impl FnOnce(&mut Job) -> T) -> Result<T, (Error, String)> {
        let mut jobs = self.jobs.borrow_mut();
        let job = id
            .parse()
            .ok()
            .and_then(|number: u64| jobs.get_mut(&number));
        job.map(at)
            .ok_or((Error::InvalidArgument, "jobId: no such job".to_string()))
    }

    /// A job that is over cannot be terminated; one that is not gets its one end here.
    fn terminate(&self, id: &str) -> Reply {
        let now = self.seconds();
        let operation = self.look(id, |job| {
            if job.is_over() {
                return None;
            }
            job.info.finish_time = Some(now);
            job.info.terminating_signal = Some("SIGTERM".into());
            job.info.annotation = Some("terminated".into());
            job.enter(JobState::Failed);
            job.operation
        })?;
        let (Some(operation), Ok(number)) = (operation, id.parse()) else {
            return refuse(Error::InvalidState, "the job is over");
        };
        let front = self.front();
        self.hub
            .with(|core, now| core.client_disconnected(now, operation, &front, number));
        Ok(SessionMessage::default().into())
    }

    /// Waits until a job is over, or has started.
    async fn wait(&self, id: &str, timeout: f64, until_started: bool) -> Reply {
        let reached = async {
            loop {
                let there = self.look(id, |job| {
                    let started = until_started && job.info.job_state == JobState::Running;
                    if job.is_over() || started {
                        Ok(job.describe())
                    } else {
                        Err(job.changed.1.clone())
                    }
                })?;
                match there {
                    Ok(description) => return Ok(description),
                    Err(changed) => drop(changed.recv().await),
                }
            }
        };
        let late = async {
            match Duration::try_from_secs_f64(timeout) {
                Ok(limit) => Timer::after(limit.min(Duration::from_secs(86_400))).await,
                Err(_) => future::pending().await,
            };
            refuse(Error::Timeout, "not yet")
        };
        future::or(reached, late).await
    }
}
