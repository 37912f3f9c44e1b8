//! Sessions of batch tools: one connection each, with calls that are answered immediately or later.

use super::receipt::SharedReceipt;
use super::{reject, JobTable, Outgoing, Reply};
use crate::config::DrmaaConfig;
use crate::drmaa::{encode_line, Call, CallKind, Error, SessionMessage, MAX_LINE_BYTES};
use crate::interface::Micros;
use crate::net::http::Conn;
use crate::runtime::Hub;
use async_channel::{bounded, Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Maximum number of messages queued for a slow session.
const MAX_QUEUED_MESSAGES: usize = 256;
/// Maximum number of unanswered wait calls of one session.
const MAX_WAITS: usize = 256;
impl JobTable {
    /// Handles one call. Returns none for a wait call, which a separate task answers.
    fn call(
        &self,
        call: Call,
        session: &Sender<Outgoing>,
        ended: &Receiver<()>,
        waits: &Rc<Cell<usize>>,
    ) -> Option<Reply> {
        Some(match call.kind {
            CallKind::RunJob { job_template } => self.run_job(job_template, session),
            CallKind::Terminate { job_id } => self.terminate(&job_id),
            CallKind::GetState { job_id } => {
                let state = self.with_job(&job_id, |job| job.info.job_state);
                state.map(|state| {
                    let message = SessionMessage {
                        job_state: Some(state),
                        ..SessionMessage::default()
                    };
                    message.into()
                })
            }
            CallKind::GetInfo { job_id } => self.with_job(&job_id, |job| job.info_reply()),
            CallKind::Reap { job_id } => match self.with_job(&job_id, |job| job.has_ended()) {
                Ok(true) => {
                    job_id
                        .parse()
                        .ok()
                        .and_then(|n: u64| self.jobs.borrow_mut().remove(&n));
                    Ok(SessionMessage::default().into())
                }
                Ok(false) => reject(Error::InvalidState, "the job is not over"),
                Err(e) => Err(e),
            },
            CallKind::WaitStarted { .. } | CallKind::WaitTerminated { .. }
                if waits.get() >= MAX_WAITS =>
            {
                reject(Error::OutOfResource, "too many waits")
            }
            CallKind::WaitStarted { job_id, timeout } => {
                self.answer_later(call.seq, job_id, timeout, true, session, ended, waits);
                return None;
            }
            CallKind::WaitTerminated { job_id, timeout } => {
                self.answer_later(call.seq, job_id, timeout, false, session, ended, waits);
                return None;
            }
            CallKind::Suspend { .. }
            | CallKind::Resume { .. }
            | CallKind::Hold { .. }
            | CallKind::Release { .. } => reject(
                Error::UnsupportedOperation,
                "jobs are neither held nor suspended here",
            ),
        })
    }

    #[allow(clippy::too_many_arguments)]
    fn answer_later(
        &self,
        seq: u64,
        id: String,
        timeout: f64,
        until_started: bool,
        session: &Sender<Outgoing>,
        ended: &Receiver<()>,
        waits: &Rc<Cell<usize>>,
    ) {
        let this = self.weak_self.upgrade().expect("called through an Rc");
        let (session, ended, waits) = (session.clone(), ended.clone(), waits.clone());
        waits.set(waits.get() + 1);
        self.waits.set(self.waits.get() + 1);
        self.hub.spawn(async move {
            let answered = async {
                let reply = this.wait(&id, timeout, until_started).await;
                let _ = session.send(reply_message(seq, reply)).await;
            };
            let disconnected = async {
                let _ = ended.recv().await;
            };
            future::or(answered, disconnected).await;
            waits.set(waits.get() - 1);
            this.waits.set(this.waits.get() - 1);
        });
    }

    async fn session(&self, stream: Async<TcpStream>) {
        enum Next {
            Call(Vec<u8>),
            Send(Box<Outgoing>),
            End(Option<&'static str>),
        }
        let mut conn = Conn::new(stream);
        let (outgoing_tx, outgoing_rx) = bounded::<Outgoing>(MAX_QUEUED_MESSAGES);
        let (_open, ended) = bounded::<()>(1);
        let waits = Rc::new(Cell::new(0));
        loop {
            let call = async {
                match conn.line(MAX_LINE_BYTES).await {
                    Ok(line) => Next::Call(line),
                    Err(crate::net::http::ReadError::TooLarge) => {
                        Next::End(Some("the line is too long"))
                    }
                    Err(_) => Next::End(None),
                }
            };
            let turn = future::or(
                async {
                    outgoing_rx
                        .recv()
                        .await
                        .map_or(Next::End(None), |s| Next::Send(Box::new(s)))
                },
                call,
            )
            .await;
            let text = match turn {
                Next::Send(text) => *text,
                Next::End(None) => return,
                Next::End(Some(why)) => {
                    let rejection = reply_message(0, reject(Error::InvalidArgument, why));
                    let _ = conn.write(&encode_line(&rejection.message)).await;
                    return;
                }
                Next::Call(text) => match serde_json::from_slice::<Call>(&text) {
                    Ok(call) => {
                        let seq = call.seq;
                        match self.call(call, &outgoing_tx, &ended, &waits) {
                            Some(reply) => reply_message(seq, reply),
                            None => continue,
                        }
                    }
                    Err(e) => {
                        // Answers with the sequence number of the malformed call, so that the caller does not
                        // wait for it in vain.
                        let seq = serde_json::from_slice::<serde_json::Value>(&text).ok();
                        let seq = seq.and_then(|v| v.get("seq")?.as_u64()).unwrap_or(0);
                        reply_message(
                            seq,
                            reject(Error::InvalidArgument, format!("not a call: {e}")),
                        )
                    }
                },
            };
            if conn.write(&encode_line(&text.message)).await.is_err() {
                return;
            }
            text.receipt.iter().for_each(SharedReceipt::written);
        }
    }
}

fn reply_message(seq: u64, reply: Reply) -> Outgoing {
    let mut outgoing = reply.unwrap_or_else(|(error, why)| {
        let message = SessionMessage {
            error: Some(error),
            message: Some(why),
            ..SessionMessage::default()
        };
        message.into()
    });
    outgoing.message.seq = Some(seq);
    outgoing
}

/// Binds the listener and spawns the task that accepts sessions.
pub(crate) fn listen(
    hub: &Rc<Hub>,
    addr: SocketAddr,
    drmaa: &DrmaaConfig,
    max_sessions: usize,
) -> Result<Rc<JobTable>, String> {
    let listener =
        Async::<TcpListener>::bind(addr).map_err(|e| format!("drmaa listen: {addr}: {e}"))?;
    let addr = listener
        .get_ref()
        .local_addr()
        .map_err(|e| format!("drmaa listen: {addr}: {e}"))?;
    info!(hub.log, "serving DRMAA"; "listen" => %addr);
    let table = Rc::new_cyclic(|weak_self| JobTable {
        weak_self: weak_self.clone(),
        hub: hub.clone(),
        jobs: RefCell::default(),
        next: Cell::new(1),
        waits: Cell::new(0),
        sessions: Cell::new(0),
        max_jobs: drmaa.max_jobs,
        retention_us: (drmaa.keep_s * 1e6) as Micros,
    });
    let accepting = table.clone();
    hub.spawn(async move {
        loop {
            match listener.accept().await {
                // Above the session limit new connections are rejected, which leaves file descriptors for the
                // other sockets.
                Ok((stream, _)) if accepting.sessions.get() >= max_sessions => {
                    let rejection = reply_message(0, reject(Error::TryLater, "too many sessions"));
                    let text = encode_line(&rejection.message);
                    let _ = futures_lite::AsyncWriteExt::write(&mut &stream, &text).await;
                }
                Ok((stream, _)) => {
                    let table = accepting.clone();
                    table.sessions.set(table.sessions.get() + 1);
                    accepting.hub.spawn(async move {
                        table.session(stream).await;
                        table.sessions.set(table.sessions.get() - 1);
                    });
                }
                Err(e) => {
                    warn!(accepting.hub.log, "accepting a DRMAA session failed"; "error" => %e);
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok(table)
}
