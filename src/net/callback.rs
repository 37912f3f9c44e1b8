//! Call-backs of workers. They are matched to route steps by `id` and `from`, or passed on to the other
//! process that shares the address while one replaces the other.

use super::handover;
use super::load_from_json;
use super::request::Reply;
use crate::core::{StepEvent, StepOutcome};
use crate::runtime::Hub;
use async_io::Timer;
use serde::Deserialize;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

#[derive(Deserialize)]
struct Callback {
    id: String,
    from: String,
    #[serde(flatten)]
    state: JobState,
    load: Option<HashMap<String, f64>>,
}

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "lowercase")]
enum JobState {
    Started,
    Running { share: f64 },
    Done { result: String },
    Failed,
    Returned,
    Lost,
}

/// Interval at which the mailbox is read while another process shares the address. While no such process is
/// known, the interval is ten times as long: a process that starts beside this one may post before this one detects it.
const MAILBOX_INTERVAL: Duration = Duration::from_millis(10);

/// Reads the call-backs for this process's steps that the other process received and posted here. Without
/// `$TMPDIR` there is no mailbox, and no timer is started.
pub(crate) fn poll_mailbox(hub: &Rc<Hub>) {
    if !handover::is_possible() {
        return;
    }
    let task_hub = hub.clone();
    hub.spawn(async move {
        loop {
            let other_process = task_hub.other_process.get();
            Timer::after(if other_process.is_some() {
                MAILBOX_INTERVAL
            } else {
                MAILBOX_INTERVAL * 10
            })
            .await;
            for body in handover::take_callbacks() {
                handle_callback(&task_hub, &body, false);
            }
            if other_process.is_some_and(|pid| !handover::is_running(pid)) {
                task_hub.other_process.set(None);
            }
        }
    });
}

/// Processes a worker's call-back. It may arrive before the 202, repeatedly, or after the end of the step:
/// only the first one counts, and all are answered 204. A call-back that matches no step here is posted to
/// the other process, if one shares the address and `may_forward` is set.
pub(crate) fn handle_callback(hub: &Hub, body: &[u8], may_forward: bool) -> Reply {
    let call: Callback = match serde_json::from_slice(body) {
        Ok(call) => call,
        Err(e) => return Reply::plain(400, &format!("not a call-back: {e}")),
    };
    hub.with(|core, _| {
        core.counters.callbacks += 1;
        let Some(step) = core.find_step(&call.id, &call.from) else {
            match hub.other_process.get().filter(|_| may_forward) {
                Some(other_process) if handover::post_callback(other_process, body).is_ok() => {
                    core.counters.callbacks_passed_on += 1
                }
                _ => core.counters.callbacks_unmatched += 1,
            }
            return;
        };
        let outcome = match call.state {
            JobState::Started => return core.step_event(step, StepEvent::Started),
            JobState::Running { share } => {
                return core.step_event(step, StepEvent::Progress(share))
            }
            JobState::Done { result } => StepOutcome::Served(result.into_bytes().into()),
            JobState::Failed => StepOutcome::WorkerFailed,
            JobState::Returned => StepOutcome::Rejected,
            JobState::Lost => StepOutcome::Lost,
        };
        let report = call.load.map(|l| core.report(&load_from_json(&l)));
        core.step_event(step, StepEvent::Ended(outcome, report));
    });
    Reply::plain(204, "")
}
