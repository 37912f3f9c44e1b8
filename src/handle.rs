//! A dispatcher inside another program: it runs on a thread of its own, operations come in over a channel.

use crate::config::Config;
use crate::core::{Answer, Operation};
use crate::net::request::ClassInfo;
use crate::runtime::{start, Hub};
use crate::settings::Site;
use async_channel::{bounded, Receiver, Sender};
use futures_lite::future;
use slog::Logger;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::JoinHandle;

/// Operations that may wait to be taken in; more wait at their callers.
const QUEUE: usize = 1_024;

/// One operation and where its answer goes; none, if it was not taken.
pub(crate) struct Call {
    operation: Operation,
    answer: Sender<Option<Answer>>,
}

/// A way to a running dispatcher. Clones lead to the same one; it ends in order once all are dropped.
#[derive(Clone)]
pub struct Handle {
    calls: Sender<Call>,
    pub(crate) classes: Arc<[ClassInfo]>,
}

impl Handle {
    /// Starts a dispatcher on a thread of its own. The thread ends with an error if it cannot serve.
    pub fn start(config: Config, log: Logger) -> io::Result<(Handle, JoinHandle<Result<(), String>>)> {
        let classes = Site::new(config.setup.clone()).class_infos().into();
        let (calls, taken) = bounded(QUEUE);
        let thread = std::thread::Builder::new().name("streamusher".into());
        let thread = thread.spawn(move || start(config, log, Some(taken)))?;
        Ok((Handle { calls, classes }, thread))
    }

    /// Has an operation done. None if it was not taken: nothing of it has run. Dropping the future gives the
    /// operation up, as a client does that closes its connection.
    pub async fn call(&self, operation: Operation) -> Option<Answer> {
        let (answer, answered) = bounded(1);
        self.calls.send(Call { operation, answer }).await.ok()?;
        // A dispatcher that ends without an answer may have had the operation run.
        answered.recv().await.unwrap_or(Some(Answer::Failed { late: false }))
    }
}

/// Takes calls until all handles are dropped.
pub(crate) async fn serve(hub: &Rc<Hub>, calls: Receiver<Call>) {
    while let Ok(Call { operation, answer }) = calls.recv().await {
        let Ok(pending) = hub.submit(operation) else {
            let _ = answer.try_send(None);
            continue;
        };
        hub.spawn(async move {
            let caller = answer.clone();
            let answered = async {
                let _ = answer.try_send(Some(pending.answer().await));
            };
            future::or(answered, caller.closed()).await;
        });
    }
}
