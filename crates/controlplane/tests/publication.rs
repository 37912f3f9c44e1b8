//! Which configurations may be told to others, and when.

use std::sync::Arc;
use streamusher_configuration::relay::Published;
use streamusher_controlplane::publication::Publication;

fn configuration(version: u64) -> Option<Published> {
    Some(Published {
        version,
        text: Arc::from("{}"),
        update: None,
    })
}

fn versions(publication: &mut Publication) -> Vec<u64> {
    publication
        .take()
        .iter()
        .map(|published| published.version)
        .collect()
}

#[test]
fn given_a_configuration_when_its_append_is_not_committed_then_it_is_not_told() {
    let mut publication = Publication::default();
    publication.taken(7, 5, || configuration(5));

    publication.committed(6);
    assert!(!publication.is_ready());
    publication.committed(7);

    assert_eq!(versions(&mut publication), [5]);
    assert_eq!(versions(&mut publication), [] as [u64; 0]);
}

#[test]
fn given_two_configurations_when_committed_together_then_both_are_told_in_their_order() {
    let mut publication = Publication::default();
    publication.taken(7, 5, || configuration(5));
    publication.taken(8, 9, || configuration(9));

    publication.committed(8);

    assert_eq!(versions(&mut publication), [5, 9]);
    assert!(!publication.is_pending());
}

#[test]
fn given_a_version_that_was_taken_when_events_follow_then_it_rests_on_its_first_append() {
    let mut publication = Publication::default();
    publication.taken(7, 5, || configuration(5));

    publication.taken(12, 5, || panic!("asked again"));
    publication.committed(7);

    assert_eq!(versions(&mut publication), [5]);
}
