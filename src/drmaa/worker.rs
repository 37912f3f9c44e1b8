//! Runs route steps on workers that use the DRMAA protocol: `runJob`, then `waitTerminated`; `terminate`
//! cancels.

use super::{
    encode_line, to_hex, Call, CallKind, Error, JobInfo, JobState, JobTemplate, SessionMessage,
    MAX_LINE_BYTES,
};
use crate::core::{Driver, Operation, PoolMember, StepEvent, StepId, StepOutcome};
use crate::interface::{Micros, WorkerId};
use crate::net::http::MAX_BODY_BYTES;
use crate::net::pool::{ConnectionPurpose, Pool, PooledConnection};
use crate::runtime::Hub;
use async_channel::{bounded, Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

/// Maximum time for a worker to acknowledge a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs route steps on DRMAA workers, one job at a time per connection.
pub(crate) struct DrmaaDriver {
    weak_self: Weak<DrmaaDriver>,
    hub: Rc<Hub>,
    pool: Rc<Pool>,
    cancel_senders: RefCell<BTreeMap<StepId, Sender<()>>>,
}

impl DrmaaDriver {
    pub(crate) fn new(hub: Rc<Hub>, pool: Rc<Pool>) -> Rc<DrmaaDriver> {
        Rc::new_cyclic(|weak_self| DrmaaDriver {
            weak_self: weak_self.clone(),
            hub,
            pool,
            cancel_senders: RefCell::default(),
        })
    }

    /// Runs one job from submission to its end. Sets `job` once the worker has returned the job id.
    async fn run(
        &self,
        step: StepId,
        addr: SocketAddr,
        operation: &Operation,
        pooled: &mut Option<PooledConnection>,
        job: &mut Option<String>,
    ) -> StepOutcome {
        let mut connection = match self.pool.take(addr, ConnectionPurpose::Work).await {
            Ok(connection) => connection,
            Err(ending) => return ending,
        };
        // Connecting may have taken long: the remaining time is checked again before the job is sent.
        let Some(deadline) = self
            .hub
            .with(|core, now| core.begin(now, step).map(|left| now + left))
        else {
            self.pool.give_back(addr, connection);
            return StepOutcome::NotSent;
        };
        let job_template =
            serde_json::to_value(template(operation, deadline as f64 / 1e6)).expect("plain data");
        let call = encode_line(&Call {
            seq: 1,
            kind: CallKind::RunJob { job_template },
        });
        if connection.conn.write(&call).await.is_err() {
            return StepOutcome::ConnectionLostBeforeSend;
        }
        let conn = &mut pooled.insert(connection).conn;
        let mut started_job = None;
        loop {
            let message = match conn
                .line(MAX_LINE_BYTES)
                .await
                .map(|l| serde_json::from_slice::<SessionMessage>(&l))
            {
                Ok(Ok(message)) => message,
                _ => return StepOutcome::ConnectionLostAfterSend,
            };
            match (message.seq, message.error) {
                (None, _) if message.event.as_deref() == Some("NEW_STATE") => {
                    // Ignores late notifications about the previous job on a reused connection.
                    match message.job_state == Some(JobState::Running) {
                        true if job.is_some() && message.job_id == *job => self.started(step),
                        true if job.is_none() => started_job = message.job_id,
                        _ => {}
                    }
                }
                (None, _) => {}
                (Some(1), Some(error)) => return rejection_outcome(error),
                (Some(1), None) => {
                    let Some(id) = message.job_id else {
                        return StepOutcome::WorkerFailed;
                    };
                    let wait = CallKind::WaitTerminated {
                        job_id: id.clone(),
                        timeout: -1.0,
                    };
                    if started_job.as_ref() == Some(&id) {
                        self.started(step);
                    }
                    *job = Some(id);
                    if conn
                        .write(&encode_line(&Call { seq: 2, kind: wait }))
                        .await
                        .is_err()
                    {
                        return StepOutcome::ConnectionLostAfterSend;
                    }
                }
                (Some(2), None) => {
                    return message
                        .job_info
                        .map_or(StepOutcome::WorkerFailed, job_outcome)
                }
                (Some(2), Some(_)) => return StepOutcome::Lost,
                (Some(_), _) => {}
            }
        }
    }

    fn started(&self, step: StepId) {
        self.hub
            .with(|core, _| core.step_event(step, StepEvent::Started));
    }

    /// Terminates a job on its own connection. If the worker has not returned the job id yet, waits for it
    /// first.
    async fn terminate(
        &self,
        pooled: &mut PooledConnection,
        mut job: Option<String>,
    ) -> Option<()> {
        while job.is_none() {
            let message: SessionMessage =
                serde_json::from_slice(&pooled.conn.line(MAX_LINE_BYTES).await.ok()?).ok()?;
            if message.seq == Some(1) {
                job = Some(message.job_id?);
            }
        }
        self.hub.with(|core, _| core.counters.cancels += 1);
        let call = Call {
            seq: 3,
            kind: CallKind::Terminate { job_id: job? },
        };
        pooled.conn.write(&encode_line(&call)).await.ok()?;
        loop {
            let message: SessionMessage =
                serde_json::from_slice(&pooled.conn.line(MAX_LINE_BYTES).await.ok()?).ok()?;
            if message.seq == Some(3) {
                return Some(());
            }
        }
    }

    async fn step(
        &self,
        step: StepId,
        addr: SocketAddr,
        operation: Arc<Operation>,
        cancelled_rx: Receiver<()>,
    ) {
        let (mut pooled, mut job) = (None, None);
        let run = async {
            Some(
                self.run(step, addr, &operation, &mut pooled, &mut job)
                    .await,
            )
        };
        let cancelled = async {
            let _ = cancelled_rx.recv().await;
            None
        };
        let outcome = future::or(run, cancelled).await;
        self.cancel_senders.borrow_mut().remove(&step);
        match (outcome, pooled) {
            (Some(ending), pooled) => {
                let reusable = matches!(
                    ending,
                    StepOutcome::Served(_) | StepOutcome::WorkerFailed | StepOutcome::Rejected
                );
                if let Some(pooled) = pooled.filter(|_| reusable) {
                    self.pool.give_back(addr, pooled);
                }
                self.hub
                    .with(|core, _| core.step_event(step, StepEvent::Ended(ending, None)));
            }
            (None, Some(mut pooled)) => {
                let terminate = async {
                    self.terminate(&mut pooled, job).await;
                };
                let late = async {
                    Timer::after(CANCEL_TIMEOUT).await;
                };
                future::or(terminate, late).await;
            }
            (None, None) => {} // cancelled before the job was sent to the worker
        }
    }
}

/// Maps an error of `runJob` to a step outcome. `TryLater`, `DeniedByDrms` and `OutOfResource` are returned
/// before anything has run.
fn rejection_outcome(error: Error) -> StepOutcome {
    match error {
        Error::TryLater | Error::DeniedByDrms | Error::OutOfResource => StepOutcome::Rejected,
        _ => StepOutcome::WorkerFailed,
    }
}

/// Maps the information of a terminated job to a step outcome.
fn job_outcome(info: JobInfo) -> StepOutcome {
    match (info.job_state, info.output, info.error) {
        (JobState::Done, Some(output), _) if output.len() <= MAX_BODY_BYTES => {
            StepOutcome::Served(output.into_bytes().into())
        }
        (JobState::Failed, _, Some(error)) => rejection_outcome(error),
        (JobState::Failed, ..) if info.terminating_signal.is_some() => StepOutcome::Lost,
        _ => StepOutcome::WorkerFailed,
    }
}

fn template(operation: &Operation, deadline_s: f64) -> JobTemplate {
    let text = std::str::from_utf8(&operation.body).ok();
    JobTemplate {
        remote_command: operation.target.clone(),
        job_category: None,
        job_name: Some(operation.id.clone()),
        accounting_id: operation.tenant.as_deref().map(str::to_string),
        min_slots: Some(operation.slots),
        deadline_time: Some(deadline_s),
        idempotency_key: operation.idempotency_key.clone(),
        input: text.map(str::to_string),
        input_hex: text.is_none().then(|| to_hex(&operation.body)),
    }
}

impl Driver for DrmaaDriver {
    fn send(
        &self,
        step: StepId,
        operation: &Arc<Operation>,
        worker: &PoolMember,
        _left_us: Micros,
    ) {
        let (cancel_tx, cancelled_rx) = bounded::<()>(1);
        self.cancel_senders.borrow_mut().insert(step, cancel_tx);
        let this = self.weak_self.upgrade().expect("called through an Rc");
        let (operation, addr) = (operation.clone(), worker.addr.parse::<SocketAddr>());
        self.hub.spawn(async move {
            match addr {
                Ok(addr) => this.step(step, addr, operation, cancelled_rx).await,
                Err(_) => this.hub.with(|core, _| {
                    core.step_event(step, StepEvent::Ended(StepOutcome::ConnectRefused, None))
                }),
            }
        });
    }

    fn cancel(&self, step: StepId, _operation: &Arc<Operation>, _worker: &PoolMember) {
        self.cancel_senders.borrow_mut().remove(&step);
    }

    /// DRMAA has no health probe: every probe ends immediately as unanswered.
    fn probe(&self, worker: WorkerId, _member: &PoolMember) {
        let hub = self.hub.clone();
        self.hub
            .spawn(async move { hub.with(|core, _| core.probe_ended(worker, false, None)) });
    }
}
