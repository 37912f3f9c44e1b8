//! A dispatcher inside another program: it runs on a thread of its own, operations come in over a channel.

use crate::config::Config;
use crate::core::{Answer, Operation, SubmitError};
use crate::net::request::ClassInfo;
use crate::runtime::{start, Hub};
use crate::settings::SiteSettings;
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
    answer: Sender<Result<Answer, SubmitError>>,
}

/// A way to a running dispatcher. Clones lead to the same one; it ends in order once all are dropped.
#[derive(Clone)]
pub struct Handle {
    calls: Sender<Call>,
    pub(crate) classes: Arc<[ClassInfo]>,
    pub(crate) tenant_header: Option<Arc<str>>,
}

impl Handle {
    /// Starts a dispatcher on a thread of its own. The thread ends with an error if it cannot serve.
    pub fn start(
        config: Config,
        log: Logger,
    ) -> io::Result<(Handle, JoinHandle<Result<(), String>>)> {
        let classes = SiteSettings::new(config.setup.clone()).class_infos().into();
        let tenant_header = config
            .tenants
            .as_ref()
            .map(|t| Arc::from(t.header.as_str()));
        let (calls, taken) = bounded(QUEUE);
        let thread = std::thread::Builder::new().name("streamusher".into());
        let thread = thread.spawn(move || start(config, log, Some(taken)))?;
        Ok((
            Handle {
                calls,
                classes,
                tenant_header,
            },
            thread,
        ))
    }

    /// Has an operation done. None if it was not taken: nothing of it has run. Dropping the future gives the
    /// operation up, as a client does that closes its connection.
    pub async fn call(&self, operation: Operation) -> Option<Answer> {
        self.try_call(operation).await.ok()
    }

    /// The same, with the reason why an operation was not taken; [`SubmitError::AtCapacity`] also once the dispatcher has
    /// ended.
    pub async fn try_call(&self, operation: Operation) -> Result<Answer, SubmitError> {
        let (answer, answered) = bounded(1);
        self.calls
            .send(Call { operation, answer })
            .await
            .map_err(|_| SubmitError::AtCapacity)?;
        // A dispatcher that ends without an answer may have had the operation run.
        answered
            .recv()
            .await
            .unwrap_or(Ok(Answer::Failed { late: false }))
    }
}

/// Takes calls until all handles are dropped.
pub(crate) async fn serve(hub: &Rc<Hub>, calls: Receiver<Call>) {
    while let Ok(Call { operation, answer }) = calls.recv().await {
        let pending = match hub.submit(operation) {
            Ok(pending) => pending,
            Err(why) => {
                let _ = answer.try_send(Err(why));
                continue;
            }
        };
        hub.spawn(async move {
            let caller = answer.clone();
            let answered = async {
                let (given, receipt) = pending.answer().await;
                // What is handed to the host is written, as far as can be known here.
                if answer.try_send(Ok(given)).is_ok() {
                    receipt.written();
                }
            };
            future::or(answered, caller.closed()).await;
        });
    }
}
