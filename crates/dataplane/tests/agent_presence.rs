//! Stories of the agent's state machine in virtual time: when workers are gone, and when syncs are sent.

mod common;

use common::*;
use streamusher_dataplane::agent::AgentAction;
use streamusher_protocol::heartbeat::{RunningTask, WorkerState};

#[test]
fn given_a_silent_worker_when_its_hold_is_over_on_a_slow_clock_then_it_is_gone_and_not_before() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    let answer = story.heartbeat(at_work(2, &[running(1, 1)])).unwrap();
    let hold_over = answer.hold_ms.unwrap() * 1_000 / 980 + 50;
    assert!(hold_over > HEARTBEAT_MS * 5 / 2);

    story.pass(hold_over);
    let before = story.agent.status(story.now).gone;
    story.end_older_syncs();
    story.pass(50);

    assert!(!before);
    assert!(story.agent.status(story.now).gone);
    assert!(story.newest_sync().worker.as_ref().unwrap().gone);
}

#[test]
fn given_an_idle_silent_worker_when_it_missed_heartbeats_then_it_is_gone_after_two_and_a_half() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));

    story.pass(HEARTBEAT_MS * 5 / 2);
    let before = story.agent.status(story.now).gone;
    story.pass(50);

    assert!(!before);
    assert!(story.agent.status(story.now).gone);
}

#[test]
fn given_a_start_that_was_offered_when_the_worker_is_silent_then_it_is_gone_only_after_that_hold() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    let received = story.now;
    story.pass(60);
    let sequence = story.waiting.pop().unwrap();
    let long = streamusher_protocol::internal::AgentCommands {
        lease_ms: 60_000,
        ..orders(1, 2, &[start(1, 1)])
    };
    story.event(streamusher_dataplane::agent::AgentEvent::SyncResponse {
        sequence,
        commands: long,
    });

    story.now = received;
    story.pass(LONGEST_GRANT_MS * 1_000 / 980 + 50);
    let before = story.agent.status(story.now).gone;
    story.pass(50);

    assert!(!before);
    assert!(story.agent.status(story.now).gone);
}

#[test]
fn given_a_gone_worker_when_it_calls_again_then_starts_from_before_are_not_ordered() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.pass(60);
    let early = story.waiting.pop().unwrap();
    story.pass(HEARTBEAT_MS * 5 / 2 + 50);
    assert!(story.agent.status(story.now).gone);

    // The answer to a sync from before was on its way while the worker was called gone.
    story.heartbeat(heartbeat(2));
    let late = streamusher_protocol::internal::AgentCommands {
        lease_ms: 60_000,
        ..orders(1, 2, &[start(1, 1)])
    };
    let actions = story.event(streamusher_dataplane::agent::AgentEvent::SyncResponse {
        sequence: early,
        commands: late,
    });

    assert!(!story.agent.status(story.now).gone);
    let answers = actions
        .iter()
        .filter(|action| matches!(action, AgentAction::Respond { .. }));
    assert_eq!(answers.count(), 0);
    assert_eq!(story.agent.status(story.now).offered, 0);
}

#[test]
fn given_a_gone_worker_that_came_back_when_new_orders_come_then_they_are_handed_on() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.pass(60);
    story.answer_sync(orders(1, 2, &[]));
    story.pass(HEARTBEAT_MS * 5 / 2);
    story.heartbeat(heartbeat(2));
    story.pass(60);
    story.answer_sync(orders(1, 3, &[]));
    story.heartbeat(heartbeat(3));

    story.pass(60);
    let actions = story.answer_sync(orders(1, 4, &[start(1, 2)]));

    assert_eq!(
        answer_to(&actions, story.request()).unwrap().start,
        [start(1, 2)]
    );
}

#[test]
fn given_a_deregistration_when_it_comes_then_it_is_acknowledged_at_once_and_the_worker_is_gone() {
    let mut story = Story::in_contact();
    story.heartbeat(draining(1));
    story.pass(60);

    let actions = story.deregister("i-1");
    story.pass(50);

    assert!(matches!(
        actions[0],
        AgentAction::AcknowledgeDeregistration { .. }
    ));
    assert!(story.newest_sync().worker.as_ref().unwrap().gone);
    story.heartbeat(heartbeat(2));
    assert!(story.agent.status(story.now).gone);
}

#[test]
fn given_runs_at_work_when_the_worker_deregisters_then_the_worker_is_gone_only_when_its_hold_is_over(
) {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    let answer = story.heartbeat(at_work(2, &[running(1, 1)])).unwrap();
    let hold_over = answer.hold_ms.unwrap() * 1_000 / 980 + 50;

    let actions = story.deregister("i-1");
    story.pass(hold_over);
    let before = story.newest_sync().worker.clone().unwrap();
    story.end_older_syncs();
    story.pass(50);

    assert!(matches!(
        actions[0],
        AgentAction::AcknowledgeDeregistration { .. }
    ));
    assert_eq!(
        (before.gone, before.state, before.running.len()),
        (false, WorkerState::Draining, 1)
    );
    assert!(story.newest_sync().worker.as_ref().unwrap().gone);
}

#[test]
fn given_a_start_that_was_offered_when_the_worker_deregisters_then_the_worker_is_not_gone_yet() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.pass(60);
    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    assert_eq!(story.agent.status(story.now).offered, 1);

    story.deregister("i-1");

    assert!(!story.agent.status(story.now).gone);
    story.pass(LONGEST_GRANT_MS * 1_000 / 980 + 51);
    assert!(story.agent.status(story.now).gone);
}

#[test]
fn given_a_worker_that_has_deregistered_when_its_hold_is_over_then_its_late_calls_count_no_more() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.heartbeat(at_work(2, &[running(1, 1)]));
    story.deregister("i-1");

    let while_leaving = story.heartbeat(at_work(3, &[running(1, 1)])).unwrap();
    story.pass(LONGEST_GRANT_MS * 1_000 / 980 + 51);
    let late = story.heartbeat(at_work(4, &[running(1, 1)])).unwrap();

    assert_eq!((while_leaving.hold_ms, late.hold_ms), (None, None));
    assert!(story.agent.status(story.now).gone);
}

#[test]
fn given_a_restarted_agent_when_the_worker_deregisters_then_the_instance_is_gone_after_any_earlier_hold(
) {
    let mut story = Story::in_contact();

    story.deregister("i-5");
    story.pass(50);
    let first = story.newest_sync().worker.clone().unwrap();
    story.end_older_syncs();
    story.pass(LONGEST_GRANT_MS * 1_000 / 980 - 2 * SYNC_INTERVAL_MS);
    let before = story.agent.status(story.now).gone;
    story.pass(100);

    assert_eq!(
        (&*first.instance, first.gone, first.state),
        ("i-5", false, WorkerState::Draining)
    );
    assert!(!before);
    let report = story.newest_sync().worker.clone().unwrap();
    assert_eq!((&*report.instance, report.gone), ("i-5", true));
}

#[test]
fn given_a_new_instance_when_it_calls_then_it_replaces_the_old_one_whose_late_calls_count_no_more()
{
    let mut story = Story::in_contact();
    story.heartbeat(at_work(7, &[running(1, 1)]));
    story.pass(60);

    story.heartbeat_of("i-2", heartbeat(1));
    let late = story
        .heartbeat_of("i-1", at_work(8, &[running(1, 1)]))
        .unwrap();
    story.pass(50);

    assert_eq!((late.hold_ms, late.start.len()), (None, 0));
    let report = story.newest_sync().worker.clone().unwrap();
    assert_eq!(
        (&*report.instance, report.running.len(), report.gone),
        ("i-2", 0, false)
    );
}

#[test]
fn given_a_restarted_agent_and_a_worker_that_never_calls_when_its_hold_is_surely_over_then_it_is_gone(
) {
    let mut story = Story::in_contact();

    story.pass(LONGEST_GRANT_MS * 1_000 / 980 + 50 - 2 * SYNC_INTERVAL_MS);
    let before = story.agent.status(story.now).gone;
    story.pass(50);

    assert!(!before);
    let report = story.newest_sync().worker.clone().unwrap();
    assert_eq!((&*report.instance, report.gone), ("i-1", true));
}

#[test]
fn given_a_restarted_agent_when_the_worker_fell_silent_then_the_earlier_holds_count() {
    let mut story = Story::begin();
    story.heartbeat(at_work(3, &[running(1, 1)]));

    story.pass(LONGEST_GRANT_MS);
    let before = story.agent.status(story.now).gone;
    story.pass(300);

    assert!(!before);
    assert!(story.agent.status(story.now).gone);
}

#[test]
fn given_a_sync_that_waits_when_there_is_no_news_then_no_other_is_sent() {
    let mut story = Story::in_contact();
    story.heartbeat(at_work(1, &[running(1, 1)]));
    story.pass(60);
    let before = story.syncs.len();

    story.heartbeat(at_work(
        2,
        &[RunningTask {
            task: task(1),
            run: 1,
            checkpoint: "".into(),
            percent: 60.0,
        }],
    ));
    story.pass(300);

    assert_eq!(story.syncs.len(), before);
}

#[test]
fn given_a_run_that_ended_when_the_worker_calls_then_a_second_sync_tells_it_at_once() {
    let mut story = Story::in_contact();
    story.heartbeat(at_work(1, &[running(1, 1)]));
    story.pass(100);
    let before = story.newest_sync().sequence;

    let finished = vec![ended(1, 1, 1)];
    story.heartbeat(streamusher_protocol::heartbeat::Heartbeat {
        finished,
        ..heartbeat(2)
    });

    let sync = story.newest_sync();
    assert_eq!(sync.sequence, before + 1);
    assert_eq!(sync.worker.as_ref().unwrap().finished.len(), 1);
}

#[test]
fn given_much_news_when_a_second_passes_then_no_more_than_67_syncs_are_sent() {
    let mut story = Story::in_contact();
    let before = story.syncs.len();

    for sequence in 1..=200 {
        story.heartbeat(at_work(sequence, &[running(sequence as u32, 1)]));
        story.pass(5);
        while story.waiting.len() > 1 {
            let sequence = story.waiting.remove(0);
            let orders = orders(1, 2, &[]);
            story.event(streamusher_dataplane::agent::AgentEvent::SyncResponse {
                sequence,
                commands: orders,
            });
        }
    }

    assert!(
        story.syncs.len() - before <= 67,
        "{}",
        story.syncs.len() - before
    );
}

#[test]
fn given_syncs_that_fail_when_retried_then_the_pauses_grow_to_200_ms_and_the_report_is_told_again()
{
    let mut story = Story::begin();
    story.heartbeat(at_work(1, &[running(1, 1)]));
    let mut pauses = Vec::new();

    for _ in 0..5 {
        let failed_at = story.now;
        story.fail_sync();
        let next = story.agent.next_wakeup().unwrap();
        pauses.push(next - failed_at);
        story.pass(next - failed_at);
    }

    assert_eq!(pauses, [50, 100, 200, 200, 200]);
    assert!(story.newest_sync().worker.is_some());
}

#[test]
fn given_syncs_that_hang_when_news_comes_then_no_more_than_three_are_under_way() {
    let mut story = Story::in_contact();

    for sequence in 1..=20 {
        story.heartbeat(at_work(sequence, &[running(sequence as u32, 1)]));
        story.pass(60);
    }

    assert_eq!(story.agent.status(story.now).syncs_in_flight, 3);
}

#[test]
fn given_any_moment_when_the_wake_up_has_come_then_a_tick_leaves_none_that_is_due() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));

    for _ in 0..200 {
        story.now = story
            .agent
            .next_wakeup()
            .map_or(story.now + 50, |at| at.max(story.now));
        story.tick();
        if story.waiting.len() > 1 {
            story.fail_sync();
        }
        assert!(story.agent.next_wakeup().is_none_or(|at| at > story.now));
    }
}

#[test]
fn given_answers_to_syncs_that_were_never_sent_when_taken_then_they_are_ignored() {
    let mut story = Story::begin();

    story.event(streamusher_dataplane::agent::AgentEvent::SyncResponse {
        sequence: 77,
        commands: orders(9, 1, &[]),
    });
    story.event(streamusher_dataplane::agent::AgentEvent::SyncFailed { sequence: 78 });

    assert_eq!(story.agent.status(story.now).lease_left_ms, 0);
}
