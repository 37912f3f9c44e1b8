//! Tests of the core, in virtual time, with usage recorders that do not make a record durable in time:
//! whether the result is released or withheld.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use streamusher::core::{
    Answer, Core, Driver, Front, Operation, OperationOutcome, OverdueAction, PoolMember, Receipt,
    RecordStatus, StepEvent, StepId, StepOutcome, UsageRecord, UsageRecorder,
};
use streamusher::interface::{Micros, WorkerId};

const SETTINGS: &str = r#"{"myZone": "pump-house", "zones": ["pump-house"], "limits": {"maxAttempts": 2},
    "requestClasses": [{"name": "depth-log", "semantics": "free", "onTimeUs": 300000, "deadlineUs": 5000000}]}"#;
const CLIENT_DEADLINE: Micros = 5_000_000;
const HOLD_LIMIT: Micros = 3_000_000;

#[derive(Default)]
struct RecordingFront(RefCell<Vec<Answer>>);

impl Front for RecordingFront {
    fn answer(&self, _ticket: u64, answer: &Answer, receipt: Receipt) {
        self.0.borrow_mut().push(answer.clone());
        receipt.written();
    }
}

#[derive(Default)]
struct RecordingDriver(RefCell<Vec<StepId>>);

impl Driver for RecordingDriver {
    fn send(&self, step: StepId, _: &Arc<Operation>, _: &PoolMember, _left_us: Micros) {
        self.0.borrow_mut().push(step);
    }
    fn cancel(&self, _: StepId, _: &Arc<Operation>, _: &PoolMember) {}
    fn probe(&self, _: WorkerId, _: &PoolMember) {}
}

/// Usage recorder that assigns consecutive record numbers and stores each `written` notification.
struct TestRecorder {
    overdue: OverdueAction,
    has_capacity: bool,
    last: Cell<u64>,
    written: RefCell<Vec<(u64, bool)>>,
}

impl TestRecorder {
    fn new(overdue: OverdueAction, has_capacity: bool) -> Rc<TestRecorder> {
        Rc::new(TestRecorder {
            overdue,
            has_capacity,
            last: Cell::new(0),
            written: RefCell::default(),
        })
    }
}

impl UsageRecorder for TestRecorder {
    fn accepts_operations(&self) -> bool {
        true
    }
    fn record(&self, now: Micros, by: Micros, _: &UsageRecord) -> RecordStatus {
        if !self.has_capacity {
            return RecordStatus::Refused;
        }
        self.last.set(self.last.get() + 1);
        RecordStatus::Hold {
            number: self.last.get(),
            until: by.min(now + HOLD_LIMIT),
        }
    }
    fn on_overdue(&self, _number: u64, ended: OperationOutcome) -> OverdueAction {
        assert_eq!(ended, OperationOutcome::Served);
        self.overdue
    }
    fn written(&self, number: u64, whole: bool) {
        self.written.borrow_mut().push((number, whole));
    }
}

struct Fixture {
    core: Core,
    answers: Rc<RecordingFront>,
}

/// Returns a core whose only operation has been served at time 0.
fn core_with_served_operation(recorder: &[&Rc<TestRecorder>]) -> Fixture {
    let mut core = Core::from_settings(SETTINGS.as_bytes(), 42, 0).unwrap();
    for recorder in recorder {
        core.attach_recorder((*recorder).clone());
    }
    let (answers, steps) = (
        Rc::new(RecordingFront::default()),
        Rc::new(RecordingDriver::default()),
    );
    let driver = core.attach_driver(steps.clone());
    let worker = PoolMember {
        name: "s-1".into(),
        zone: "pump-house".into(),
        weight: 1.0,
        ..PoolMember::default()
    };
    core.pool_config(driver, true, vec![worker]);
    let operation = Operation {
        id: "a1".into(),
        class: core.class("depth-log").unwrap(),
        slots: 1.0,
        remaining_us: CLIENT_DEADLINE,
        ..Operation::default()
    };
    core.submit(0, operation, answers.clone(), 0).unwrap();
    core.turn(0);
    let step = steps.0.borrow()[0];
    let served_answer = StepOutcome::Served(Arc::from(*b"log"));
    core.step_event(step, StepEvent::Ended(served_answer, None));
    core.turn(0);
    Fixture { core, answers }
}

fn served_answer() -> Answer {
    Answer::Served(Arc::from(*b"log"))
}

/// Guards against a result that is sent when its hold expires without a durable record, so that the record is
/// lost if the process ends.
#[test]
fn result_without_durable_record_in_time_is_withheld_and_reported_as_not_written() {
    let (ledger, tally) = (
        TestRecorder::new(OverdueAction::Withhold, true),
        TestRecorder::new(OverdueAction::Release, true),
    );
    let mut fixture = core_with_served_operation(&[&tally, &ledger]);
    fixture.core.on_durable(0, 1);
    fixture.core.turn(HOLD_LIMIT - 1);
    assert_eq!(*fixture.answers.0.borrow(), []);
    fixture.core.turn(HOLD_LIMIT);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
    assert_eq!(*ledger.written.borrow(), [(1, false)]);
    assert_eq!(*tally.written.borrow(), [(1, false)]);
    fixture.core.on_durable(1, 1);
    fixture.core.turn(CLIENT_DEADLINE);
    assert_eq!(fixture.answers.0.borrow().len(), 1, "answered once");
    assert_eq!(fixture.core.unanswered(), 0);
}

#[test]
fn result_is_released_at_hold_limit_if_its_recorder_allows_it() {
    let recorder = TestRecorder::new(OverdueAction::Release, true);
    let mut fixture = core_with_served_operation(&[&recorder]);
    fixture.core.turn(HOLD_LIMIT);
    assert_eq!(*fixture.answers.0.borrow(), [served_answer()]);
    assert_eq!(*recorder.written.borrow(), [(1, true)]);
}

/// Guards against a result that is sent without any record because the recorder's queue is full.
#[test]
fn result_refused_by_a_recorder_is_withheld_at_once() {
    let (full, tally) = (
        TestRecorder::new(OverdueAction::Withhold, false),
        TestRecorder::new(OverdueAction::Release, true),
    );
    let fixture = core_with_served_operation(&[&tally, &full]);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
    assert_eq!(*tally.written.borrow(), [(1, false)]);
}

#[test]
fn result_is_withheld_once_its_recorder_expires_held_answers() {
    let (ledger, tally) = (
        TestRecorder::new(OverdueAction::Withhold, true),
        TestRecorder::new(OverdueAction::Release, true),
    );
    let mut fixture = core_with_served_operation(&[&tally, &ledger]);
    fixture.core.expire_held_answers(0);
    assert_eq!(
        *fixture.answers.0.borrow(),
        [],
        "the ledger may still make the record durable"
    );
    fixture.core.expire_held_answers(1);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
}

/// Guards against a shutdown that leaves a client without an answer because its result waits for a stalled
/// disk.
#[test]
fn result_waiting_for_its_record_is_answered_by_the_shutdown_deadline() {
    let recorder = TestRecorder::new(OverdueAction::Withhold, true);
    let mut fixture = core_with_served_operation(&[&recorder]);
    let shutdown_deadline = HOLD_LIMIT / 3;
    fixture.core.answer_all_by(shutdown_deadline);
    fixture.core.turn(shutdown_deadline - 1);
    assert_eq!(*fixture.answers.0.borrow(), []);
    fixture.core.turn(HOLD_LIMIT / 2);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
    assert_eq!(fixture.core.unanswered(), 0);
}
