//! The core with bookkeepers that cannot book in time: what becomes of a result, in virtual time.

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
const CLIENT_TIME: Micros = 5_000_000;
const HOLD: Micros = 3_000_000;

#[derive(Default)]
struct Answers(RefCell<Vec<Answer>>);

impl Front for Answers {
    fn answer(&self, _ticket: u64, answer: &Answer, receipt: Receipt) {
        self.0.borrow_mut().push(answer.clone());
        receipt.written();
    }
}

#[derive(Default)]
struct Steps(RefCell<Vec<StepId>>);

impl Driver for Steps {
    fn send(&self, step: StepId, _: &Arc<Operation>, _: &PoolMember, _left_us: Micros) {
        self.0.borrow_mut().push(step);
    }
    fn cancel(&self, _: StepId, _: &Arc<Operation>, _: &PoolMember) {}
    fn probe(&self, _: WorkerId, _: &PoolMember) {}
}

/// Books under one number after the other, and notes what it is told of each.
struct Books {
    overdue: OverdueAction,
    has_room: bool,
    last: Cell<u64>,
    written: RefCell<Vec<(u64, bool)>>,
}

impl Books {
    fn new(overdue: OverdueAction, has_room: bool) -> Rc<Books> {
        Rc::new(Books {
            overdue,
            has_room,
            last: Cell::new(0),
            written: RefCell::default(),
        })
    }
}

impl UsageRecorder for Books {
    fn accepts_operations(&self) -> bool {
        true
    }
    fn record(&self, now: Micros, by: Micros, _: &UsageRecord) -> RecordStatus {
        if !self.has_room {
            return RecordStatus::Refused;
        }
        self.last.set(self.last.get() + 1);
        RecordStatus::Hold {
            number: self.last.get(),
            until: by.min(now + HOLD),
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
    answers: Rc<Answers>,
}

/// A core whose one operation has just been served at time 0.
fn served(books: &[&Rc<Books>]) -> Fixture {
    let mut core = Core::from_settings(SETTINGS.as_bytes(), 42, 0).unwrap();
    for books in books {
        core.attach_recorder((*books).clone());
    }
    let (answers, steps) = (Rc::new(Answers::default()), Rc::new(Steps::default()));
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
        remaining_us: CLIENT_TIME,
        ..Operation::default()
    };
    core.submit(0, operation, answers.clone(), 0).unwrap();
    core.turn(0);
    let step = steps.0.borrow()[0];
    let result = StepOutcome::Served(Arc::from(*b"log"));
    core.step_event(step, StepEvent::Ended(result, None));
    core.turn(0);
    Fixture { core, answers }
}

fn result() -> Answer {
    Answer::Served(Arc::from(*b"log"))
}

/// Guards against a result that goes out when its hold is over, and is lost with the process.
#[test]
fn result_that_is_not_booked_in_time_is_withheld_and_told_as_not_written() {
    let (ledger, tally) = (
        Books::new(OverdueAction::Withhold, true),
        Books::new(OverdueAction::Release, true),
    );
    let mut fixture = served(&[&tally, &ledger]);
    fixture.core.on_durable(0, 1);
    fixture.core.turn(HOLD - 1);
    assert_eq!(*fixture.answers.0.borrow(), []);
    fixture.core.turn(HOLD);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
    assert_eq!(*ledger.written.borrow(), [(1, false)]);
    assert_eq!(*tally.written.borrow(), [(1, false)]);
    fixture.core.on_durable(1, 1);
    fixture.core.turn(CLIENT_TIME);
    assert_eq!(fixture.answers.0.borrow().len(), 1, "answered once");
    assert_eq!(fixture.core.unanswered(), 0);
}

#[test]
fn result_goes_out_in_time_where_its_bookkeeper_allows_it() {
    let books = Books::new(OverdueAction::Release, true);
    let mut fixture = served(&[&books]);
    fixture.core.turn(HOLD);
    assert_eq!(*fixture.answers.0.borrow(), [result()]);
    assert_eq!(*books.written.borrow(), [(1, true)]);
}

/// Guards against a result that goes out without any entry, as too many wait.
#[test]
fn result_that_a_bookkeeper_refuses_is_withheld_at_once() {
    let (full, tally) = (
        Books::new(OverdueAction::Withhold, false),
        Books::new(OverdueAction::Release, true),
    );
    let fixture = served(&[&tally, &full]);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
    assert_eq!(*tally.written.borrow(), [(1, false)]);
}

#[test]
fn result_is_withheld_once_its_bookkeeper_gives_up_and_the_others_no_longer_count() {
    let (ledger, tally) = (
        Books::new(OverdueAction::Withhold, true),
        Books::new(OverdueAction::Release, true),
    );
    let mut fixture = served(&[&tally, &ledger]);
    fixture.core.expire_held_answers(0);
    assert_eq!(
        *fixture.answers.0.borrow(),
        [],
        "the ledger may have it yet"
    );
    fixture.core.expire_held_answers(1);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
}

/// Guards against a stop that leaves a client without any answer, as its result waits for a disk that stands still.
#[test]
fn result_that_waits_for_its_entry_is_answered_by_the_last_call() {
    let books = Books::new(OverdueAction::Withhold, true);
    let mut fixture = served(&[&books]);
    let last_call = HOLD / 3;
    fixture.core.answer_all_by(last_call);
    fixture.core.turn(last_call - 1);
    assert_eq!(*fixture.answers.0.borrow(), []);
    fixture.core.turn(HOLD / 2);
    assert_eq!(*fixture.answers.0.borrow(), [Answer::Withheld]);
    assert_eq!(fixture.core.unanswered(), 0);
}
