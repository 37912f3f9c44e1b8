//! Adapter for the JSON-lines protocol: reads batches of messages, passes them to the dispatchers and writes
//! their actions. It translates messages and makes no scheduling decisions.
//!
//! Several dispatchers may run in one process but share no state: each has its own tables of names and workers.

use crate::interface::{
    Action, AttemptEnd, AttemptOutcome, ClassId, Endpoint, EndpointState, Event, JobId, Request,
    TenantId, WorkerId,
};
use crate::settings::{name_hash, PlatformSettings, SiteSettings};
use crate::Balancer;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};
use std::sync::Arc;

type AdapterResult<T> = Result<T, String>;

/// An incoming line, with the fields of all message types. Fields that a message lacks are `None`; unknown
/// fields are ignored.
#[derive(Deserialize, Default)]
#[serde(default, rename_all = "camelCase")]
struct Line<'a> {
    #[serde(rename = "type", borrow)]
    kind: Cow<'a, str>,
    at_time_us: Option<u64>,
    dispatcher: Option<u64>,
    rng_seed: Option<u64>,
    setup: Option<PlatformSettings>,
    roster_id: Option<u64>,
    elements: Option<Vec<ListLine>>,
    #[serde(borrow)]
    scope: Option<Cow<'a, str>>,
    job: Option<u64>,
    #[serde(borrow)]
    profile: Option<Cow<'a, str>>,
    account: Option<serde_json::Value>,
    #[serde(borrow)]
    target_key: Option<Cow<'a, str>>,
    expires_in_us: Option<i64>,
    weight_hint_us: Option<f64>,
    slots: Option<f64>,
    attrs: Option<u64>,
    #[serde(borrow)]
    worker: Option<Cow<'a, str>>,
    round_no: Option<u32>,
    what: Option<i64>,
    level: Option<f64>,
    #[serde(borrow)]
    state_code: Option<Cow<'a, str>>,
    complete: Option<bool>,
    usage: Option<HashMap<String, f64>>,
    #[serde(borrow)]
    ctx: Option<Cow<'a, str>>,
}

#[derive(Deserialize, Default, Clone)]
#[serde(default, rename_all = "camelCase")]
struct ListLine {
    since_us: u64,
    zone: String,
    pod: i64,
    stage_state: String,
    worker: String,
    model: String,
    power_hint: Option<f64>,
}

/// An outgoing line.
#[derive(Serialize)]
#[serde(
    tag = "type",
    rename_all = "SCREAMING_SNAKE_CASE",
    rename_all_fields = "camelCase"
)]
enum Reply<'a> {
    Send {
        dispatcher: u64,
        job: u64,
        worker: &'a str,
    },
    Abandon {
        dispatcher: u64,
        job: u64,
        round_no: u32,
    },
    Deny {
        dispatcher: u64,
        job: u64,
        hold_off_us: u64,
    },
    GiveUp {
        dispatcher: u64,
        job: u64,
    },
    Schedule {
        dispatcher: u64,
        wait_us: u64,
        ctx: String,
    },
    AskLoad {
        dispatcher: u64,
        worker: &'a str,
    },
    Listen {
        dispatcher: u64,
        want: bool,
    },
}

struct Instance {
    site: SiteSettings,
    balancer: Balancer,
}

impl Instance {
    fn new(setup: PlatformSettings, seed: u64, now: u64) -> Instance {
        let site = SiteSettings::new(setup);
        let balancer = Balancer::new(site.settings.clone(), seed, now);
        Instance { site, balancer }
    }

    fn entry(&mut self, element: &ListLine) -> AdapterResult<Endpoint> {
        if element.worker.is_empty() {
            return Err("a list line without worker".into());
        }
        let entry = Endpoint {
            state: match element.stage_state.as_str() {
                "ready" => EndpointState::Ready,
                "draining" => EndpointState::Draining,
                "gone" => EndpointState::Gone,
                other => return Err(format!("unknown stageState {other}")),
            },
            started_at_us: element.since_us,
            cell: element.pod as u32,
            weight: element.power_hint.unwrap_or(1.0),
            ..Endpoint::default()
        };
        Ok(self
            .site
            .entry(&element.worker, &element.zone, &element.model, entry))
    }
}

/// All dispatchers of one process, by their number in the protocol.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: HashMap<u64, Arc<Vec<ListLine>>>,
    now: Option<u64>,
    touched: Vec<u64>,
    actions: Vec<Action>,
}

/// Runs the adapter until the input ends. An error gives the number of the line and the cause.
pub fn run(input: impl BufRead, mut output: impl Write) -> AdapterResult<()> {
    let mut host = Host::default();
    let mut reply = Vec::new();
    let mut line_number = 0u64;
    for line in input.split(b'\n') {
        line_number += 1;
        let line = line.map_err(|e| format!("line {line_number}: cannot be read: {e}"))?;
        let is_batch_end = host
            .line(&line, &mut reply)
            .map_err(|e| format!("line {line_number}: {e}"))?;
        if is_batch_end {
            if output
                .write_all(&reply)
                .and_then(|()| output.flush())
                .is_err()
            {
                return Ok(()); // the reader has closed the output
            }
            reply.clear();
        }
    }
    match host.now {
        Some(_) => Err(format!("line {line_number}: the input ends inside a batch")),
        None => Ok(()),
    }
}

impl Host {
    /// Processes one line and appends the replies to `reply`. Returns true at the end of a batch.
    pub fn line(&mut self, text: &[u8], reply: &mut Vec<u8>) -> AdapterResult<bool> {
        if text.iter().all(u8::is_ascii_whitespace) {
            return Ok(false);
        }
        let line: Line = serde_json::from_slice(text).map_err(|e| format!("not a message: {e}"))?;
        match (line.kind.as_ref(), self.now) {
            ("", _) => return Err("a message without a type".into()),
            ("SYNC", None) => self.now = Some(line.at_time_us.ok_or("SYNC without atTimeUs")?),
            ("SYNC", Some(_)) => return Err("SYNC inside a batch".into()),
            (kind, None) => return Err(format!("{kind} outside a batch")),
            ("OVER_TO_YOU", Some(now)) => {
                let mut touched = std::mem::take(&mut self.touched);
                touched.sort_unstable();
                touched.dedup();
                for id in touched {
                    self.event(id, now, Event::BatchEnd, reply)?;
                }
                reply.extend_from_slice(b"{\"type\":\"READY\"}\n");
                self.now = None;
                return Ok(true);
            }
            ("LIST", Some(_)) => {
                let roster_id = line.roster_id.ok_or("LIST without rosterId")?;
                self.lists.insert(
                    roster_id,
                    Arc::new(line.elements.ok_or("LIST without elements")?),
                );
            }
            (_, Some(now)) => self.message(line, now, reply)?,
        }
        Ok(false)
    }

    fn message(&mut self, line: Line, now: u64, reply: &mut Vec<u8>) -> AdapterResult<()> {
        let kind = line.kind.as_ref();
        let id = line
            .dispatcher
            .ok_or_else(|| format!("{kind} without dispatcher"))?;
        match kind {
            "CONFIGURE" => {
                let setup = line.setup.ok_or("CONFIGURE without setup")?;
                let seed = line.rng_seed.ok_or("CONFIGURE without rngSeed")?;
                self.instances.insert(id, Instance::new(setup, seed, now));
                return Ok(());
            }
            "DOWN" => {
                self.instances.remove(&id);
                self.touched.retain(|&t| t != id);
                return Ok(());
            }
            _ => {}
        }
        let job = || {
            line.job
                .map(JobId)
                .ok_or_else(|| format!("{kind} without job"))
        };
        let attempt = || {
            line.round_no
                .ok_or_else(|| format!("{kind} without roundNo"))
        };
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(format!(
                "{kind} for dispatcher {id}, which was not configured"
            ));
        };
        let event = match kind {
            "DISCOVERY" => match line.scope.as_deref() {
                Some("Error") => Event::DiscoveryFailed,
                Some(scope @ ("Partial" | "Complete" | "Persisted")) => {
                    let roster_id = line.roster_id.ok_or("DISCOVERY without rosterId")?;
                    let list = self
                        .lists
                        .get(&roster_id)
                        .ok_or_else(|| format!("no LIST {roster_id}"))?;
                    let entries = list
                        .iter()
                        .map(|e| instance.entry(e))
                        .collect::<AdapterResult<Vec<_>>>()?;
                    Event::EndpointUpdate {
                        complete: scope != "Partial",
                        endpoints: entries,
                    }
                }
                other => return Err(format!("DISCOVERY with scope {other:?}")),
            },
            "KNOCK" => {
                let profile = line.profile.as_deref().ok_or("KNOCK without profile")?;
                let class = instance
                    .site
                    .classes
                    .find(profile)
                    .ok_or_else(|| format!("no class {profile}"))?;
                let tenant = line
                    .account
                    .as_ref()
                    .and_then(|a| a.as_str())
                    .and_then(|a| instance.site.tenants.find(a));
                let wait = line.expires_in_us.ok_or("KNOCK without expiresInUs")?;
                let hinted = line.attrs.is_none_or(|a| a & 1 != 0);
                Event::Arrived(Request {
                    job: job()?,
                    class: ClassId(class),
                    tenant: tenant.map(TenantId),
                    free_quota_share: None,
                    expires_in_us: wait.max(0) as u64,
                    expected_work_us: line
                        .weight_hint_us
                        .filter(|&h| hinted && h > 0.0)
                        .map(|h| h as u64),
                    slots: line.slots.unwrap_or(1.0),
                    affinity_key: line.target_key.as_deref().map(name_hash),
                })
            }
            "HEADERS" => Event::StreamBegan {
                job: job()?,
                attempt: attempt()?,
            },
            "STATUS_NOTE" => match line.what {
                Some(1) => Event::Started {
                    job: job()?,
                    attempt: attempt()?,
                },
                Some(2) => Event::Progress {
                    job: job()?,
                    attempt: attempt()?,
                    done: line.level.unwrap_or(0.0),
                },
                _ => return Ok(()), // status notes of unknown kinds are ignored
            },
            "OUTCOME" => Event::AttemptEnded(AttemptEnd {
                job: job()?,
                attempt: attempt()?,
                outcome: parse_outcome(
                    line.state_code
                        .as_deref()
                        .ok_or("OUTCOME without stateCode")?,
                )?,
                is_final: line.complete.unwrap_or(false),
                report: line.usage.as_ref().map(|u| instance.site.report(u)),
            }),
            "CLIENT_GONE" => Event::ClientGone { job: job()? },
            "TIMER" => match line.ctx.as_deref().ok_or("TIMER without ctx")?.parse() {
                Ok(token) => Event::Timer { token },
                Err(_) => return Ok(()), // not a token of this adapter
            },
            "CHECK_RESULT" => {
                let name = line
                    .worker
                    .as_deref()
                    .ok_or("CHECK_RESULT without worker")?;
                let Some(worker) = instance.site.workers.find(name) else {
                    return Ok(());
                };
                Event::ProbeEnded {
                    worker: WorkerId(worker),
                    answered: line.state_code.as_deref() == Some("delivered"),
                    report: line.usage.as_ref().map(|u| instance.site.report(u)),
                }
            }
            "MAIL" => Event::PeerMessage,
            other => return Err(format!("unknown message {other}")),
        };
        self.touched.push(id);
        self.event(id, now, event, reply)
    }

    fn event(&mut self, id: u64, now: u64, event: Event, reply: &mut Vec<u8>) -> AdapterResult<()> {
        let Some(instance) = self.instances.get_mut(&id) else {
            return Ok(());
        };
        instance.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            let dispatcher = id;
            let line = match action {
                Action::Send { job, worker } => Reply::Send {
                    dispatcher,
                    job: job.0,
                    worker: instance.site.workers.name(worker.0),
                },
                Action::Cancel { job, attempt } => Reply::Abandon {
                    dispatcher,
                    job: job.0,
                    round_no: attempt,
                },
                Action::Reject {
                    job,
                    retry_after_us: hold_off_us,
                } => Reply::Deny {
                    dispatcher,
                    job: job.0,
                    hold_off_us,
                },
                Action::Fail { job } => Reply::GiveUp {
                    dispatcher,
                    job: job.0,
                },
                Action::Schedule {
                    delay_us: wait_us,
                    token,
                } => Reply::Schedule {
                    dispatcher,
                    wait_us,
                    ctx: token.to_string(),
                },
                Action::Probe { worker } => Reply::AskLoad {
                    dispatcher,
                    worker: instance.site.workers.name(worker.0),
                },
                Action::Subscribe => Reply::Listen {
                    dispatcher,
                    want: true,
                },
            };
            serde_json::to_writer(&mut *reply, &line).map_err(|e| e.to_string())?;
            reply.push(b'\n');
        }
        Ok(())
    }
}

fn parse_outcome(text: &str) -> AdapterResult<AttemptOutcome> {
    Ok(match text {
        "delivered" => AttemptOutcome::Succeeded,
        "app_error" => AttemptOutcome::WorkerError,
        "shed" => AttemptOutcome::Shed,
        "expired" => AttemptOutcome::TimedOut,
        "dial_failed" => AttemptOutcome::ConnectFailed,
        "dropped" => AttemptOutcome::ConnectionLost,
        "revoked" => AttemptOutcome::Cancelled,
        "unused" => AttemptOutcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}
