//! Which configurations may be told to others, and when.

use std::sync::Arc;
use streamusher_configuration::PublishedConfiguration;
use streamusher_controlplane::pending_configurations::PendingConfigurations;

fn configuration(version: u64) -> Option<PublishedConfiguration> {
    Some(PublishedConfiguration {
        version,
        text: Arc::from("{}"),
        update: None,
    })
}

fn versions(publication: &mut PendingConfigurations) -> Vec<u64> {
    publication
        .take_committed()
        .iter()
        .map(|published| published.version)
        .collect()
}

#[test]
fn given_a_configuration_when_its_append_is_not_committed_then_it_is_not_told() {
    let mut publication = PendingConfigurations::default();
    publication.observe(7, 5, || configuration(5));

    publication.on_committed(6);
    assert!(!publication.has_committed());
    publication.on_committed(7);

    assert_eq!(versions(&mut publication), [5]);
    assert_eq!(versions(&mut publication), [] as [u64; 0]);
}

#[test]
fn given_two_configurations_when_committed_together_then_both_are_told_in_their_order() {
    let mut publication = PendingConfigurations::default();
    publication.observe(7, 5, || configuration(5));
    publication.observe(8, 9, || configuration(9));

    publication.on_committed(8);

    assert_eq!(versions(&mut publication), [5, 9]);
    assert!(!publication.has_uncommitted());
}

#[test]
fn given_a_version_that_was_taken_when_events_follow_then_it_rests_on_its_first_append() {
    let mut publication = PendingConfigurations::default();
    publication.observe(7, 5, || configuration(5));

    publication.observe(12, 5, || panic!("asked again"));
    publication.on_committed(7);

    assert_eq!(versions(&mut publication), [5]);
}
