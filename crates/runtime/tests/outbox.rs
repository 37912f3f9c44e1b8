//! Messages that may be lost, over loopback.

use http::StatusCode;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use streamusher_runtime::http::{empty, parse_json, Outbox, Request, Server, ServerLimits};
use streamusher_runtime::runtime;
use tokio::sync::Notify;

const SOON: Duration = Duration::from_secs(20);

fn run<F: std::future::Future<Output = ()>>(story: F) {
    let bounded = async {
        tokio::time::timeout(SOON, story)
            .await
            .expect("it ends in time")
    };
    runtime::block_on(bounded).unwrap();
}

/// Receives lists of numbers.
struct Receiver {
    address: Arc<str>,
    received: Rc<RefCell<Vec<Vec<u32>>>>,
    heard: Rc<Notify>,
}

impl Receiver {
    fn start() -> Receiver {
        let server = Server::bind("127.0.0.1:0".parse().unwrap(), ServerLimits::default()).unwrap();
        let address = server.local_address().unwrap().to_string().into();
        let received: Rc<RefCell<Vec<Vec<u32>>>> = Rc::default();
        let heard = Rc::new(Notify::new());
        let (notes, bell) = (Rc::clone(&received), Rc::clone(&heard));
        tokio::task::spawn_local(server.run(move |call: Request| {
            assert_eq!(call.uri().path(), "/messages");
            notes.borrow_mut().push(parse_json(call.body()).unwrap());
            bell.notify_one();
            std::future::ready(empty(StatusCode::NO_CONTENT))
        }));
        Receiver {
            address,
            received,
            heard,
        }
    }

    async fn until(&self, count: usize) -> Vec<Vec<u32>> {
        while self.received.borrow().iter().flatten().count() < count {
            self.heard.notified().await;
        }
        self.received.borrow().clone()
    }
}

fn outbox() -> Outbox<u32> {
    Outbox::new("/messages", |numbers| serde_json::to_vec(&numbers).unwrap())
}

#[test]
fn given_messages_when_queued_together_then_they_come_in_their_order_in_few_calls() {
    run(async {
        let receiver = Receiver::start();
        let mut outbox = outbox();
        for number in 0..20 {
            outbox.send(&receiver.address, number);
        }

        let calls = receiver.until(20).await;

        assert_eq!(calls.concat(), (0..20).collect::<Vec<_>>());
        assert_eq!(calls.len(), 2);
    });
}

#[test]
fn given_a_receiver_that_is_gone_or_has_no_address_then_others_get_their_messages() {
    run(async {
        let receiver = Receiver::start();
        let gone: SocketAddr = std::net::TcpListener::bind("127.0.0.1:0")
            .unwrap()
            .local_addr()
            .unwrap();
        let mut outbox = outbox();

        outbox.send(&gone.to_string().into(), 1);
        outbox.send(&"nowhere".into(), 2);
        outbox.send(&receiver.address, 3);

        assert_eq!(receiver.until(1).await, [[3]]);
    });
}

#[test]
fn given_a_queue_that_is_full_then_the_newest_messages_are_lost_and_no_memory_grows() {
    run(async {
        let receiver = Receiver::start();
        let mut outbox = outbox();
        for number in 0..10_000 {
            outbox.send(&receiver.address, number);
        }

        let calls = receiver.until(64).await;

        assert_eq!(calls.concat(), (0..64).collect::<Vec<_>>());
    });
}
