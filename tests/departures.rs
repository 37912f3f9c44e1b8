//! The core alone, told the time: a client's departure falls into the same turn as all else that may begin an attempt.
//! And the close of a connection, as a machine.

use rstest::rstest;
use std::{cell::RefCell, rc::Rc, sync::Arc};
use streamusher::closing::Closing;
use streamusher::core::*;
use streamusher::interface::{Micros, WorkerId};

#[derive(Default)]
struct Desk(RefCell<Vec<Answer>>);

impl Front for Desk {
    fn answer(&self, _: u64, answer: &Answer, receipt: Receipt) {
        receipt.written();
        self.0.borrow_mut().push(answer.clone());
    }
}

#[derive(Default)]
struct Runner {
    sent: RefCell<Vec<StepId>>,
    workers: RefCell<Vec<String>>,
    cancelled: RefCell<Vec<StepId>>,
}

impl Driver for Runner {
    fn send(&self, step: StepId, _: &Arc<Operation>, worker: &PoolMember, _: Micros) {
        self.sent.borrow_mut().push(step);
        self.workers.borrow_mut().push(worker.name.clone());
    }
    fn cancel(&self, step: StepId, _: &Arc<Operation>, _: &PoolMember) {
        self.cancelled.borrow_mut().push(step);
    }
    fn probe(&self, _: WorkerId, _: &PoolMember) {}
}

struct Site {
    core: Core,
    desk: Rc<Desk>,
    runner: Rc<Runner>,
    driver: usize,
}

/// A site of so many workers; `semantics` of its one class, and whether cancels may be sent.
fn site(workers: usize, semantics: &str, cancel: bool) -> Site {
    let settings = format!(
        r#"{{"myZone": "z", "zones": ["z"], "tickUs": 5000, "familyInfo": {{"tellsStart": true}},
        "limits": {{"maxAttempts": 4, "cancel": {cancel}, "mayDuplicate": true, "maxOpen": 100}},
        "requestClasses": [{{"name": "c", "semantics": "{semantics}", "keyScope": "all", "windowUs": 400000,
            "onTimeUs": 300000, "deadlineUs": 5000000}}]}}"#
    );
    let mut core = Core::from_settings(settings.as_bytes(), 42, 0).expect("settings");
    let (desk, runner) = (Rc::new(Desk::default()), Rc::new(Runner::default()));
    let driver = core.attach_driver(runner.clone());
    let member = |n| PoolMember {
        name: format!("s-{n}"),
        zone: "z".into(),
        weight: 1.0,
        ..PoolMember::default()
    };
    core.pool_config(driver, true, (0..workers).map(member).collect());
    Site {
        core,
        desk,
        runner,
        driver,
    }
}

impl Site {
    fn submit(&mut self, now: Micros, id: &str) -> JobNo {
        let class = self.core.class("c").unwrap();
        let operation = Operation {
            id: id.into(),
            class,
            slots: 1.0,
            remaining_us: 5_000_000,
            ..Operation::default()
        };
        self.core
            .submit(now, operation, self.desk.clone(), 7)
            .expect("taken")
    }

    fn gone(&mut self, now: Micros, job: JobNo) {
        let front: Rc<dyn Front> = self.desk.clone();
        self.core.client_disconnected(now, job, &front, 7);
    }
}

type JobNo = streamusher::interface::JobId;

/// What falls into the same turn as the departure.
#[derive(Clone, Copy, Debug)]
enum With {
    Nothing,
    Start,
    Rejected,
    Failed,
    NotConnected,
    Served,
    RetryTimer,
    Deadline,
}

/// Guards against an attempt that begins because of what came in the moment in which its client went, whichever of the two
/// is told first; and against a leaving that counts twice, or is answered.
#[rstest]
fn a_departure_begins_nothing_in_its_turn(
    #[values(
        With::Nothing,
        With::Start,
        With::Rejected,
        With::Failed,
        With::NotConnected,
        With::Served,
        With::RetryTimer,
        With::Deadline
    )]
    with: With,
    #[values(true, false)] departure_first: bool,
    #[values("free", "guarded", "single_shot")] semantics: &str,
    #[values(true, false)] cancel: bool,
) {
    let mut s = site(6, semantics, cancel);
    let job = s.submit(1_000, "a1");
    s.core.turn(1_000);
    let first = s.runner.sent.borrow()[0];
    let mut now = 2_000;
    if departure_first {
        s.gone(now, job);
    }
    match with {
        With::Nothing => {}
        With::Start => s.core.step_event(first, StepEvent::Started),
        With::Rejected => s
            .core
            .step_event(first, StepEvent::Ended(StepOutcome::Rejected, None)),
        With::Failed => s
            .core
            .step_event(first, StepEvent::Ended(StepOutcome::WorkerFailed, None)),
        With::NotConnected => s
            .core
            .step_event(first, StepEvent::Ended(StepOutcome::ConnectRefused, None)),
        With::Served => s.core.step_event(
            first,
            StepEvent::Ended(StepOutcome::Served(Arc::from(*b"log")), None),
        ),
        With::RetryTimer => now = s.core.next_due().expect("a timer"),
        With::Deadline => now = 5_000_000,
    }
    if !departure_first {
        s.gone(now, job);
    }
    let before = s.runner.sent.borrow().len();
    s.core.turn(now);
    assert_eq!(
        s.core.may_begin(now, first),
        None,
        "its connection may come up later"
    );
    for later in 1..=200 {
        s.core.turn(now + later * 50_000);
    }
    assert_eq!(
        s.runner.sent.borrow().len(),
        before,
        "an attempt for a client that has gone"
    );
    assert!(
        s.desk.0.borrow().is_empty(),
        "an answer to nobody: {:?}",
        s.desk.0.borrow()
    );
    assert_eq!((s.core.counters.clients_gone, s.core.unanswered()), (1, 0));
    let sent = s.runner.sent.borrow();
    let cancelled = s.runner.cancelled.borrow();
    assert!(
        cancelled.iter().all(|c| sent.contains(c)),
        "a cancel of what no driver was given"
    );
}

/// Guards against a waiting operation that keeps its place after its client went: nothing is left of it, and when a worker
/// comes it gets nothing.
#[test]
fn a_waiting_operation_leaves_at_once() {
    let mut s = site(0, "free", true);
    let job = s.submit(1_000, "a1");
    s.core.turn(1_000);
    assert_eq!(s.core.unanswered(), 1);
    s.gone(2_000, job);
    s.core.turn(2_000);
    assert_eq!(s.core.unanswered(), 0);
    let late = PoolMember {
        name: "s-1".into(),
        zone: "z".into(),
        weight: 1.0,
        ..PoolMember::default()
    };
    s.core.pool_config(s.driver, false, vec![late]);
    (0..100).for_each(|n| s.core.turn(3_000 + n * 50_000));
    assert!(s.runner.sent.borrow().is_empty());
    assert_eq!(s.core.counters.clients_gone, 1);
    s.submit(9_000_000, "a1"); // the id is free again
}

/// Guards against an operation that comes in at its deadline, or at a stop's last call, and is failed although nothing of it
/// has run: it is refused, and its client may ask again.
#[rstest]
fn an_operation_that_comes_in_at_its_deadline_is_refused(#[values(0, 1, 3)] workers: usize) {
    let mut s = site(workers, "single_shot", true);
    s.core.turn(900);
    let class = s.core.class("c").unwrap();
    let late = Operation {
        id: "a1".into(),
        class,
        slots: 1.0,
        remaining_us: 25_001,
        ..Operation::default()
    };
    s.core
        .submit(1_000, late, s.desk.clone(), 7)
        .expect("taken");
    s.core.turn(1_020);
    assert!(
        matches!(s.desk.0.borrow()[..], [Answer::Busy { .. }]),
        "{:?}",
        s.desk.0.borrow()
    );
    assert!(s.runner.sent.borrow().is_empty());
}

/// What a connection that comes up late may begin, by what became known meanwhile.
#[rstest]
#[case::nothing("free", None, 100_000, true)]
#[case::the_worker_drains("free", Some((EndpointState::Draining, 0)), 100_000, false)]
#[case::the_worker_is_gone("guarded", Some((EndpointState::Gone, 0)), 100_000, false)]
#[case::another_life("free", Some((EndpointState::Ready, 50_000)), 100_000, false)]
#[case::its_own_window_is_its_own("guarded", None, 900_000, true)]
#[case::the_time_is_up("free", None, 4_990_000, false)]
fn a_late_connection_asks_whether_it_may_begin(
    #[case] semantics: &str,
    #[case] change: Option<(EndpointState, Micros)>,
    #[case] now: Micros,
    #[case] may: bool,
) {
    let mut s = site(1, semantics, true);
    s.submit(1_000, "a1");
    s.core.turn(1_000);
    let first = s.runner.sent.borrow()[0];
    assert_eq!(s.core.may_begin(1_000, first), Some(4_975_000));
    if let Some((stage, since)) = change {
        let known = PoolMember {
            name: "s-0".into(),
            zone: "z".into(),
            weight: 1.0,
            ..PoolMember::default()
        };
        s.core.pool_config(
            s.driver,
            false,
            vec![PoolMember {
                state: stage,
                started_at_us: since,
                ..known
            }],
        );
        s.core.turn(50_000);
    }
    assert_eq!(s.core.may_begin(now, first).is_some(), may);
}

/// The window of a key counts from the attempt before, which may have run.
#[rstest]
#[case(StepOutcome::ConnectionLostAfterSend, 399_000, true)]
#[case(StepOutcome::ConnectionLostAfterSend, 402_000, false)]
#[case(StepOutcome::Rejected, 402_000, true)]
fn a_late_connection_keeps_to_the_window(
    #[case] ending: StepOutcome,
    #[case] after: Micros,
    #[case] may: bool,
) {
    let mut s = site(6, "guarded", true);
    s.submit(1_000, "a1");
    s.core.turn(1_000);
    let first = s.runner.sent.borrow()[0];
    s.core.step_event(first, StepEvent::Ended(ending, None));
    s.core.turn(2_000);
    let again = *s.runner.sent.borrow().last().unwrap();
    assert_ne!(again, first);
    assert_eq!(s.core.may_begin(1_000 + after, again).is_some(), may);
}

/// A source that has told nothing yet.
#[derive(Default)]
struct Mute {
    spoken: std::cell::Cell<bool>,
    hurried: std::cell::Cell<u32>,
}

impl PoolSource for Mute {
    fn subscribe(&self) {}
    fn awaits_first_config(&self) -> bool {
        !self.spoken.get()
    }
    fn expedite(&self) {
        self.hurried.set(self.hurried.get() + 1);
    }
}

/// How the waiting for the first list ends.
#[derive(Clone, Copy, Debug)]
enum First {
    /// The list names another worker.
    Comes,
    /// It is not to be had.
    Fails,
    /// Nothing is heard.
    Never,
    /// The client goes.
    Gone,
}

/// Guards against work sent by an earlier life's list, and against operations that wait for one for ever, are sent twice,
/// or are begun for a client that went meanwhile.
#[rstest]
#[case(First::Comes, 2_000)]
#[case(First::Fails, 2_000)]
#[case(First::Never, 2_488_500)] // half of 5 s less what is kept back
#[case(First::Gone, 2_000)]
fn an_operation_waits_for_the_first_list(#[case] first: First, #[case] at: Micros) {
    let mut s = site(1, "free", true);
    let source = Rc::new(Mute::default());
    s.core.attach_source(source.clone());
    let job = s.submit(1_000, "a1");
    s.core.turn(1_000);
    s.core.turn(at - 1);
    assert!(
        s.runner.sent.borrow().is_empty(),
        "sent by the list of an earlier life"
    );
    assert_eq!(source.hurried.get(), 1);
    match first {
        First::Comes => {
            let new = PoolMember {
                name: "s-9".into(),
                zone: "z".into(),
                weight: 1.0,
                ..PoolMember::default()
            };
            s.core.pool_config(s.driver, true, vec![new]);
            source.spoken.set(true);
        }
        First::Fails => {
            s.core.pool_config_failed();
            source.spoken.set(true);
        }
        First::Never => {}
        First::Gone => {
            s.gone(at, job);
            source.spoken.set(true);
        }
    }
    s.core.turn(at);
    let sent = s.runner.sent.borrow().clone();
    let workers = s.runner.workers.borrow().clone();
    match first {
        First::Comes => assert_eq!(workers, ["s-9"]),
        First::Fails | First::Never => assert_eq!(workers, ["s-0"]),
        First::Gone => assert!(sent.is_empty()),
    }
    source.spoken.set(true);
    s.core.turn(at + 1);
    s.core.turn(3_000_000);
    assert_eq!(s.core.counters.operations, 1);
    assert!(
        s.runner
            .sent
            .borrow()
            .iter()
            .filter(|step| step.attempt == 0)
            .count()
            <= 1,
        "taken in twice"
    );
}

use streamusher::interface::EndpointState;

#[test]
fn a_close_tells_its_end_and_then_reads_for_a_bounded_time_and_length() {
    let told = Closing::graceful().shutdown_sent(5);
    let Closing::Draining { until, left } = told else {
        panic!("{told:?}")
    };
    assert!(until > 5 && left > 64 << 10);
    assert_eq!(told.no_data(until - 1), told);
    assert_eq!(told.no_data(until), Closing::Closed);
    assert_eq!(
        told.received(0),
        Closing::Closed,
        "the other side has ended"
    );
    assert_eq!(told.received(left), Closing::Closed, "a flood has an end");
    assert_eq!(
        told.received(1),
        Closing::Draining {
            until,
            left: left - 1
        }
    );
    // To make room nothing is waited for, but what has come is read.
    let room = Closing::immediate().shutdown_sent(5);
    assert!(matches!(
        room.received(100),
        Closing::Draining { until: 5, .. }
    ));
    assert_eq!(room.no_data(5), Closing::Closed);
    assert_eq!(
        Closing::Closed.received(1).shutdown_sent(1).no_data(1),
        Closing::Closed
    );
}
