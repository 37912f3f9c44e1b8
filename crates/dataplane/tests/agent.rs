//! Stories of the agent's state machine in virtual time: leases and holds, orders, starts that are offered.

mod common;

use common::*;
use rstest::rstest;
use streamusher_dataplane::agent::{Agent, AgentAction, AgentEvent};
use streamusher_protocol::heartbeat::{HeartbeatResponse, RunningTask};
use streamusher_protocol::internal::AgentCommands;
use streamusher_protocol::task::RunId;

#[test]
fn given_a_new_agent_when_it_ticks_then_it_syncs_without_a_worker() {
    let mut story = Story::begin();

    story.tick();

    let sync = story.newest_sync();
    assert_eq!(
        (sync.sequence, sync.boot, sync.revision, sync.worker.clone()),
        (1, 7, 0, None)
    );
}

#[test]
fn given_no_contact_when_a_worker_calls_then_it_is_answered_at_once_without_a_hold() {
    let mut story = Story::begin();

    let answer = story.heartbeat(at_work(1, &[running(1, 1)])).unwrap();

    assert_eq!(
        answer,
        HeartbeatResponse {
            retry_after_ms: Some(300),
            ..HeartbeatResponse::default()
        }
    );
}

#[test]
fn given_runs_at_work_when_the_worker_calls_then_the_hold_is_the_lease_less_three_percent() {
    let mut story = Story::in_contact();
    story.now += 1_000;

    let answer = story.heartbeat(at_work(1, &[running(1, 1)])).unwrap();

    assert_eq!(answer.hold_ms, Some((LEASE_LEFT_MS - 1_000) * 97 / 100));
    assert_eq!(answer.fence_token, 1);
    assert!(answer.retry_after_ms.unwrap() <= 100);
}

#[test]
fn given_a_long_lease_when_the_worker_calls_then_the_hold_lasts_a_restart_and_a_failover_and_not_longer(
) {
    let mut story = Story::in_contact();
    story.tick();
    story.answer_sync(AgentCommands {
        lease_ms: 60_000,
        ..orders(1, 2, &[])
    });

    let answer = story.heartbeat(at_work(1, &[running(1, 1)])).unwrap();

    assert_eq!(answer.hold_ms, Some(LONGEST_GRANT_MS));
}

#[test]
fn given_a_lease_that_is_over_when_the_worker_calls_then_nothing_is_held_or_started() {
    let mut story = Story::in_contact();
    story.pass(50);
    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    story.now += LEASE_MS;

    let answer = story.heartbeat(at_work(1, &[running(2, 1)])).unwrap();

    assert_eq!(
        (answer.hold_ms, answer.start.len(), answer.retry_after_ms),
        (None, 0, Some(300))
    );
}

#[test]
fn given_a_late_answer_to_a_sync_when_taken_then_the_lease_counts_from_its_sending() {
    let mut story = Story::begin();
    story.tick();
    story.now += LEASE_MS - 100;
    story.answer_sync(orders(1, 1, &[start(1, 1)]));

    let answer = story.heartbeat(at_work(1, &[running(2, 1)])).unwrap();

    assert_eq!((answer.hold_ms, answer.start.len()), (Some(97), 0));
}

#[test]
fn given_an_idle_worker_when_it_calls_then_the_answer_waits_and_comes_before_a_second() {
    let mut story = Story::in_contact();

    assert_eq!(story.heartbeat(heartbeat(1)), None);
    let before = story.pass(649);
    let after = story.pass(1);

    assert_eq!(answer_to(&before, story.request()), None);
    let answer = answer_to(&after, story.request()).unwrap();
    assert_eq!((answer.hold_ms, answer.retry_after_ms), (None, Some(20)));
}

#[test]
fn given_a_call_that_is_held_when_starts_come_then_it_is_answered_at_once() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.pass(100);

    let actions = story.answer_sync(orders(1, 2, &[start(1, 1)]));

    let answer = answer_to(&actions, story.request()).unwrap();
    assert_eq!(answer.start, [start(1, 1)]);
    assert!(answer.hold_ms.unwrap() >= 500);
}

#[test]
fn given_an_event_loop_that_is_late_when_starts_come_after_900_ms_then_the_answer_has_none() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.now += 901;

    let actions = story.answer_sync(orders(1, 2, &[start(1, 1)]));

    let answer = answer_to(&actions, story.request()).unwrap();
    assert!(answer.start.is_empty());
}

#[test]
fn given_a_start_in_an_answer_when_reported_then_it_is_offered_until_a_later_heartbeat() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.answer_sync(orders(1, 2, &[start(1, 1)]));

    story.pass(50);
    let offered = story.newest_sync().worker.clone().unwrap().offered;
    story.heartbeat(at_work(2, &[running(1, 1)]));
    story.pass(50);

    assert_eq!(
        offered,
        [RunId {
            task: task(1),
            run: 1
        }]
    );
    let report = story.newest_sync().worker.clone().unwrap();
    assert_eq!(
        (report.offered.len(), report.running.len(), report.sequence),
        (0, 1, 2)
    );
}

#[test]
fn given_an_answer_that_was_lost_when_the_worker_calls_again_then_the_start_is_ordered_again() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    story.now += 100;

    let answer = story.heartbeat(heartbeat(2)).unwrap();

    assert_eq!(answer.start, [start(1, 1)]);
}

#[rstest]
#[case::running(at_work(2, &[running(1, 1)]))]
#[case::ended(streamusher_protocol::heartbeat::Heartbeat {
    finished: vec![ended(1, 1, 1)], running: vec![running(9, 1)], ..heartbeat(2) })]
fn given_a_start_that_the_worker_has_when_it_calls_then_it_is_not_ordered_again(
    #[case] next: streamusher_protocol::heartbeat::Heartbeat,
) {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    story.now += 100;

    let answer = story.heartbeat(next).unwrap();

    assert!(answer.start.is_empty());
}

#[test]
fn given_a_draining_worker_when_starts_are_ordered_then_it_is_answered_at_once_without_them() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.now += 50;
    story.answer_sync(orders(1, 2, &[]));
    story.now += 50;
    story.tick();
    story.answer_sync(orders(1, 3, &[start(1, 1)]));
    story.now += 50;

    let answer = story.heartbeat(draining(2)).unwrap();

    assert!(answer.start.is_empty());
    let report = story.newest_sync().worker.clone().unwrap();
    assert_eq!(
        report.state,
        streamusher_protocol::heartbeat::WorkerState::Draining
    );
    assert_eq!(report.remaining_ms, Some(9_000));
}

#[test]
fn given_a_worker_that_drains_between_when_orders_come_late_then_nothing_is_started() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.pass(60);
    story.heartbeat(draining(2));

    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    let answer = story.heartbeat(draining(3)).unwrap();

    assert!(answer.start.is_empty());
}

#[test]
fn given_orders_of_an_earlier_epoch_when_they_come_late_then_neither_lease_nor_orders_count() {
    let mut story = Story::in_contact();
    story.heartbeat(at_work(1, &[running(1, 1)]));
    story.pass(50);
    story.answer_sync(AgentCommands {
        lease_ms: 1_000,
        ..orders(3, 1, &[])
    });
    story.pass(50);
    let lease_before = story.agent.status(story.now).lease_left_ms;

    story.answer_sync(AgentCommands {
        lease_ms: 60_000,
        ..orders(2, 9, &[start(1, 1)])
    });

    let status = story.agent.status(story.now);
    assert_eq!(
        (status.epoch, status.revision, status.lease_left_ms),
        (3, 1, lease_before)
    );
    let answer = story.heartbeat(at_work(2, &[running(2, 1)])).unwrap();
    assert_eq!((answer.fence_token, answer.start.len()), (3, 0));
}

#[test]
fn given_older_orders_of_the_same_epoch_when_they_come_late_then_only_their_lease_counts() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.pass(60);
    story.answer_sync(orders(1, 5, &[]));
    story.pass(60);

    story.answer_sync(orders(1, 4, &[start(1, 1)]));

    assert_eq!(story.agent.status(story.now).revision, 5);
    assert_eq!(story.heartbeat(heartbeat(2)), None);
}

#[test]
fn given_a_start_that_is_withdrawn_when_applied_then_the_primary_is_told_though_a_sync_waits() {
    let mut story = Story::in_contact();
    story.heartbeat(at_work(1, &[running(9, 1)]));
    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    story.pass(100);
    story.heartbeat(draining(2));
    story.pass(100);
    let older = story.waiting.remove(0);
    let before = story.newest_sync().sequence;
    assert!(older < before && story.waiting.contains(&before));

    story.event(AgentEvent::SyncResponse {
        sequence: older,
        commands: orders(1, 3, &[]),
    });

    let sync = story.newest_sync();
    assert_eq!((sync.sequence, sync.revision), (before + 1, 3));
    assert!(sync.worker.as_ref().unwrap().offered.is_empty());
}

#[test]
fn given_orders_for_another_instance_when_the_worker_calls_then_they_are_not_its_own() {
    let mut story = Story::in_contact();
    story.tick();
    story.answer_sync(AgentCommands {
        instance: Some("i-0".into()),
        last_seen: 40,
        stop: vec![stop(2, 1)],
        ..orders(1, 2, &[start(1, 1)])
    });

    let answer = story.heartbeat(at_work(1, &[running(2, 1)])).unwrap();

    assert_eq!(
        (answer.start.len(), answer.stop.len(), answer.last_seen),
        (0, 0, None)
    );
}

#[test]
fn given_a_stop_when_the_run_is_at_work_then_it_is_repeated_until_it_is_not() {
    let mut story = Story::in_contact();
    story.heartbeat(at_work(1, &[running(1, 1)]));
    story.now += 50;
    story.answer_sync(AgentCommands {
        stop: vec![stop(1, 1)],
        last_seen: 3,
        ..orders(1, 2, &[])
    });

    let first = story.heartbeat(at_work(2, &[running(1, 1)])).unwrap();
    let second = story.heartbeat(at_work(3, &[running(1, 1)])).unwrap();
    let third = story.heartbeat(heartbeat(4));

    assert_eq!((first.stop.len(), second.stop.len()), (1, 1));
    assert_eq!(first.last_seen, Some(3));
    assert_eq!(third, None);
}

#[test]
fn given_a_stop_of_a_run_that_is_not_there_when_the_worker_calls_then_it_is_told_once() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));

    let actions = story.answer_sync(AgentCommands {
        stop: vec![stop(1, 1)],
        ..orders(1, 2, &[])
    });
    let first = answer_to(&actions, story.request()).unwrap();
    story.now += 50;
    let second = story.heartbeat(heartbeat(2));

    assert_eq!(first.stop, [stop(1, 1)]);
    assert_eq!(second, None);
}

#[test]
fn given_a_heartbeat_that_comes_late_when_taken_then_it_changes_nothing() {
    let mut story = Story::in_contact();
    story.heartbeat(at_work(5, &[running(1, 1)]));
    story.pass(60);

    let answer = story.heartbeat(heartbeat(4)).unwrap();
    story.pass(700);

    assert_eq!(
        answer,
        HeartbeatResponse {
            fence_token: 1,
            ..HeartbeatResponse::default()
        }
    );
    assert_eq!(story.agent.status(story.now).running, 1);
}

#[test]
fn given_a_call_that_is_held_when_the_next_comes_then_the_first_is_answered_with_nothing_to_do() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    let first = story.request();

    let actions = story.event(AgentEvent::Heartbeat {
        request_id: 99,
        instance: "i-1".into(),
        heartbeat: heartbeat(2),
    });

    assert_eq!(answer_to(&actions, first).unwrap().start, []);
    assert_eq!(answer_to(&actions, 99), None);
}

#[test]
fn given_a_restarted_agent_when_the_worker_calls_then_it_starts_from_what_the_worker_says() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));
    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    story.agent = Agent::new(settings(), story.now);
    story.waiting.clear();

    let answer = story.heartbeat(at_work(2, &[running(1, 1)])).unwrap();

    assert_eq!(answer.hold_ms, None);
    let report = story.newest_sync().worker.clone().unwrap();
    assert_eq!((report.running.len(), report.gone), (1, false));
    story.answer_sync(orders(1, 2, &[start(1, 1)]));
    let answer = story.heartbeat(at_work(3, &[running(1, 1)])).unwrap();
    assert!(answer.hold_ms.is_some() && answer.start.is_empty());
}

#[test]
fn given_a_call_that_is_held_when_the_process_ends_then_it_is_answered_without_starts() {
    let mut story = Story::in_contact();
    story.heartbeat(heartbeat(1));

    let actions = story.agent.shut_down(story.now);

    assert!(
        matches!(&actions[..], [AgentAction::Respond { response, .. }] if response.start.is_empty())
    );
    assert!(story.agent.shut_down(story.now).is_empty());
}

#[test]
fn given_checkpoints_at_work_when_it_syncs_then_the_primary_hears_of_them_soon() {
    let mut story = Story::in_contact();

    story.heartbeat(at_work(
        1,
        &[RunningTask {
            task: task(1),
            run: 1,
            checkpoint: "saved".into(),
            percent: 50.0,
        }],
    ));
    story.pass(50);

    assert!(story.newest_sync().wait_ms <= 400);
}
