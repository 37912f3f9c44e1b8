//! Connects the dispatcher core to the ledger. Final answers become ledger entries, and are released once the
//! writer reports the entries as durable.
//!
//! The decisions are made in `streamusher_ledger::gate`. Only the writer's thread accesses the disk.

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
use streamusher_ledger::gate::{BookingDecision, Gate};
use streamusher_ledger::store::Options;
use streamusher_ledger::writer::{ClosingRules, Record, Writer, WriterEvent};

/// Maximum number of entries that wait to be written, about 6 MB of memory.
const MAX_WAITING_ENTRIES: usize = 16_384;
/// Tenant name for operations if no tenants are configured.
const UNASSIGNED_TENANT: &str = "unassigned";

/// Records final answers in a ledger.
pub(crate) struct Billing {
    gate: RefCell<Gate>,
    writer: RefCell<Option<Writer>>,
    key: [u8; 32],
    /// Class names by class number. Names of classes added at run time are appended when an entry of such a
    /// class is first booked.
    classes: RefCell<Vec<Arc<str>>>,
    hub: std::rc::Weak<Hub>,
    /// Number that the core assigned to this usage recorder.
    number: std::cell::Cell<usize>,
    unassigned: Arc<str>,
    log: Logger,
}

/// Returns the system clock's Unix time in microseconds. Entries are booked by this clock, which may step.
pub(crate) fn unix_time_us() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_micros() as Micros)
}

/// Opens the ledger and registers it with the core, which from then on records all final answers in it.
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
        max_bytes: (config.max_mb > 0).then_some(config.max_mb << 20),
    };
    let closing = ClosingRules {
        lateness_us: config.lateness_s * 1_000_000,
        doubts: config.doubts.settlement(),
    };
    let (sender, events) = async_channel::unbounded();
    let send_event = move |event| drop(sender.try_send(event)); // the receiver is dropped when the event loop ends
    let writer = Writer::start(options, closing, unix_time_us, send_event);
    let writer = writer.map_err(|error| format!("[ledger]: no thread for it: {error}"))?;
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
    let (event_hub, receiver) = (hub.clone(), billing.clone());
    hub.spawn(async move {
        while let Ok(event) = events.recv().await {
            receiver.on_writer_event(&event_hub, event);
        }
    });
    Ok(billing)
}

impl Billing {
    fn on_writer_event(&self, hub: &Hub, event: WriterEvent) {
        match event {
            WriterEvent::Opened { epoch } => {
                self.gate.borrow_mut().on_opened();
                info!(self.log, "the ledger is open"; "epoch" => epoch);
            }
            WriterEvent::Durable { up_to, entries } => self.on_durable(hub, up_to, entries),
            WriterEvent::Failed(why) => self.on_failed(hub, &why),
            WriterEvent::Closed(closed) => {
                for closed in closed {
                    info!(self.log, "closed a ledger period"; "period" => %closed.period);
                }
            }
        }
    }

    fn on_durable(&self, hub: &Hub, up_to: u64, entries: usize) {
        let was_trusted = self.gate.borrow().is_trusted();
        self.gate.borrow_mut().on_durable(up_to, entries);
        if !was_trusted {
            info!(self.log, "the ledger is written again"; "upto" => up_to);
        }
        hub.with(|core, _| core.on_durable(self.number.get(), up_to));
    }

    fn on_failed(&self, hub: &Hub, why: &str) {
        self.gate.borrow_mut().on_failed();
        warn!(self.log, "the ledger cannot be written"; "why" => why);
        if self.gate.borrow().releases_unbooked() {
            hub.with(|core, _| core.expire_held_answers(self.number.get()));
        }
    }

    /// Writes all booked entries, as far as the disk allows, and stops the writer. Later entries are
    /// discarded.
    pub(crate) fn shutdown(&self) {
        drop(self.writer.borrow_mut().take());
    }

    fn write(&self, record: Record) {
        if let Some(writer) = self.writer.borrow().as_ref() {
            writer.write(record);
        }
    }
}

impl Billing {
    /// Whether an answer may be released although it is not booked. Only results are billed, so all other
    /// answers may always be released.
    fn may_release(&self, outcome: OperationOutcome) -> bool {
        outcome != OperationOutcome::Served || self.gate.borrow().releases_unbooked()
    }

    fn class(&self, number: usize) -> Arc<str> {
        let mut classes = self.classes.borrow_mut();
        if let Some(hub) = self.hub.upgrade().filter(|_| classes.len() <= number) {
            let class_infos = hub.classes.borrow();
            let known = classes.len().min(class_infos.len());
            classes.extend(
                class_infos[known..]
                    .iter()
                    .map(|c| Arc::from(c.name.as_str())),
            );
        }
        classes
            .get(number)
            .cloned()
            .unwrap_or_else(|| Arc::from("?"))
    }
}

impl UsageRecorder for Billing {
    fn accepts_operations(&self) -> bool {
        self.gate.borrow().accepts_work()
    }

    fn record(&self, now: Micros, deadline: Micros, usage: &UsageRecord) -> RecordStatus {
        let decision = self.gate.borrow_mut().book(now, deadline);
        let (seq, until) = match decision {
            BookingDecision::Hold { seq, until } => (seq, until),
            BookingDecision::Unbooked if self.may_release(usage.outcome) => {
                return RecordStatus::Unbooked
            }
            BookingDecision::Unbooked => return RecordStatus::Refused,
        };
        self.write(Record::Entry(Entry {
            seq,
            time_us: unix_time_us(),
            operation: usage.operation.to_string(),
            tenant: usage.tenant.unwrap_or(&self.unassigned).clone(),
            class: self.class(usage.class.0 as usize),
            answer: match usage.outcome {
                OperationOutcome::Served => Answer::Served,
                OperationOutcome::Busy => Answer::Busy,
                OperationOutcome::Failed => Answer::Failed,
                OperationOutcome::Gone => Answer::Gone,
            },
            joined: usage.joined,
            slots_milli: (usage.slots * 1_000.0).round() as u32, // out-of-range values saturate
            run_us: usage.run_us,
            wasted_us: usage.wasted_us,
            attempts: usage.attempts,
            key: usage.idempotency_key.map(|k| key_hash(&self.key, k)),
        }));
        RecordStatus::Hold { number: seq, until }
    }

    fn on_overdue(&self, number: u64, outcome: OperationOutcome) -> OverdueAction {
        let is_late = self.gate.borrow_mut().on_overdue(number);
        if is_late && !self.may_release(outcome) {
            warn!(self.log, "withheld a result that could not be booked in time"; "number" => number);
            return OverdueAction::Withhold;
        }
        if is_late {
            warn!(self.log, "an answer went out before it was known to be booked"; "number" => number);
        }
        OverdueAction::Release
    }

    fn written(&self, number: u64, complete: bool) {
        self.write(if complete {
            Record::Written(number)
        } else {
            Record::Undelivered(number)
        });
    }
}
