//! Workers' call-backs: matched to route steps by id and `from`, or passed to the other process that shares the
//! address while one replaces the other.

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
struct CallBack {
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

/// How often the mailbox is read while another process shares the address; ten times as seldom while none does,
/// as one that starts beside this one may post before this one hears of it.
const MAIL: Duration = Duration::from_millis(10);

/// Reads what the other process posts while it lives: call-backs for this process's steps that reached it. Without
/// `$TMPDIR` there is no mailbox, and nothing wakes this process to read it.
pub(crate) fn hear_the_other(hub: &Rc<Hub>) {
    if !handover::is_possible() {
        return;
    }
    let hub_ = hub.clone();
    hub.spawn(async move {
        loop {
            let other = hub_.other.get();
            Timer::after(if other.is_some() { MAIL } else { MAIL * 10 }).await;
            for body in handover::collect() {
                call_back(&hub_, &body, false);
            }
            if other.is_some_and(|pid| !handover::alive(pid)) {
                hub_.other.set(None);
            }
        }
    });
}

/// A worker's call-back. It may come before the 202, again, or after the end: it counts once, and is answered 204 all
/// the same. One that matches no step here is posted to the other process, if one shares the address
/// and `pass_on` allows: it is that one's.
pub(crate) fn call_back(hub: &Hub, body: &[u8], pass_on: bool) -> Reply {
    let call: CallBack = match serde_json::from_slice(body) {
        Ok(call) => call,
        Err(e) => return Reply::plain(400, &format!("not a call-back: {e}")),
    };
    hub.with(|core, _| {
        core.counters.callbacks += 1;
        let Some(step) = core.find_step(&call.id, &call.from) else {
            match hub.other.get().filter(|_| pass_on) {
                Some(other) if handover::post(other, body).is_ok() => {
                    core.counters.callbacks_passed_on += 1
                }
                _ => core.counters.callbacks_unmatched += 1,
            }
            return;
        };
        let ending = match call.state {
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
        core.step_event(step, StepEvent::Ended(ending, report));
    });
    Reply::plain(204, "")
}
