//! Configurations are published in version order, and only once they are committed.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use std::sync::Arc;
use streamusher_configuration::PublishedConfiguration;
use streamusher_controlplane::pending_configurations::PendingConfigurations;

fn configuration(version: u64) -> PublishedConfiguration {
    PublishedConfiguration {
        version,
        text: Arc::from("{}"),
        update: None,
    }
}

fn versions(configurations: &mut PendingConfigurations) -> Vec<u64> {
    configurations
        .take_committed()
        .iter()
        .map(|published| published.version)
        .collect()
}

#[test]
fn configuration_is_not_published_before_its_commit() {
    let mut configurations = PendingConfigurations::default();
    configurations.observe(7, 5, || Some(configuration(5)));

    configurations.on_committed(6);
    assert!(!configurations.has_committed());
    configurations.on_committed(7);

    assert_eq!(versions(&mut configurations), [5]);
    assert_eq!(versions(&mut configurations), [] as [u64; 0]);
}

#[test]
fn configurations_committed_together_are_published_in_order() {
    let mut configurations = PendingConfigurations::default();
    configurations.observe(7, 5, || Some(configuration(5)));
    configurations.observe(8, 9, || Some(configuration(9)));

    configurations.on_committed(8);

    assert_eq!(versions(&mut configurations), [5, 9]);
    assert!(!configurations.has_uncommitted());
}

#[test]
fn configuration_is_published_with_its_first_batch() {
    let mut configurations = PendingConfigurations::default();
    configurations.observe(7, 5, || Some(configuration(5)));

    configurations.observe(12, 5, || panic!("the configuration was requested again"));
    configurations.on_committed(7);

    assert_eq!(versions(&mut configurations), [5]);
}
