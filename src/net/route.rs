//! Route steps over HTTP: the exchange that passes a job to a worker, and the request that cancels the job.

use super::http::{Head, ReadError};
use super::pool::{ConnectionPurpose, Pool, PooledConnection};
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

/// Time limit for a cancel or a probe: long enough for a worker that stalls for a moment.
const CONTROL_REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which a cancel that found no free descriptor retries.
const CANCEL_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which the driver waits for a 202 that may already be in flight: a few times the latency between
/// buildings.
const ACCEPTANCE_TIMEOUT: Duration = Duration::from_millis(30);

/// Sends route steps to workers that speak the platform's protocol.
pub(crate) struct HttpDriver {
    weak_self: Weak<HttpDriver>,
    hub: Rc<Hub>,
    pool: Rc<Pool>,
    /// Steps that their worker has not accepted yet. Sending a cancel on a step's channel ends its exchange
    /// and closes the connection.
    unaccepted: RefCell<BTreeMap<StepId, Sender<PendingCancel>>>,
    /// Cancels in flight. A worker receives one attempt of an operation at a time, and a cancel names only
    /// the operation: a later attempt at the same worker waits until the cancel of the earlier one has ended.
    cancels: RefCell<HashMap<CancelKey, Receiver<()>>>,
}

/// Address of the worker and id of the operation.
type CancelKey = (SocketAddr, String);

/// Exists while a cancel is in flight.
struct PendingCancel {
    driver: Rc<HttpDriver>,
    key: CancelKey,
    /// Dropping it wakes the attempts that wait for the end of the cancel.
    _ended: Sender<()>,
}

impl Drop for PendingCancel {
    fn drop(&mut self) {
        self.driver.cancels.borrow_mut().remove(&self.key);
    }
}

impl HttpDriver {
    pub(crate) fn new(hub: Rc<Hub>, pool: Rc<Pool>) -> Rc<HttpDriver> {
        Rc::new_cyclic(|weak_self| HttpDriver {
            weak_self: weak_self.clone(),
            hub,
            pool,
            unaccepted: RefCell::default(),
            cancels: RefCell::default(),
        })
    }

    /// Registers a cancel, which ends when the returned value is dropped. Returns `None` if the worker's
    /// address is invalid, or if an earlier cancel is in flight: the attempt waits for the end of that one,
    /// so the worker has not received it.
    fn begin_cancel(&self, operation: &Operation, worker: &PoolMember) -> Option<PendingCancel> {
        let key = (worker.addr.parse().ok()?, operation.id.clone());
        let (cancel_ended, ended_signal) = bounded(1);
        match self.cancels.borrow_mut().entry(key.clone()) {
            Entry::Occupied(_) => return None,
            Entry::Vacant(vacant) => vacant.insert(ended_signal),
        };
        Some(PendingCancel {
            driver: self.shared_self(),
            key,
            _ended: cancel_ended,
        })
    }

    /// Waits until no cancel of the operation is in flight to this worker.
    async fn wait_for_cancel(&self, addr: SocketAddr, operation: &Operation) {
        let pending = self
            .cancels
            .borrow()
            .get(&(addr, operation.id.clone()))
            .cloned();
        if let Some(ended_signal) = pending {
            let _ = ended_signal.recv().await; // no value is ever sent: the channel closes with the cancel
        }
    }

    fn shared_self(&self) -> Rc<HttpDriver> {
        self.weak_self.upgrade().expect("called through an Rc")
    }

    /// Sends the job to the worker and returns `Ok` when the worker has accepted it. `pooled` holds the
    /// connection once the request is written.
    async fn send_job(
        &self,
        step: StepId,
        addr: SocketAddr,
        operation: &Operation,
        pooled: &mut Option<PooledConnection>,
    ) -> Result<(), (StepOutcome, Option<LoadReport>)> {
        self.wait_for_cancel(addr, operation).await;
        let mut connection = self
            .pool
            .take(addr, ConnectionPurpose::Work)
            .await
            .map_err(|e| (e, None))?;
        // Establishing the connection may have taken long: guards against an attempt for a client that has
        // disconnected, at a worker that is leaving, or after the window of the idempotency key.
        let Some(remaining_us) = self.hub.with(|core, now| core.begin(now, step)) else {
            self.pool.give_back(addr, connection);
            return Err((StepOutcome::NotSent, None));
        };
        let request = request(operation, addr, remaining_us);
        let class = self.hub.classes.borrow()[operation.class.0 as usize]
            .name
            .clone();
        // This function never resends a request: the decisions determine whether another attempt follows.
        connection
            .conn
            .write(&request)
            .await
            .map_err(|_| (StepOutcome::ConnectionLostBeforeSend, None))?;
        self.hub
            .with(|core, _| core.counters.record_attempt(&class));
        drop(request); // frees the memory, as the response may take long
        let (head, _) = self
            .exchange(pooled.insert(connection))
            .await
            .map_err(|_| (StepOutcome::ConnectionLostAfterSend, None))?;
        let report = head
            .get("x-backend-load")
            .map(|l| self.report(load_from_header(l)));
        let result = match head.status {
            202 => Ok(()),
            503 | 504 if head.get("x-unprocessed") == Some("1") => {
                Err((StepOutcome::Rejected, report))
            }
            _ => Err((StepOutcome::WorkerFailed, report)),
        };
        self.return_if_reusable(addr, pooled, &head);
        result
    }

    /// Abandons a job that was sent and whose 202 has not arrived. Closing the connection cancels the job
    /// only if the worker has not responded yet: guards against closing it while the 202 is in flight, which
    /// would leave the job running in vain.
    async fn abandon_job(
        &self,
        addr: SocketAddr,
        id: &str,
        mut pooled: PooledConnection,
    ) -> Option<()> {
        let response = async { self.exchange(&mut pooled).await.ok() };
        let head = future::or(response, async {
            Timer::after(ACCEPTANCE_TIMEOUT).await;
            None
        });
        let Some((head, _)) = head.await else {
            // The 202 may have been in flight for longer than this: closing the connection alone would leave
            // the job running.
            self.pool.end(pooled);
            self.send_cancel(addr, id).await;
            return None;
        };
        // After any complete response the connection can be reused: guards against a new connection for each
        // job that an overloaded worker rejects just after its cancel.
        self.return_if_reusable(addr, &mut Some(pooled), &head);
        if head.status == 202 {
            self.send_cancel(addr, id).await;
        }
        Some(())
    }

    async fn send_cancel(&self, addr: SocketAddr, id: &str) {
        self.hub.with(|core, _| core.counters.cancels += 1);
        self.send_control_request(
            addr,
            format!("DELETE /jobs/{id} HTTP/1.1\r\nHost: {addr}\r\n\r\n"),
            ConnectionPurpose::Cancel,
        )
        .await;
    }

    /// Reads one complete response.
    async fn exchange(&self, pooled: &mut PooledConnection) -> Result<(Head, Vec<u8>), ReadError> {
        let head = pooled.conn.response().await?;
        let body = pooled.conn.body(&head).await?;
        Ok((head, body))
    }

    /// Returns the connection to the pool if it can carry another request after this response.
    fn return_if_reusable(
        &self,
        addr: SocketAddr,
        pooled: &mut Option<PooledConnection>,
        head: &Head,
    ) {
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

    /// Sends a short control request, that is, a cancel or a probe, and reads its response. Returns `None` on
    /// failure or timeout.
    async fn send_control_request(
        &self,
        addr: SocketAddr,
        request: String,
        purpose: ConnectionPurpose,
    ) -> Option<(Head, Vec<u8>)> {
        let exchange = async {
            let mut pooled = loop {
                match self.pool.take(addr, purpose).await {
                    Ok(pooled) => break pooled,
                    // A cancel must be delivered, so it waits for a descriptor. A probe may be skipped.
                    Err(StepOutcome::NotSent) if purpose == ConnectionPurpose::Cancel => {
                        Timer::after(CANCEL_RETRY_INTERVAL).await;
                    }
                    Err(_) => return None,
                }
            };
            pooled.conn.write(request.as_bytes()).await.ok()?;
            let response = self.exchange(&mut pooled).await.ok()?;
            self.return_if_reusable(addr, &mut Some(pooled), &response.0);
            Some(response)
        };
        future::or(exchange, async {
            Timer::after(CONTROL_REQUEST_TIMEOUT).await;
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
        let (cancel_sender, cancel_receiver) = bounded(1);
        self.unaccepted.borrow_mut().insert(step, cancel_sender);
        let (driver, operation, addr) = (
            self.shared_self(),
            operation.clone(),
            worker.addr.parse::<SocketAddr>(),
        );
        self.hub.spawn(async move {
            let Ok(addr) = addr else {
                driver.unaccepted.borrow_mut().remove(&step);
                return driver.hub.with(|core, _| {
                    core.step_event(step, StepEvent::Ended(StepOutcome::ConnectRefused, None))
                });
            };
            let mut pooled = None;
            let sent = async { Some(driver.send_job(step, addr, &operation, &mut pooled).await) };
            let mut pending_cancel = None;
            let cancelled = async {
                pending_cancel = cancel_receiver.recv().await.ok();
                None
            };
            // A call-back may have ended the step before any response arrived: the connection is not kept
            // indefinitely.
            let timeout = async {
                Timer::after(Duration::from_micros(remaining_us) + Duration::from_secs(1)).await;
                None
            };
            let sent = future::or(sent, future::or(cancelled, timeout)).await;
            let was_cancelled = driver.unaccepted.borrow_mut().remove(&step).is_none();
            match (sent, pooled) {
                // The 202 arrived at the moment when the step was cancelled, so this task has to send the
                // cancel.
                (Some(Ok(())), _) if was_cancelled => driver.send_cancel(addr, &operation.id).await,
                (Some(Ok(())), _) => {}
                (Some(Err((outcome, report))), _) => driver
                    .hub
                    .with(|core, _| core.step_event(step, StepEvent::Ended(outcome, report))),
                (None, Some(pooled)) => drop(driver.abandon_job(addr, &operation.id, pooled).await),
                (None, None) => {} // the request was not written completely: the worker never started the job
            }
            drop(pending_cancel); // the cancel ends only here: an attempt that waits for it may begin
        });
    }

    fn cancel(&self, step: StepId, operation: &Arc<Operation>, worker: &PoolMember) {
        let unaccepted = self.unaccepted.borrow_mut().remove(&step); // dropping it ends the exchange
        let Some(pending) = self.begin_cancel(operation, worker) else {
            return;
        };
        if let Some(cancel_sender) = unaccepted {
            let _ = cancel_sender.try_send(pending); // the task that sends the job also handles the cancel
            return;
        }
        self.hub.spawn(async move {
            let (addr, id) = &pending.key;
            pending.driver.send_cancel(*addr, id).await;
        });
    }

    fn probe(&self, worker: WorkerId, member: &PoolMember) {
        let Ok(addr) = member.addr.parse::<SocketAddr>() else {
            return;
        };
        let request = format!("GET /metrics/load HTTP/1.1\r\nHost: {addr}\r\n\r\n");
        let driver = self.shared_self();
        self.hub.spawn(async move {
            let answer = driver
                .send_control_request(addr, request, ConnectionPurpose::Work)
                .await
                .filter(|(head, _)| head.status == 200);
            let report = answer
                .as_ref()
                .map(|(_, body)| match serde_json::from_slice(body) {
                    Ok(load) => load_from_json(&load),
                    Err(_) => load_from_header(&String::from_utf8_lossy(body)),
                });
            let report = report.map(|load| driver.report(load));
            driver
                .hub
                .with(|core, _| core.probe_ended(worker, answer.is_some(), report));
        });
    }
}
