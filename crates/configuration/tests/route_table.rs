//! Lookup of the route of a request: the host is compared without port and letter case, and the longest
//! matching prefix wins.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

mod support;

use rstest::rstest;
use std::sync::Arc;
use streamusher_configuration::normalized_host;
use streamusher_configuration::RouteTable;
use streamusher_protocol::config::{Configuration, Route};
use support::TestRng;

fn table(routes: &[(&str, &str)]) -> RouteTable {
    let routes = routes.iter().map(|(host, prefix)| Route {
        name: format!("{host} {prefix}").into(),
        host: (*host).into(),
        path_prefix: (*prefix).into(),
        ..Route::default()
    });
    RouteTable::new(Arc::new(Configuration {
        routes: routes.collect(),
        ..Configuration::default()
    }))
}

fn found<'p>(table: &RouteTable, host: &str, path: &'p str) -> Option<(String, &'p str)> {
    table
        .lookup(host, path)
        .map(|found| (found.route.name.to_string(), found.remaining_path))
}

#[rstest]
#[case("h", "/a/id", Some(("h /a/", "id")))]
#[case("h", "/a/", Some(("h /a/", "")))]
#[case("h", "/a/b/id", Some(("h /a/b/", "id")))]
#[case("h", "/a/b", Some(("h /a/", "b")))]
#[case("h", "/a/c/id", Some(("h /a/", "c/id")))]
#[case("h", "/a", None)]
#[case("h", "/", None)]
#[case("h", "", None)]
#[case("H:8080", "/a/id", Some(("h /a/", "id")))]
#[case("other", "/a/id", None)]
#[case("g", "/anything", Some(("g /", "anything")))]
#[case("g", "/x-more", Some(("g /x", "-more")))]
#[case("g", "/xyz", Some(("g /xy", "z")))]
#[case("g", "/\u{e9}t\u{e9}", Some(("g /", "\u{e9}t\u{e9}")))]
#[case("", "/a/id", None)]
fn longest_matching_prefix_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let table = table(&[
        ("h", "/a/b/"),
        ("h", "/a/"),
        ("g", "/x"),
        ("g", "/"),
        ("g", "/xy"),
        ("h", "/z/"),
    ]);
    assert_eq!(
        found(&table, host, path),
        expected.map(|(name, remaining_path)| (name.to_owned(), remaining_path))
    );
}

#[rstest]
#[case("Host.Example:80", "host.example")]
#[case("host.example", "host.example")]
#[case("[::1]:80", "[::1]")]
#[case("[FE80::1]", "[fe80::1]")]
#[case(":80", "")]
#[case("]", "]")]
#[case("\u{c9}.example:1", "\u{c9}.example")]
fn normalized_host_has_no_port_and_no_upper_case(#[case] host: &str, #[case] expected: &str) {
    assert_eq!(normalized_host(host), expected);
}

#[test]
fn empty_table_matches_nothing() {
    assert!(RouteTable::default().lookup("h", "/").is_none());
}

#[test]
fn lookup_agrees_with_linear_search() {
    for seed in 0..300 {
        let mut rng = TestRng(seed);
        let mut routes: Vec<(String, String)> = Vec::new();
        for _ in 0..rng.below(40) {
            let candidate = (host(&mut rng), path(&mut rng, 5));
            if !routes.contains(&candidate) {
                routes.push(candidate);
            }
        }
        let borrowed: Vec<(&str, &str)> = routes
            .iter()
            .map(|(host, prefix)| (&**host, &**prefix))
            .collect();
        let table = table(&borrowed);
        for _ in 0..100 {
            let (host, path) = (host(&mut rng), path(&mut rng, 8));
            let fitting = borrowed
                .iter()
                .filter(|(other, prefix)| *other == host && path.starts_with(prefix));
            let longest = fitting.max_by_key(|(_, prefix)| prefix.len());
            let expected =
                longest.map(|(host, prefix)| (format!("{host} {prefix}"), &path[prefix.len()..]));
            assert_eq!(
                found(&table, &host, &path),
                expected,
                "seed {seed}, {host} {path}, routes {routes:?}"
            );
        }
    }
}

fn host(rng: &mut TestRng) -> String {
    (*rng.one_of(&["g", "h"])).to_owned()
}

fn path(rng: &mut TestRng, max_length: u64) -> String {
    let length = rng.below(max_length);
    let tail = (0..length).map(|_| *rng.one_of(&["a", "b", "/", "\u{e9}"]));
    std::iter::once("/").chain(tail).collect()
}
