//! Route steps to workers that speak DRMAA: `runJob`, then `waitTerminated`, and `terminate` as the cancel.

use super::{
    line, to_hex, Call, CallKind, Error, JobInfo, JobState, JobTemplate, SessionMessage, LINE,
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

/// How long a worker may take to accept a cancel.
const CANCEL: Duration = Duration::from_secs(2);

/// Carries route steps to workers that speak DRMAA, one job at a time on a connection.
pub(crate) struct DrmaaDriver {
    me: Weak<DrmaaDriver>,
    hub: Rc<Hub>,
    pool: Rc<Pool>,
    out: RefCell<BTreeMap<StepId, Sender<()>>>,
}

impl DrmaaDriver {
    pub(crate) fn new(hub: Rc<Hub>, pool: Rc<Pool>) -> Rc<DrmaaDriver> {
        Rc::new_cyclic(|me| DrmaaDriver {
            me: me.clone(),
            hub,
            pool,
            out: RefCell::default(),
        })
    }

    /// One job from hand-over to end. `job` is filled once the worker has named it.
    async fn run(
        &self,
        step: StepId,
        addr: SocketAddr,
        operation: &Operation,
        pooled: &mut Option<PooledConnection>,
        job: &mut Option<String>,
    ) -> StepOutcome {
        let mut taken = match self.pool.take(addr, ConnectionPurpose::Work).await {
            Ok(taken) => taken,
            Err(ending) => return ending,
        };
        // The connection may have come up late: see the platform's driver.
        let Some(deadline) = self
            .hub
            .with(|core, now| core.begin(now, step).map(|left| now + left))
        else {
            self.pool.give_back(addr, taken);
            return StepOutcome::NotSent;
        };
        let job_template =
            serde_json::to_value(template(operation, deadline as f64 / 1e6)).expect("plain data");
        let call = line(&Call {
            seq: 1,
            kind: CallKind::RunJob { job_template },
        });
        if taken.conn.write(&call).await.is_err() {
            return StepOutcome::ConnectionLostBeforeSend;
        }
        let conn = &mut pooled.insert(taken).conn;
        let mut early = None;
        loop {
            let message = match conn
                .line(LINE)
                .await
                .map(|l| serde_json::from_slice::<SessionMessage>(&l))
            {
                Ok(Ok(message)) => message,
                _ => return StepOutcome::ConnectionLostAfterSend,
            };
            match (message.seq, message.error) {
                (None, _) if message.event.as_deref() == Some("NEW_STATE") => {
                    // Guards against the last words on the job before, on a connection that is used again.
                    match message.job_state == Some(JobState::Running) {
                        true if job.is_some() && message.job_id == *job => self.started(step),
                        true if job.is_none() => early = message.job_id,
                        _ => {}
                    }
                }
                (None, _) => {}
                (Some(1), Some(error)) => return turned_down(error),
                (Some(1), None) => {
                    let Some(id) = message.job_id else {
                        return StepOutcome::WorkerFailed;
                    };
                    let wait = CallKind::WaitTerminated {
                        job_id: id.clone(),
                        timeout: -1.0,
                    };
                    if early.as_ref() == Some(&id) {
                        self.started(step);
                    }
                    *job = Some(id);
                    if conn
                        .write(&line(&Call { seq: 2, kind: wait }))
                        .await
                        .is_err()
                    {
                        return StepOutcome::ConnectionLostAfterSend;
                    }
                }
                (Some(2), None) => {
                    return message.job_info.map_or(StepOutcome::WorkerFailed, ended)
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

    /// Terminates a job on its own connection; one that the worker has not named yet is waited for.
    async fn terminate(
        &self,
        pooled: &mut PooledConnection,
        mut job: Option<String>,
    ) -> Option<()> {
        while job.is_none() {
            let message: SessionMessage =
                serde_json::from_slice(&pooled.conn.line(LINE).await.ok()?).ok()?;
            if message.seq == Some(1) {
                job = Some(message.job_id?);
            }
        }
        self.hub.with(|core, _| core.counters.cancels += 1);
        let call = Call {
            seq: 3,
            kind: CallKind::Terminate { job_id: job? },
        };
        pooled.conn.write(&line(&call)).await.ok()?;
        loop {
            let message: SessionMessage =
                serde_json::from_slice(&pooled.conn.line(LINE).await.ok()?).ok()?;
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
        given_up: Receiver<()>,
    ) {
        let (mut pooled, mut job) = (None, None);
        let run = async {
            Some(
                self.run(step, addr, &operation, &mut pooled, &mut job)
                    .await,
            )
        };
        let cancelled = async {
            let _ = given_up.recv().await;
            None
        };
        let ended = future::or(run, cancelled).await;
        self.out.borrow_mut().remove(&step);
        match (ended, pooled) {
            (Some(ending), pooled) => {
                let whole = matches!(
                    ending,
                    StepOutcome::Served(_) | StepOutcome::WorkerFailed | StepOutcome::Rejected
                );
                if let Some(pooled) = pooled.filter(|_| whole) {
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
                    Timer::after(CANCEL).await;
                };
                future::or(terminate, late).await;
            }
            (None, None) => {} // given up before the worker heard of it
        }
    }
}

/// What an error of `runJob` means: the first three come before anything has run.
fn turned_down(error: Error) -> StepOutcome {
    match error {
        Error::TryLater | Error::DeniedByDrms | Error::OutOfResource => StepOutcome::Rejected,
        _ => StepOutcome::WorkerFailed,
    }
}

/// What the end of a job means.
fn ended(info: JobInfo) -> StepOutcome {
    match (info.job_state, info.output, info.error) {
        (JobState::Done, Some(output), _) if output.len() <= MAX_BODY_BYTES => {
            StepOutcome::Served(output.into_bytes().into())
        }
        (JobState::Failed, _, Some(error)) => turned_down(error),
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
        let (give_up, given_up) = bounded::<()>(1);
        self.out.borrow_mut().insert(step, give_up);
        let me = self.me.upgrade().expect("called through an Rc");
        let (operation, addr) = (operation.clone(), worker.addr.parse::<SocketAddr>());
        self.hub.spawn(async move {
            match addr {
                Ok(addr) => me.step(step, addr, operation, given_up).await,
                Err(_) => me.hub.with(|core, _| {
                    core.step_event(step, StepEvent::Ended(StepOutcome::ConnectRefused, None))
                }),
            }
        });
    }

    fn cancel(&self, step: StepId, _operation: &Arc<Operation>, _worker: &PoolMember) {
        self.out.borrow_mut().remove(&step);
    }

    /// DRMAA knows no probe: the answer is that there is none.
    fn probe(&self, worker: WorkerId, _member: &PoolMember) {
        let hub = self.hub.clone();
        self.hub
            .spawn(async move { hub.with(|core, _| core.probe_ended(worker, false, None)) });
    }
}
