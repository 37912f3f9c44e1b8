//! The ledger beside the core: final answers become entries, and are released once the writer reports these as durable.
//!
//! All that is decided stands in `streamusher_ledger::gate`; the disk is touched on the writer's thread alone.

use crate::config::operators::LedgerConfig;
use crate::core::{OperationOutcome, OverdueAction, RecordStatus, UsageRecord, UsageRecorder};
use crate::interface::Micros;
use crate::runtime::Hub;
use slog::{info, warn, Logger};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use streamusher_ledger::entry::{key_hash, Answer, Entry};
use streamusher_ledger::gate::{Gate, Verdict};
use streamusher_ledger::store::Options;
use streamusher_ledger::writer::{ClosingRules, Record, Writer, WriterEvent};

/// Entries that may wait to be written: some 6 MB.
const MAX_WAITING_ENTRIES: usize = 16_384;
/// Under which name operations are booked where no tenants are listed.
const UNASSIGNED_TENANT: &str = "unassigned";

/// Books final answers in a ledger.
pub(crate) struct Billing {
    gate: RefCell<Gate>,
    writer: RefCell<Option<Writer>>,
    key: [u8; 32],
    /// Class names by number; those that a retuning adds are named as they are first booked.
    classes: RefCell<Vec<Arc<str>>>,
    hub: std::rc::Weak<Hub>,
    /// Which of the core's bookkeepers it is.
    number: std::cell::Cell<usize>,
    unassigned: Arc<str>,
    log: Logger,
}

/// Unix time by the system's clock, in microseconds. Entries are booked by it, and it may step.
pub(crate) fn wall() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as Micros)
}

/// Has all final answers booked from now on.
pub(crate) fn attach(
    hub: &Rc<Hub>,
    config: LedgerConfig,
    name: &str,
) -> Result<Rc<Billing>, String> {
    let instance = config.instance.clone().unwrap_or_else(|| name.to_string());
    crate::config::operators::check_instance(&instance)?;
    let key = config.key(true)?;
    let options = Options {
        dir: config.dir.clone(),
        instance,
        span: config.period,
        key,
        most_bytes: (config.max_mb > 0).then_some(config.max_mb << 20),
    };
    let closing = ClosingRules {
        lateness_us: config.lateness_s * 1_000_000,
        doubts: config.doubts.settlement(),
    };
    let (sender, events) = async_channel::unbounded();
    let send_event = move |event| drop(sender.try_send(event)); // nobody listens once the event loop has ended
    let writer = Writer::start(options, closing, wall, send_event);
    let writer = writer.map_err(|e| format!("[ledger]: no thread for it: {e}"))?;
    let billing = Rc::new(Billing {
        gate: RefCell::new(Gate::new(
            config.on_failure,
            config.hold_ms * 1_000,
            MAX_WAITING_ENTRIES,
        )),
        writer: RefCell::new(Some(writer)),
        key,
        classes: RefCell::new(
            hub.classes
                .borrow()
                .iter()
                .map(|c| Arc::from(c.name.as_str()))
                .collect(),
        ),
        hub: Rc::downgrade(hub),
        number: std::cell::Cell::new(0),
        unassigned: Arc::from(UNASSIGNED_TENANT),
        log: hub.log.clone(),
    });
    billing
        .number
        .set(hub.with(|core, _| core.attach_recorder(billing.clone())));
    let (listening, receiver) = (hub.clone(), billing.clone());
    hub.spawn(async move {
        while let Ok(event) = events.recv().await {
            receiver.on_writer_event(&listening, event);
        }
    });
    Ok(billing)
}

impl Billing {
    fn on_writer_event(&self, hub: &Hub, event: WriterEvent) {
        match event {
            WriterEvent::Opened { epoch } => {
                self.gate.borrow_mut().works();
                info!(self.log, "the ledger is open"; "epoch" => epoch);
            }
            WriterEvent::Durable { upto, entries } => self.on_durable(hub, upto, entries),
            WriterEvent::Failed(why) => self.on_failed(hub, &why),
            WriterEvent::Closed(closed) => {
                for closed in closed {
                    info!(self.log, "a period was closed"; "period" => %closed.period);
                }
            }
        }
    }

    fn on_durable(&self, hub: &Hub, upto: u64, entries: usize) {
        let was_trusted = self.gate.borrow().is_trusted();
        self.gate.borrow_mut().durable(upto, entries);
        if !was_trusted {
            info!(self.log, "the ledger is written again"; "upto" => upto);
        }
        hub.with(|core, _| core.on_durable(self.number.get(), upto));
    }

    fn on_failed(&self, hub: &Hub, why: &str) {
        self.gate.borrow_mut().failed();
        warn!(self.log, "the ledger cannot be written"; "why" => why);
        if self.gate.borrow().releases_unbooked() {
            hub.with(|core, _| core.expire_held_answers(self.number.get()));
        }
    }

    /// Has all that was booked written, as far as the disk allows. Nothing is booked after it.
    pub(crate) fn end(&self) {
        drop(self.writer.borrow_mut().take());
    }

    fn write(&self, record: Record) {
        if let Some(writer) = self.writer.borrow().as_ref() {
            writer.write(record);
        }
    }
}

impl Billing {
    /// Whether an answer may go out that is not booked. Only results are billed.
    fn may_release(&self, ended: OperationOutcome) -> bool {
        ended != OperationOutcome::Served || self.gate.borrow().releases_unbooked()
    }

    fn class(&self, number: usize) -> Arc<str> {
        let mut classes = self.classes.borrow_mut();
        if let Some(hub) = self.hub.upgrade().filter(|_| classes.len() <= number) {
            let infos = hub.classes.borrow();
            let known = classes.len().min(infos.len());
            classes.extend(infos[known..].iter().map(|c| Arc::from(c.name.as_str())));
        }
        classes
            .get(number)
            .cloned()
            .unwrap_or_else(|| Arc::from("?"))
    }
}

impl UsageRecorder for Billing {
    fn accepts_operations(&self) -> bool {
        self.gate.borrow().takes_work()
    }

    fn record(&self, now: Micros, by: Micros, account: &UsageRecord) -> RecordStatus {
        let verdict = self.gate.borrow_mut().book(now, by);
        let (seq, until) = match verdict {
            Verdict::Hold { seq, until } => (seq, until),
            Verdict::Unbooked if self.may_release(account.outcome) => {
                return RecordStatus::Unbooked
            }
            Verdict::Unbooked => return RecordStatus::Refused,
        };
        self.write(Record::Entry(Entry {
            seq,
            time_us: wall(),
            operation: account.operation.to_string(),
            tenant: account.tenant.unwrap_or(&self.unassigned).clone(),
            class: self.class(account.class.0 as usize),
            answer: match account.outcome {
                OperationOutcome::Served => Answer::Served,
                OperationOutcome::Busy => Answer::Busy,
                OperationOutcome::Failed => Answer::Failed,
                OperationOutcome::Gone => Answer::Gone,
            },
            joined: account.joined,
            slots_milli: (account.slots * 1_000.0).round() as u32, // saturates
            run_us: account.run_us,
            wasted_us: account.wasted_us,
            attempts: account.attempts,
            key: account.idempotency_key.map(|k| key_hash(&self.key, k)),
        }));
        RecordStatus::Hold { number: seq, until }
    }

    fn on_overdue(&self, number: u64, ended: OperationOutcome) -> OverdueAction {
        let is_late = self.gate.borrow_mut().overdue(number);
        if is_late && !self.may_release(ended) {
            warn!(self.log, "a result was withheld: it could not be booked in time"; "number" => number);
            return OverdueAction::Withhold;
        }
        if is_late {
            warn!(self.log, "an answer went out before it was known to be booked"; "number" => number);
        }
        OverdueAction::Release
    }

    fn written(&self, number: u64, whole: bool) {
        self.write(if whole {
            Record::Written(number)
        } else {
            Record::Broke(number)
        });
    }
}
