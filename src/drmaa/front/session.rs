//! Sessions of batch tools: one connection each, with calls that are answered at once or later.

use super::receipt::SharedReceipt;
use super::{refuse, JobTable, Outgoing, Reply};
use crate::config::DrmaaConfig;
use crate::drmaa::{line, Call, CallKind, Error, SessionMessage, LINE};
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

/// Answers and notifications that may wait for a slow session.
const QUEUE: usize = 256;
/// Waits that one session may have running.
const WAITS: usize = 256;
impl JobTable {
    /// One call; those that wait are answered from a task of their own.
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
                let state = self.look(&job_id, |job| job.info.job_state);
                state.map(|state| {
                    let message = SessionMessage {
                        job_state: Some(state),
                        ..SessionMessage::default()
                    };
                    message.into()
                })
            }
            CallKind::GetInfo { job_id } => self.look(&job_id, |job| job.describe()),
            CallKind::Reap { job_id } => match self.look(&job_id, |job| job.is_over()) {
                Ok(true) => {
                    job_id
                        .parse()
                        .ok()
                        .and_then(|n: u64| self.jobs.borrow_mut().remove(&n));
                    Ok(SessionMessage::default().into())
                }
                Ok(false) => refuse(Error::InvalidState, "the job is not over"),
                Err(e) => Err(e),
            },
            CallKind::WaitStarted { .. } | CallKind::WaitTerminated { .. }
                if waits.get() >= WAITS =>
            {
                refuse(Error::OutOfResource, "too many waits")
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
            | CallKind::Release { .. } => refuse(
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
        let me = self.me.upgrade().expect("called through an Rc");
        let (session, ended, waits) = (session.clone(), ended.clone(), waits.clone());
        waits.set(waits.get() + 1);
        self.waits.set(self.waits.get() + 1);
        self.hub.spawn(async move {
            let answered = async {
                let reply = me.wait(&id, timeout, until_started).await;
                let _ = session.send(reply_message(seq, reply)).await;
            };
            let left = async {
                let _ = ended.recv().await;
            };
            future::or(answered, left).await;
            waits.set(waits.get() - 1);
            me.waits.set(me.waits.get() - 1);
        });
    }

    async fn session(&self, stream: Async<TcpStream>) {
        enum Turn {
            Call(Vec<u8>),
            Say(Box<Outgoing>),
            End(Option<&'static str>),
        }
        let mut conn = Conn::new(stream);
        let (say, to_say) = bounded::<Outgoing>(QUEUE);
        let (_open, ended) = bounded::<()>(1);
        let waits = Rc::new(Cell::new(0));
        loop {
            let call = async {
                match conn.line(LINE).await {
                    Ok(line) => Turn::Call(line),
                    Err(crate::net::http::Bad::TooLarge) => Turn::End(Some("the line is too long")),
                    Err(_) => Turn::End(None),
                }
            };
            let turn = future::or(
                async {
                    to_say
                        .recv()
                        .await
                        .map_or(Turn::End(None), |s| Turn::Say(Box::new(s)))
                },
                call,
            )
            .await;
            let text = match turn {
                Turn::Say(text) => *text,
                Turn::End(None) => return,
                Turn::End(Some(why)) => {
                    let refusal = reply_message(0, refuse(Error::InvalidArgument, why));
                    let _ = conn.write(&line(&refusal.message)).await;
                    return;
                }
                Turn::Call(text) => match serde_json::from_slice::<Call>(&text) {
                    Ok(call) => {
                        let seq = call.seq;
                        match self.call(call, &say, &ended, &waits) {
                            Some(reply) => reply_message(seq, reply),
                            None => continue,
                        }
                    }
                    Err(e) => {
                        // Guards against a silent end: a caller is told which of its calls was not understood.
                        let seq = serde_json::from_slice::<serde_json::Value>(&text).ok();
                        let seq = seq.and_then(|v| v.get("seq")?.as_u64()).unwrap_or(0);
                        reply_message(
                            seq,
                            refuse(Error::InvalidArgument, format!("not a call: {e}")),
                        )
                    }
                },
            };
            if conn.write(&line(&text.message)).await.is_err() {
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

/// Listens and serves from now on.
pub(crate) fn listen(
    hub: &Rc<Hub>,
    addr: SocketAddr,
    drmaa: &DrmaaConfig,
    most: usize,
) -> Result<Rc<JobTable>, String> {
    let listener =
        Async::<TcpListener>::bind(addr).map_err(|e| format!("drmaa listen: {addr}: {e}"))?;
    let addr = listener
        .get_ref()
        .local_addr()
        .map_err(|e| format!("drmaa listen: {addr}: {e}"))?;
    info!(hub.log, "serving DRMAA"; "listen" => %addr);
    let table = Rc::new_cyclic(|me| JobTable {
        me: me.clone(),
        hub: hub.clone(),
        jobs: RefCell::default(),
        next: Cell::new(1),
        waits: Cell::new(0),
        sessions: Cell::new(0),
        max_jobs: drmaa.max_jobs,
        keep_us: (drmaa.keep_s * 1e6) as Micros,
    });
    let served = table.clone();
    hub.spawn(async move {
        loop {
            match listener.accept().await {
                // Over its share of descriptors the front turns sessions away, so that the rest is served.
                Ok((stream, _)) if served.sessions.get() >= most => {
                    let refusal = reply_message(0, refuse(Error::TryLater, "too many sessions"));
                    let text = line(&refusal.message);
                    let _ = futures_lite::AsyncWriteExt::write(&mut &stream, &text).await;
                }
                Ok((stream, _)) => {
                    let table = served.clone();
                    table.sessions.set(table.sessions.get() + 1);
                    served.hub.spawn(async move {
                        table.session(stream).await;
                        table.sessions.set(table.sessions.get() - 1);
                    });
                }
                Err(e) => {
                    warn!(served.hub.log, "a job session could not be accepted"; "error" => %e);
                    Timer::after(Duration::from_millis(20)).await;
                }
            }
        }
    });
    Ok(table)
}
