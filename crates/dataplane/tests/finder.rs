//! Stories of the finder in virtual time: who the primary is, and whom to ask.

use std::sync::Arc;
use streamusher_dataplane::control_plane::PrimaryDiscovery;
use streamusher_protocol::internal::{ClusterView, CoreAddress};
use streamusher_protocol::Millis;

fn core(number: u8) -> CoreAddress {
    CoreAddress {
        internal: format!("10.0.0.{number}:7300").into(),
        control: format!("10.0.0.{number}:8100").into(),
    }
}

fn internal(number: u8) -> Arc<str> {
    core(number).internal
}

fn view(epoch: u64, primary: Option<u8>, members: &[u8]) -> ClusterView {
    ClusterView {
        epoch,
        primary: primary.map(core),
        members: members.iter().map(|number| core(*number)).collect(),
    }
}

fn finder() -> PrimaryDiscovery {
    PrimaryDiscovery::new(vec![core(1), core(2), core(3)], 42)
}

/// All addresses asked until `end`, with every question failing.
fn asked_until(finder: &mut PrimaryDiscovery, from: Millis, end: Millis) -> Vec<Arc<str>> {
    let mut asked = Vec::new();
    let mut now = from;
    while now <= end {
        for address in finder.take_due_probes(now) {
            finder.on_request_failed(now, &address);
            asked.push(address);
        }
        now = finder.next_probe_at().max(now + 1);
    }
    asked
}

#[test]
fn given_seeds_when_started_then_several_are_asked_at_once() {
    let mut finder = finder();

    let asked = finder.take_due_probes(0);

    assert_eq!(asked.len(), 3);
    assert!(finder.primary().is_none());
}

#[test]
fn given_a_view_when_learnt_then_its_primary_is_followed_and_its_members_are_known() {
    let mut finder = finder();

    finder.on_view(10, &internal(2), &view(4, Some(7), &[1, 2, 7]));

    assert_eq!(finder.primary(), Some(&core(7)));
    assert!(finder.is_known(&internal(7)));
    assert!(!finder.is_fresh(10, 1_500));
    assert_eq!(finder.take_due_probes(10_000), [internal(7)]);
}

#[test]
fn given_the_primarys_own_view_when_learnt_then_it_is_fresh_for_the_span() {
    let mut finder = finder();

    finder.on_view(100, &internal(1), &view(0, Some(1), &[1, 2, 3]));

    assert!(finder.is_fresh(1_600, 1_500));
    assert!(!finder.is_fresh(1_601, 1_500));
    assert!(finder.take_due_probes(500).is_empty());
}

#[test]
fn given_a_call_that_failed_when_others_still_name_that_primary_then_only_its_own_word_brings_it_back(
) {
    let mut finder = finder();
    finder.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    finder.on_request_failed(100, &internal(1));
    finder.on_view(120, &internal(2), &view(3, Some(1), &[1, 2, 3]));
    let doubted = finder.primary().cloned();
    finder.on_view(140, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    assert_eq!(doubted, None);
    assert_eq!(finder.primary(), Some(&core(1)));
}

#[test]
fn given_a_lost_primary_when_a_newer_epoch_is_learnt_then_its_primary_is_followed() {
    let mut finder = finder();
    finder.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));
    finder.on_request_failed(100, &internal(1));

    finder.on_view(400, &internal(3), &view(4, Some(2), &[2, 3]));

    assert_eq!(finder.primary(), Some(&core(2)));
    assert_eq!(finder.epoch(), 4);
}

#[test]
fn given_a_view_of_an_earlier_epoch_when_learnt_then_it_changes_nothing() {
    let mut finder = finder();
    finder.on_view(0, &internal(2), &view(4, Some(2), &[1, 2, 3]));

    finder.on_view(10, &internal(1), &view(3, Some(1), &[1]));

    assert_eq!(finder.primary(), Some(&core(2)));
    assert_eq!(finder.members().len(), 3);
}

#[test]
fn given_a_refusal_with_a_newer_view_when_taken_then_its_primary_is_followed_at_once() {
    let mut finder = finder();
    finder.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    finder.on_not_primary(100, &internal(1), &view(5, Some(2), &[1, 2, 3]));

    assert_eq!(finder.primary(), Some(&core(2)));
}

#[test]
fn given_a_refusal_that_names_the_refuser_when_taken_then_it_is_not_called_again_at_once() {
    let mut finder = finder();
    finder.on_view(0, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    finder.on_not_primary(100, &internal(1), &view(3, Some(1), &[1, 2, 3]));

    assert_eq!(finder.primary(), None);
}

#[test]
fn given_all_silent_when_time_passes_then_members_and_seeds_are_asked_in_rounds_with_pauses() {
    let mut finder = finder();
    finder.on_view(0, &internal(8), &view(3, Some(8), &[7, 8]));
    finder.on_request_failed(0, &internal(8));

    let asked = asked_until(&mut finder, 0, 2_000);

    for number in [1, 2, 3, 7, 8] {
        assert!(asked.contains(&internal(number)), "{number}");
    }
    assert!((10 * 3..=21 * 3).contains(&asked.len()), "{}", asked.len());
}

#[test]
fn given_a_question_under_way_when_the_next_round_comes_then_the_same_machine_is_not_asked_twice() {
    let mut finder = finder();

    let first = finder.take_due_probes(0);
    let second = finder.take_due_probes(1_000);

    assert_eq!(first.len(), 3);
    assert!(second.is_empty());
}

#[test]
fn given_a_primary_that_answers_calls_when_time_passes_then_it_is_not_asked_besides() {
    let mut finder = finder();
    finder.on_view(0, &internal(1), &view(0, Some(1), &[1, 2, 3]));

    let asked: usize = (1..20)
        .map(|step| {
            finder.on_response(step * 350, &internal(1));
            finder.take_due_probes(step * 350 + 349).len()
        })
        .sum();

    assert_eq!(asked, 0);
}

#[test]
fn given_other_seeds_when_set_then_they_are_asked() {
    let mut finder = finder();
    finder.set_seeds(vec![core(9)]);

    assert_eq!(finder.take_due_probes(0), [internal(9)]);
}

#[test]
fn given_no_seeds_when_asked_then_nothing_and_no_panic() {
    let mut finder = PrimaryDiscovery::new(Vec::new(), 1);

    assert!(finder.take_due_probes(0).is_empty());
    assert!(finder.next_probe_at() > 0);
}

#[test]
fn given_members_when_one_is_watched_then_it_is_never_the_primary_and_each_other_in_turn() {
    let mut finder = finder();
    assert_eq!(finder.watch_target(), None, "no member is known yet");
    finder.on_view(0, &internal(1), &view(1, Some(1), &[1, 2, 3]));

    let first = finder.watch_target();
    finder.advance_watch_target();
    let second = finder.watch_target();

    let mut watched = [first.unwrap(), second.unwrap()];
    watched.sort();
    assert_eq!(watched, [internal(2), internal(3)]);
}

#[test]
fn given_a_doubted_primary_when_no_other_is_known_then_calls_to_it_are_not_superseded() {
    let mut finder = finder();
    finder.on_view(0, &internal(1), &view(1, Some(1), &[1, 2]));
    finder.on_request_failed(10, &internal(1));
    assert!(!finder.is_superseded(&internal(1)));

    finder.on_view(20, &internal(2), &view(2, Some(2), &[1, 2]));

    assert!(finder.is_superseded(&internal(1)));
    assert!(!finder.is_superseded(&internal(2)));
}
