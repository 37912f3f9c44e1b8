//! What gates and agents do when the primary falls silent and another member knows of the next one.

#[path = "common/primary.rs"]
mod primary;

use http::StatusCode;
use primary::{core, run, SOON};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use streamusher_dataplane::control_plane::{ControlPlaneClient, RequestOutcome};
use streamusher_protocol::internal::{ClusterView, ClusterWatch, CLUSTER_PATH, CLUSTER_WATCH_PATH};
use streamusher_runtime::http::{json, parse_json, Request, Response, Server, ServerLimits};
use tokio::sync::Notify;

const CALLED_PATH: &str = "/called";
/// Longer than any test takes.
const NEVER: Duration = Duration::from_secs(3_600);

/// A core machine that answers watches when its view is newer, and no other calls.
#[derive(Clone)]
struct Member {
    address: SocketAddr,
    view: Rc<RefCell<ClusterView>>,
    changed: Rc<Notify>,
    called: Rc<Notify>,
    watches: Rc<Cell<u32>>,
}

impl Member {
    fn start() -> Member {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let member = Member {
            address: server.local_address().unwrap(),
            view: Rc::default(),
            changed: Rc::default(),
            called: Rc::default(),
            watches: Rc::default(),
        };
        let serving = member.clone();
        tokio::task::spawn_local(server.run(move |call: Request| serving.clone().answer(call)));
        member
    }

    async fn answer(self, call: Request) -> Response {
        match call.uri().path() {
            CLUSTER_PATH => {}
            CLUSTER_WATCH_PATH => {
                let watch: ClusterWatch = parse_json(call.body()).unwrap();
                self.watches.set(self.watches.get() + 1);
                while self.view.borrow().epoch <= watch.epoch {
                    self.changed.notified().await;
                }
            }
            _ => {
                self.called.notify_one();
                std::future::pending::<()>().await;
            }
        }
        json(StatusCode::OK, &*self.view.borrow())
    }

    fn learns(&self, epoch: u64, primary: &Member, members: &[&Member]) {
        let members = members.iter().map(|member| core(member.address)).collect();
        *self.view.borrow_mut() = ClusterView {
            epoch,
            primary: Some(core(primary.address)),
            members,
        };
        self.changed.notify_waiters();
    }
}

/// A primary, another member, and a process that has found the primary.
async fn given_a_found_primary() -> (Member, Member, ControlPlaneClient) {
    let (first, second) = (Member::start(), Member::start());
    for member in [&first, &second] {
        member.learns(1, &first, &[&first, &second]);
    }
    let link = ControlPlaneClient::new(vec![core(first.address)], 1, 2);
    let running = link.clone();
    tokio::task::spawn_local(async move { running.run().await });
    link.wait_for_primary(tokio::time::Instant::now() + SOON)
        .await
        .expect("a primary");
    (first, second, link)
}

#[test]
fn given_a_silent_primary_when_another_member_knows_the_next_then_the_call_under_way_ends() {
    run(async {
        let (first, second, link) = given_a_found_primary().await;
        let target = link.primary().unwrap();
        let called = first.called.clone();
        let takeover = async {
            called.notified().await;
            second.learns(2, &second, &[&first, &second]);
        };

        let call = link.post(&target, CALLED_PATH, &(), NEVER);
        let (outcome, ()) = tokio::join!(call, takeover);

        assert!(
            matches!(outcome, RequestOutcome::Unknown),
            "it may have been carried out: {outcome:?}"
        );
        assert_eq!(
            **link.primary().unwrap().address(),
            *second.address.to_string()
        );
    });
}

#[test]
fn given_a_primary_when_the_epoch_changes_under_it_then_its_calls_go_on() {
    run(async {
        let (first, second, link) = given_a_found_primary().await;
        let target = link.primary().unwrap();
        let called = first.called.clone();
        let change = async {
            called.notified().await;
            second.learns(2, &first, &[&first, &second]);
            while link.view().epoch < 2 {
                tokio::task::yield_now().await;
            }
        };

        let ended = tokio::select! {
            outcome = link.post(&target, CALLED_PATH, &(), NEVER) => Some(outcome),
            () = change => None,
        };

        assert!(ended.is_none(), "{ended:?}");
        assert_eq!(first.watches.get(), 0, "the primary itself is not watched");
    });
}
