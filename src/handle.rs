//! Operations from inside the process.

use crate::core::{Answer, Operation};
use crate::runtime::Hub;
use async_channel::{Receiver, Sender};
use std::rc::Rc;

/// One operation and where its answer goes.
pub(crate) struct Call {
    pub(crate) operation: Operation,
    pub(crate) answer: Sender<Option<Answer>>,
}

/// Takes calls until their channel is closed.
pub(crate) async fn serve(hub: &Rc<Hub>, calls: Receiver<Call>) {
    while let Ok(Call { operation, answer }) = calls.recv().await {
        let Ok(pending) = hub.submit(operation) else {
            let _ = answer.try_send(None);
            continue;
        };
        hub.spawn(async move {
            let closed = answer.clone();
            futures_lite::future::or(
                async { drop(answer.try_send(Some(pending.answer().await))) },
                closed.closed(),
            )
            .await;
        });
    }
}
