//! Delivery of messages by the outbox over loopback.

#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    reason = "a test fails by panicking"
)]

use http::StatusCode;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_runtime::event_loop;
use streamusher_runtime::http::{empty, parse_json, Outbox, Request, Server, ServerLimits};
use tokio::sync::Notify;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

fn run<F: std::future::Future<Output = ()>>(future: F) {
    let bounded = async {
        tokio::time::timeout(TEST_TIMEOUT, future)
            .await
            .expect("the test exceeded its time limit");
    };
    event_loop::block_on(bounded).unwrap();
}

/// Server that records the batches of numbers it receives.
struct Receiver {
    address: Arc<str>,
    received: Rc<RefCell<Vec<Vec<u32>>>>,
    arrived: Rc<Notify>,
}

impl Receiver {
    fn start() -> Receiver {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let address = server.local_address().unwrap().to_string().into();
        let received: Rc<RefCell<Vec<Vec<u32>>>> = Rc::default();
        let arrived = Rc::new(Notify::new());
        let (bodies, notify) = (Rc::clone(&received), Rc::clone(&arrived));
        tokio::task::spawn_local(server.run(move |request: Request| {
            assert_eq!(request.uri().path(), "/messages");
            bodies
                .borrow_mut()
                .push(parse_json(request.body()).unwrap());
            notify.notify_one();
            std::future::ready(empty(StatusCode::NO_CONTENT))
        }));
        Receiver {
            address,
            received,
            arrived,
        }
    }

    async fn wait_for_messages(&self, count: usize) -> Vec<Vec<u32>> {
        while self.received.borrow().iter().flatten().count() < count {
            self.arrived.notified().await;
        }
        self.received.borrow().clone()
    }
}

fn outbox() -> Outbox<u32> {
    Outbox::new("/messages", |numbers| serde_json::to_vec(&numbers).unwrap())
}

#[test]
fn queued_messages_arrive_in_order_in_few_requests() {
    run(async {
        let receiver = Receiver::start();
        let mut outbox = outbox();
        for number in 0..20 {
            outbox.send(&receiver.address, number);
        }

        let batches = receiver.wait_for_messages(20).await;

        assert_eq!(batches.concat(), (0..20).collect::<Vec<_>>());
        assert_eq!(batches.len(), 2);
    });
}

#[test]
fn unreachable_receivers_do_not_block_others() {
    run(async {
        let receiver = Receiver::start();
        let unreachable: SocketAddr = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let mut outbox = outbox();

        outbox.send(&unreachable.to_string().into(), 1);
        outbox.send(&"nowhere".into(), 2);
        outbox.send(&receiver.address, 3);

        assert_eq!(receiver.wait_for_messages(1).await, [[3]]);
    });
}

#[test]
fn full_queue_drops_the_newest_messages() {
    run(async {
        let receiver = Receiver::start();
        let mut outbox = outbox();
        for number in 0..10_000 {
            outbox.send(&receiver.address, number);
        }

        let batches = receiver.wait_for_messages(64).await;

        assert_eq!(batches.concat(), (0..64).collect::<Vec<_>>());
    });
}
