//! Behaviour of gates and agents when the primary hangs and another member announces its successor.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

#[path = "support/primary.rs"]
mod primary;

use http::StatusCode;
use primary::{core_address, run, TEST_TIMEOUT};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_dataplane::control_plane::{ControlPlaneClient, RequestOutcome};
use streamusher_protocol::internal::{ClusterView, ClusterWatch, CLUSTER_PATH, CLUSTER_WATCH_PATH};
use streamusher_runtime::http::{json, parse_json, Request, Response, Server, ServerLimits};
use tokio::sync::Notify;

const REQUEST_PATH: &str = "/called";
/// Longer than any test takes.
const UNREACHED_TIMEOUT: Duration = Duration::from_hours(1);

/// A control machine that answers probes immediately, watches once its view is newer, and other requests never.
#[derive(Clone)]
struct Member {
    address: SocketAddr,
    view: Rc<RefCell<ClusterView>>,
    changed: Rc<Notify>,
    requested: Rc<Notify>,
    watches: Rc<Cell<u32>>,
}

impl Member {
    fn start() -> Member {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let member = Member {
            address: server.local_address().unwrap(),
            view: Rc::default(),
            changed: Rc::default(),
            requested: Rc::default(),
            watches: Rc::default(),
        };
        let serving = member.clone();
        tokio::task::spawn_local(
            server.run(move |request: Request| serving.clone().respond(request)),
        );
        member
    }

    async fn respond(self, request: Request) -> Response {
        match request.uri().path() {
            CLUSTER_PATH => {}
            CLUSTER_WATCH_PATH => {
                let watch: ClusterWatch = parse_json(request.body()).unwrap();
                self.watches.set(self.watches.get() + 1);
                while self.view.borrow().epoch <= watch.epoch {
                    self.changed.notified().await;
                }
            }
            _ => {
                self.requested.notify_one();
                std::future::pending::<()>().await;
            }
        }
        json(StatusCode::OK, &*self.view.borrow())
    }

    fn set_view(&self, epoch: u64, primary: &Member, members: &[&Member]) {
        let members = members
            .iter()
            .map(|member| core_address(member.address))
            .collect();
        *self.view.borrow_mut() = ClusterView {
            epoch,
            primary: Some(core_address(primary.address)),
            members,
        };
        self.changed.notify_waiters();
    }
}

/// Starts a primary, another member, and a client that has discovered the primary.
async fn start_with_known_primary() -> (Member, Member, ControlPlaneClient) {
    let (first, second) = (Member::start(), Member::start());
    for member in [&first, &second] {
        member.set_view(1, &first, &[&first, &second]);
    }
    let client = ControlPlaneClient::new(vec![core_address(first.address)], 1, 2);
    let running = client.clone();
    tokio::task::spawn_local(async move { running.run().await });
    client
        .wait_for_primary(tokio::time::Instant::now() + TEST_TIMEOUT)
        .await
        .expect("the client discovers the primary");
    (first, second, client)
}

#[test]
fn announced_successor_ends_the_request_in_flight() {
    run(async {
        let (first, second, client) = start_with_known_primary().await;
        let target = client.primary().unwrap();
        let requested = first.requested.clone();
        let announce_successor = async {
            requested.notified().await;
            second.set_view(2, &second, &[&first, &second]);
        };

        let request = client.post(&target, REQUEST_PATH, &(), UNREACHED_TIMEOUT);
        let (outcome, ()) = tokio::join!(request, announce_successor);

        assert!(
            matches!(outcome, RequestOutcome::Unknown),
            "the request may have been executed: {outcome:?}"
        );
        assert_eq!(
            **client.primary().unwrap().address(),
            *second.address.to_string()
        );
    });
}

#[test]
fn new_epoch_of_the_same_primary_does_not_abandon_its_requests() {
    run(async {
        let (first, second, client) = start_with_known_primary().await;
        let target = client.primary().unwrap();
        let requested = first.requested.clone();
        let change = async {
            requested.notified().await;
            second.set_view(2, &first, &[&first, &second]);
            while client.view().epoch < 2 {
                tokio::task::yield_now().await;
            }
        };

        let ended = tokio::select! {
            outcome = client.post(&target, REQUEST_PATH, &(), UNREACHED_TIMEOUT) => Some(outcome),
            () = change => None,
        };

        assert!(ended.is_none(), "{ended:?}");
        assert_eq!(first.watches.get(), 0, "the primary itself is not watched");
    });
}
