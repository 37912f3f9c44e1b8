//! Tests of the core alone, in virtual time: a client's disconnect is processed in the same turn as other
//! events that may start an attempt. Also tests the state machine of a closing connection.

use rstest::rstest;
use std::{cell::RefCell, rc::Rc, sync::Arc};
use streamusher::closing::Closing;
use streamusher::core::*;
use streamusher::interface::{Micros, WorkerId};

#[derive(Default)]
struct RecordingFront(RefCell<Vec<Answer>>);

impl Front for RecordingFront {
    fn answer(&self, _: u64, answer: &Answer, receipt: Receipt) {
        receipt.written();
        self.0.borrow_mut().push(answer.clone());
    }
}

#[derive(Default)]
struct RecordingDriver {
    sent: RefCell<Vec<StepId>>,
    workers: RefCell<Vec<String>>,
    cancelled: RefCell<Vec<StepId>>,
}

impl Driver for RecordingDriver {
    fn send(&self, step: StepId, _: &Arc<Operation>, worker: &PoolMember, _: Micros) {
        self.sent.borrow_mut().push(step);
        self.workers.borrow_mut().push(worker.name.clone());
    }
    fn cancel(&self, step: StepId, _: &Arc<Operation>, _: &PoolMember) {
        self.cancelled.borrow_mut().push(step);
    }
    fn probe(&self, _: WorkerId, _: &PoolMember) {}
}

struct Fixture {
    core: Core,
    front: Rc<RecordingFront>,
    recording_driver: Rc<RecordingDriver>,
    driver: usize,
}

/// Creates a core with `workers` workers and one class of the given `semantics`; `cancel` sets whether
/// cancels may be sent.
fn fixture(workers: usize, semantics: &str, cancel: bool) -> Fixture {
    let settings = format!(
        r#"{{"myZone": "z", "zones": ["z"], "tickUs": 5000, "familyInfo": {{"tellsStart": true}},
        "limits": {{"maxAttempts": 4, "cancel": {cancel}, "mayDuplicate": true, "maxOpen": 100}},
        "requestClasses": [{{"name": "c", "semantics": "{semantics}", "keyScope": "all", "windowUs": 400000,
            "onTimeUs": 300000, "deadlineUs": 5000000}}]}}"#
    );
    let mut core = Core::from_settings(settings.as_bytes(), 42, 0).expect("settings");
    let (front, recording_driver) = (
        Rc::new(RecordingFront::default()),
        Rc::new(RecordingDriver::default()),
    );
    let driver = core.attach_driver(recording_driver.clone());
    let member = |n| PoolMember {
        name: format!("s-{n}"),
        zone: "z".into(),
        weight: 1.0,
        ..PoolMember::default()
    };
    core.pool_config(driver, true, (0..workers).map(member).collect());
    Fixture {
        core,
        front,
        recording_driver,
        driver,
    }
}

impl Fixture {
    fn submit(&mut self, now: Micros, id: &str) -> JobId {
        let class = self.core.class("c").unwrap();
        let operation = Operation {
            id: id.into(),
            class,
            slots: 1.0,
            remaining_us: 5_000_000,
            ..Operation::default()
        };
        self.core
            .submit(now, operation, self.front.clone(), 7)
            .expect("taken")
    }

    fn disconnect_client(&mut self, now: Micros, job: JobId) {
        let front: Rc<dyn Front> = self.front.clone();
        self.core.client_disconnected(now, job, &front, 7);
    }
}

type JobId = streamusher::interface::JobId;

/// Event that is processed in the same turn as the disconnect.
#[derive(Clone, Copy, Debug)]
enum ConcurrentEvent {
    Nothing,
    Start,
    Rejected,
    Failed,
    NotConnected,
    Served,
    RetryTimer,
    Deadline,
}

/// Guards against an attempt that starts because of an event that arrives in the same turn as its client's
/// disconnect, in either order, and against a disconnect that is counted twice or answered.
#[rstest]
fn client_disconnect_starts_no_attempt_in_its_turn(
    #[values(
        ConcurrentEvent::Nothing,
        ConcurrentEvent::Start,
        ConcurrentEvent::Rejected,
        ConcurrentEvent::Failed,
        ConcurrentEvent::NotConnected,
        ConcurrentEvent::Served,
        ConcurrentEvent::RetryTimer,
        ConcurrentEvent::Deadline
    )]
    concurrent_event: ConcurrentEvent,
    #[values(true, false)] departure_first: bool,
    #[values("free", "guarded", "single_shot")] semantics: &str,
    #[values(true, false)] cancel: bool,
) {
    let mut s = fixture(6, semantics, cancel);
    let job = s.submit(1_000, "a1");
    s.core.turn(1_000);
    let first = s.recording_driver.sent.borrow()[0];
    let mut now = 2_000;
    if departure_first {
        s.disconnect_client(now, job);
    }
    match concurrent_event {
        ConcurrentEvent::Nothing => {}
        ConcurrentEvent::Start => s.core.step_event(first, StepEvent::Started),
        ConcurrentEvent::Rejected => s
            .core
            .step_event(first, StepEvent::Ended(StepOutcome::Rejected, None)),
        ConcurrentEvent::Failed => s
            .core
            .step_event(first, StepEvent::Ended(StepOutcome::WorkerFailed, None)),
        ConcurrentEvent::NotConnected => s
            .core
            .step_event(first, StepEvent::Ended(StepOutcome::ConnectRefused, None)),
        ConcurrentEvent::Served => s.core.step_event(
            first,
            StepEvent::Ended(StepOutcome::Served(Arc::from(*b"log")), None),
        ),
        ConcurrentEvent::RetryTimer => now = s.core.next_due().expect("a timer"),
        ConcurrentEvent::Deadline => now = 5_000_000,
    }
    if !departure_first {
        s.disconnect_client(now, job);
    }
    let before = s.recording_driver.sent.borrow().len();
    s.core.turn(now);
    assert_eq!(
        s.core.may_begin(now, first),
        None,
        "an attempt whose connection is established later must not start"
    );
    for later in 1..=200 {
        s.core.turn(now + later * 50_000);
    }
    assert_eq!(
        s.recording_driver.sent.borrow().len(),
        before,
        "an attempt started for a disconnected client"
    );
    assert!(
        s.front.0.borrow().is_empty(),
        "an answer to a disconnected client: {:?}",
        s.front.0.borrow()
    );
    assert_eq!((s.core.counters.clients_gone, s.core.unanswered()), (1, 0));
    let sent = s.recording_driver.sent.borrow();
    let cancelled = s.recording_driver.cancelled.borrow();
    assert!(
        cancelled.iter().all(|c| sent.contains(c)),
        "cancelled a step that was never sent"
    );
}

/// Guards against a queued operation that keeps its place after its client disconnects: nothing of it
/// remains, and a worker that joins later receives nothing.
#[test]
fn queued_operation_is_removed_when_its_client_disconnects() {
    let mut s = fixture(0, "free", true);
    let job = s.submit(1_000, "a1");
    s.core.turn(1_000);
    assert_eq!(s.core.unanswered(), 1);
    s.disconnect_client(2_000, job);
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
    assert!(s.recording_driver.sent.borrow().is_empty());
    assert_eq!(s.core.counters.clients_gone, 1);
    s.submit(9_000_000, "a1"); // the id can be reused
}

/// Guards against an operation that arrives at its deadline, or at the shutdown deadline, and is failed
/// although nothing of it has run: it is rejected as busy, and its client may retry.
#[rstest]
fn operation_that_arrives_at_its_deadline_is_rejected(#[values(0, 1, 3)] workers: usize) {
    let mut s = fixture(workers, "single_shot", true);
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
        .submit(1_000, late, s.front.clone(), 7)
        .expect("taken");
    s.core.turn(1_020);
    assert!(
        matches!(s.front.0.borrow()[..], [Answer::Busy { .. }]),
        "{:?}",
        s.front.0.borrow()
    );
    assert!(s.recording_driver.sent.borrow().is_empty());
}

/// Checks whether an attempt may still start when its connection is established late, depending on changes
/// since the attempt was sent.
#[rstest]
#[case::no_change("free", None, 100_000, true)]
#[case::the_worker_drains("free", Some((EndpointState::Draining, 0)), 100_000, false)]
#[case::the_worker_is_removed("guarded", Some((EndpointState::Gone, 0)), 100_000, false)]
#[case::the_worker_restarted("free", Some((EndpointState::Ready, 50_000)), 100_000, false)]
#[case::the_first_attempt_ignores_the_key_window("guarded", None, 900_000, true)]
#[case::the_deadline_has_passed("free", None, 4_990_000, false)]
fn late_connection_checks_whether_its_attempt_may_start(
    #[case] semantics: &str,
    #[case] change: Option<(EndpointState, Micros)>,
    #[case] now: Micros,
    #[case] may: bool,
) {
    let mut s = fixture(1, semantics, true);
    s.submit(1_000, "a1");
    s.core.turn(1_000);
    let first = s.recording_driver.sent.borrow()[0];
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

/// The key's window counts from the previous attempt that may have run.
#[rstest]
#[case(StepOutcome::ConnectionLostAfterSend, 399_000, true)]
#[case(StepOutcome::ConnectionLostAfterSend, 402_000, false)]
#[case(StepOutcome::Rejected, 402_000, true)]
fn late_connection_respects_the_key_window(
    #[case] ending: StepOutcome,
    #[case] after: Micros,
    #[case] may: bool,
) {
    let mut s = fixture(6, "guarded", true);
    s.submit(1_000, "a1");
    s.core.turn(1_000);
    let first = s.recording_driver.sent.borrow()[0];
    s.core.step_event(first, StepEvent::Ended(ending, None));
    s.core.turn(2_000);
    let again = *s.recording_driver.sent.borrow().last().unwrap();
    assert_ne!(again, first);
    assert_eq!(s.core.may_begin(1_000 + after, again).is_some(), may);
}

/// Pool source that has not yet delivered its first list.
#[derive(Default)]
struct PendingSource {
    delivered: std::cell::Cell<bool>,
    expedite_calls: std::cell::Cell<u32>,
}

impl PoolSource for PendingSource {
    fn subscribe(&self) {}
    fn awaits_first_config(&self) -> bool {
        !self.delivered.get()
    }
    fn expedite(&self) {
        self.expedite_calls.set(self.expedite_calls.get() + 1);
    }
}

/// Outcome of the wait for the first list.
#[derive(Clone, Copy, Debug)]
enum FirstList {
    /// The list arrives and names another worker.
    Arrives,
    /// The list cannot be obtained.
    Fails,
    /// No list arrives.
    Never,
    /// The client disconnects.
    Gone,
}

/// Guards against operations that are sent by the list of an earlier process, wait for the first list for
/// ever, are sent twice, or are started for a client that has disconnected meanwhile.
#[rstest]
#[case(FirstList::Arrives, 2_000)]
#[case(FirstList::Fails, 2_000)]
#[case(FirstList::Never, 2_488_500)] // half of (5 s less the reserve)
#[case(FirstList::Gone, 2_000)]
fn operation_waits_for_the_first_pool_list(#[case] first: FirstList, #[case] at: Micros) {
    let mut s = fixture(1, "free", true);
    let source = Rc::new(PendingSource::default());
    s.core.attach_source(source.clone());
    let job = s.submit(1_000, "a1");
    s.core.turn(1_000);
    s.core.turn(at - 1);
    assert!(
        s.recording_driver.sent.borrow().is_empty(),
        "sent by the list of an earlier process"
    );
    assert_eq!(source.expedite_calls.get(), 1);
    match first {
        FirstList::Arrives => {
            let new = PoolMember {
                name: "s-9".into(),
                zone: "z".into(),
                weight: 1.0,
                ..PoolMember::default()
            };
            s.core.pool_config(s.driver, true, vec![new]);
            source.delivered.set(true);
        }
        FirstList::Fails => {
            s.core.pool_config_failed();
            source.delivered.set(true);
        }
        FirstList::Never => {}
        FirstList::Gone => {
            s.disconnect_client(at, job);
            source.delivered.set(true);
        }
    }
    s.core.turn(at);
    let sent = s.recording_driver.sent.borrow().clone();
    let workers = s.recording_driver.workers.borrow().clone();
    match first {
        FirstList::Arrives => assert_eq!(workers, ["s-9"]),
        FirstList::Fails | FirstList::Never => assert_eq!(workers, ["s-0"]),
        FirstList::Gone => assert!(sent.is_empty()),
    }
    source.delivered.set(true);
    s.core.turn(at + 1);
    s.core.turn(3_000_000);
    assert_eq!(s.core.counters.operations, 1);
    assert!(
        s.recording_driver
            .sent
            .borrow()
            .iter()
            .filter(|step| step.attempt == 0)
            .count()
            <= 1,
        "operation accepted twice"
    );
}

use streamusher::interface::EndpointState;

#[test]
fn close_sends_shutdown_and_then_reads_for_a_bounded_time_and_length() {
    let draining = Closing::graceful().shutdown_sent(5);
    let Closing::Draining { until, left } = draining else {
        panic!("{draining:?}")
    };
    assert!(until > 5 && left > 64 << 10);
    assert_eq!(draining.no_data(until - 1), draining);
    assert_eq!(draining.no_data(until), Closing::Closed);
    assert_eq!(
        draining.received(0),
        Closing::Closed,
        "the peer has closed its side"
    );
    assert_eq!(
        draining.received(left),
        Closing::Closed,
        "the amount of data read is bounded"
    );
    assert_eq!(
        draining.received(1),
        Closing::Draining {
            until,
            left: left - 1
        }
    );
    // A close that frees capacity does not wait, but reads data that has already arrived.
    let immediate = Closing::immediate().shutdown_sent(5);
    assert!(matches!(
        immediate.received(100),
        Closing::Draining { until: 5, .. }
    ));
    assert_eq!(immediate.no_data(5), Closing::Closed);
    assert_eq!(
        Closing::Closed.received(1).shutdown_sent(1).no_data(1),
        Closing::Closed
    );
}
