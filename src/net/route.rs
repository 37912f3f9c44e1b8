//! Route steps over HTTP: one exchange that hands a job to a worker, and the cancel.

use super::http::{Bad, Head};
use super::pool::{Pool, PooledConnection, Use};
use super::{load_from_header, load_from_json};
use crate::core::{Driver, Operation, PoolMember, StepEvent, StepId, StepOutcome};
use crate::interface::{LoadReport, Micros, WorkerId};
use crate::runtime::Hub;
use async_channel::{bounded, Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use std::cell::RefCell;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

/// How long a cancel or a probe may take: long enough for a worker that stands still for a moment.
const SHORT: Duration = Duration::from_secs(2);

/// How soon a cancel that found no descriptor asks for one again.
const AGAIN: Duration = Duration::from_millis(20);

/// How long a 202 is waited for that may be on its way: a few times the way between buildings.
const ON_ITS_WAY: Duration = Duration::from_millis(30);

/// Carries route steps to workers that speak the platform's protocol.
pub(crate) struct HttpDriver {
    me: Weak<HttpDriver>,
    hub: Rc<Hub>,
    pool: Rc<Pool>,
    /// Steps not taken by their worker yet; handing one its cancel ends its exchange and closes the connection.
    handing: RefCell<BTreeMap<StepId, Sender<PendingCancel>>>,
    /// Cancels that are on their way. A worker gets one attempt of an operation at a time, and a cancel names the operation
    /// alone: a later attempt at the same worker waits until the cancel of the earlier one is over.
    cancels: RefCell<HashMap<CancelKey, Receiver<()>>>,
}

/// The address of a worker and the id of an operation.
type CancelKey = (SocketAddr, String);

/// Lasts as long as a cancel is on its way.
struct PendingCancel {
    driver: Rc<HttpDriver>,
    key: CancelKey,
    /// Dropping it wakes those that wait for the end of the cancel.
    _over: Sender<()>,
}

impl Drop for PendingCancel {
    fn drop(&mut self) {
        self.driver.cancels.borrow_mut().remove(&self.key);
    }
}

impl HttpDriver {
    pub(crate) fn new(hub: Rc<Hub>, pool: Rc<Pool>) -> Rc<HttpDriver> {
        Rc::new_cyclic(|me| HttpDriver {
            me: me.clone(),
            hub,
            pool,
            handing: RefCell::default(),
            cancels: RefCell::default(),
        })
    }

    /// A cancel begins, which is over when what is returned is dropped. None where the address is none, or where an earlier
    /// cancel is on its way: the attempt waits behind that one, and the worker has not heard of it.
    fn begin_cancel(&self, operation: &Operation, worker: &PoolMember) -> Option<PendingCancel> {
        let key = (worker.addr.parse().ok()?, operation.id.clone());
        let (over, is_over) = bounded(1);
        match self.cancels.borrow_mut().entry(key.clone()) {
            Entry::Occupied(_) => return None,
            Entry::Vacant(vacant) => vacant.insert(is_over),
        };
        Some(PendingCancel {
            driver: self.me(),
            key,
            _over: over,
        })
    }

    /// Waits until no cancel of the operation is on its way to this worker.
    async fn cancel_over(&self, addr: SocketAddr, operation: &Operation) {
        let pending = self
            .cancels
            .borrow()
            .get(&(addr, operation.id.clone()))
            .cloned();
        if let Some(is_over) = pending {
            let _ = is_over.recv().await; // nothing is sent on it: it ends with the cancel
        }
    }

    fn me(&self) -> Rc<HttpDriver> {
        self.me.upgrade().expect("called through an Rc")
    }

    /// Hands the job over. `Ok` when the worker has taken it. `pooled` holds the connection once all is written.
    async fn hand_over(
        &self,
        step: StepId,
        addr: SocketAddr,
        operation: &Operation,
        pooled: &mut Option<PooledConnection>,
    ) -> Result<(), (StepOutcome, Option<LoadReport>)> {
        self.cancel_over(addr, operation).await;
        let mut taken = self
            .pool
            .take(addr, Use::Work)
            .await
            .map_err(|e| (e, None))?;
        // The connection may have come up late: guards against an attempt for a client that has gone, at a worker
        // that leaves, or past a key's window.
        let Some(remaining_us) = self.hub.with(|core, now| core.begin(now, step)) else {
            self.pool.give_back(addr, taken);
            return Err((StepOutcome::NotSent, None));
        };
        let request = request(operation, addr, remaining_us);
        let class = self.hub.classes.borrow()[operation.class.0 as usize]
            .name
            .clone();
        // Nothing is sent again from here: whether there is another attempt is not decided here.
        taken
            .conn
            .write(&request)
            .await
            .map_err(|_| (StepOutcome::ConnectionLostBeforeSend, None))?;
        self.hub
            .with(|core, _| core.counters.record_attempt(&class));
        drop(request); // the wait may be long
        let (head, _) = self
            .exchange(pooled.insert(taken))
            .await
            .map_err(|_| (StepOutcome::ConnectionLostAfterSend, None))?;
        let report = head
            .get("x-backend-load")
            .map(|l| self.report(load_from_header(l)));
        let taken = match head.status {
            202 => Ok(()),
            503 | 504 if head.get("x-unprocessed") == Some("1") => {
                Err((StepOutcome::Rejected, report))
            }
            _ => Err((StepOutcome::WorkerFailed, report)),
        };
        self.keep(addr, pooled, &head);
        taken
    }

    /// Gives up a job that is handed over and whose 202 has not come. Closing the connection is a cancel only
    /// as long as the worker has not answered: guards against closing while the 202 is on its way, which would
    /// leave the job to run for nothing.
    async fn take_back(
        &self,
        addr: SocketAddr,
        id: &str,
        mut pooled: PooledConnection,
    ) -> Option<()> {
        let taken = async { self.exchange(&mut pooled).await.ok() };
        let head = future::or(taken, async {
            Timer::after(ON_ITS_WAY).await;
            None
        });
        let Some((head, _)) = head.await else {
            // The 202 may have been on its way for longer: the closing alone would leave the job to run.
            self.pool.end(pooled);
            self.cancel_taken(addr, id).await;
            return None;
        };
        // Any whole answer leaves the connection fit for use: guards against a new one for each job that a
        // crowded worker turns away just after its cancel.
        self.keep(addr, &mut Some(pooled), &head);
        if head.status == 202 {
            self.cancel_taken(addr, id).await;
        }
        Some(())
    }

    async fn cancel_taken(&self, addr: SocketAddr, id: &str) {
        self.hub.with(|core, _| core.counters.cancels += 1);
        self.ask(
            addr,
            format!("DELETE /jobs/{id} HTTP/1.1\r\nHost: {addr}\r\n\r\n"),
            Use::Cancel,
        )
        .await;
    }

    /// Reads one answer whole.
    async fn exchange(&self, pooled: &mut PooledConnection) -> Result<(Head, Vec<u8>), Bad> {
        let head = pooled.conn.answer().await?;
        let body = pooled.conn.body(&head).await?;
        Ok((head, body))
    }

    /// Gives a connection back if it can carry another request after this answer.
    fn keep(&self, addr: SocketAddr, pooled: &mut Option<PooledConnection>, head: &Head) {
        let framed = head.status == 204
            || head
                .get("content-length")
                .or(head.get("transfer-encoding"))
                .is_some();
        if let Some(pooled) = pooled.take().filter(|_| framed && !head.close) {
            self.pool.give_back(addr, pooled);
        }
    }

    fn report(&self, load: HashMap<String, f64>) -> LoadReport {
        self.hub.with(|core, _| core.report(&load))
    }

    /// A small request of our own: a cancel or a probe.
    async fn ask(&self, addr: SocketAddr, request: String, what: Use) -> Option<(Head, Vec<u8>)> {
        let asked = async {
            let mut pooled = loop {
                match self.pool.take(addr, what).await {
                    Ok(pooled) => break pooled,
                    // A cancel is owed: it waits for a descriptor. A probe is not.
                    Err(StepOutcome::NotSent) if what == Use::Cancel => {
                        Timer::after(AGAIN).await;
                    }
                    Err(_) => return None,
                }
            };
            pooled.conn.write(request.as_bytes()).await.ok()?;
            let said = self.exchange(&mut pooled).await.ok()?;
            self.keep(addr, &mut Some(pooled), &said.0);
            Some(said)
        };
        future::or(asked, async {
            Timer::after(SHORT).await;
            None
        })
        .await
    }
}

fn request(operation: &Operation, addr: SocketAddr, remaining_us: Micros) -> Vec<u8> {
    let mut head = format!(
        "POST {} HTTP/1.1\r\nHost: {addr}\r\nX-Correlation-Id: {}\r\nX-Time-Left-Ms: {}\r\nContent-Length: {}\r\n",
        operation.target,
        operation.id,
        remaining_us / 1_000,
        operation.body.len()
    );
    if let Some(key) = &operation.idempotency_key {
        let _ = write!(head, "Idempotency-Key: {key}\r\n");
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(&operation.body);
    bytes
}

impl Driver for HttpDriver {
    fn send(
        &self,
        step: StepId,
        operation: &Arc<Operation>,
        worker: &PoolMember,
        remaining_us: Micros,
    ) {
        let (give_up, given_up) = bounded(1);
        self.handing.borrow_mut().insert(step, give_up);
        let (me, operation, addr) = (
            self.me(),
            operation.clone(),
            worker.addr.parse::<SocketAddr>(),
        );
        self.hub.spawn(async move {
            let Ok(addr) = addr else {
                me.handing.borrow_mut().remove(&step);
                return me.hub.with(|core, _| {
                    core.step_event(step, StepEvent::Ended(StepOutcome::ConnectRefused, None))
                });
            };
            let mut pooled = None;
            let handed = async { Some(me.hand_over(step, addr, &operation, &mut pooled).await) };
            let mut pending_cancel = None;
            let cancelled = async {
                pending_cancel = given_up.recv().await.ok();
                None
            };
            // A call-back may have ended the step before any answer: the connection is not kept for ever.
            let never = async {
                Timer::after(Duration::from_micros(remaining_us) + Duration::from_secs(1)).await;
                None
            };
            let handed = future::or(handed, future::or(cancelled, never)).await;
            let given_up = me.handing.borrow_mut().remove(&step).is_none();
            match (handed, pooled) {
                // The 202 came in the moment in which the step was given up: it was left to this task to see to it.
                (Some(Ok(())), _) if given_up => me.cancel_taken(addr, &operation.id).await,
                (Some(Ok(())), _) => {}
                (Some(Err((ending, report))), _) => me
                    .hub
                    .with(|core, _| core.step_event(step, StepEvent::Ended(ending, report))),
                (None, Some(pooled)) => drop(me.take_back(addr, &operation.id, pooled).await),
                (None, None) => {} // not written whole: the worker never began it
            }
            drop(pending_cancel); // over only now: an attempt that waits for it may begin
        });
    }

    fn cancel(&self, step: StepId, operation: &Arc<Operation>, worker: &PoolMember) {
        let handing = self.handing.borrow_mut().remove(&step); // dropping it ends the hand-over
        let Some(pending) = self.begin_cancel(operation, worker) else {
            return;
        };
        if let Some(give_up) = handing {
            let _ = give_up.try_send(pending); // the task that hands the job over sees to the cancel
            return;
        }
        self.hub.spawn(async move {
            let (addr, id) = &pending.key;
            pending.driver.cancel_taken(*addr, id).await;
        });
    }

    fn probe(&self, worker: WorkerId, member: &PoolMember) {
        let Ok(addr) = member.addr.parse::<SocketAddr>() else {
            return;
        };
        let request = format!("GET /metrics/load HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        let me = self.me();
        self.hub.spawn(async move {
            let answer = me
                .ask(addr, request, Use::Work)
                .await
                .filter(|(head, _)| head.status == 200);
            let report = answer
                .as_ref()
                .map(|(_, body)| match serde_json::from_slice(body) {
                    Ok(load) => load_from_json(&load),
                    Err(_) => load_from_header(&String::from_utf8_lossy(body)),
                });
            let report = report.map(|load| me.report(load));
            me.hub
                .with(|core, _| core.probe_ended(worker, answer.is_some(), report));
        });
    }
}
