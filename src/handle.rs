//! Embeds a dispatcher in another program: it runs on its own thread and receives operations over a channel.

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

/// Capacity of the channel of operations; when it is full, callers wait.
const MAX_QUEUED_CALLS: usize = 1_024;

/// An operation and the channel for its answer, or for the reason why it was not accepted.
pub(crate) struct Call {
    operation: Operation,
    answer: Sender<Result<Answer, SubmitError>>,
}

/// A handle to a running dispatcher. Clones refer to the same dispatcher, which shuts down cleanly once all
/// are dropped.
#[derive(Clone)]
pub struct Handle {
    calls: Sender<Call>,
    pub(crate) classes: Arc<[ClassInfo]>,
    pub(crate) tenant_header: Option<Arc<str>>,
}

impl Handle {
    /// Starts a dispatcher on its own thread. The thread ends with an error if the dispatcher cannot serve.
    pub fn start(
        config: Config,
        log: Logger,
    ) -> io::Result<(Handle, JoinHandle<Result<(), String>>)> {
        let classes = SiteSettings::new(config.setup.clone()).class_infos().into();
        let tenant_header = config
            .tenants
            .as_ref()
            .map(|t| Arc::from(t.header.as_str()));
        let (calls, call_rx) = bounded(MAX_QUEUED_CALLS);
        let thread = std::thread::Builder::new().name("streamusher".into());
        let thread = thread.spawn(move || start(config, log, Some(call_rx)))?;
        Ok((
            Handle {
                calls,
                classes,
                tenant_header,
            },
            thread,
        ))
    }

    /// Runs an operation. Returns none if the operation was not accepted; then no part of it has run.
    /// Dropping the future cancels the operation, like a client that closes its connection.
    pub async fn call(&self, operation: Operation) -> Option<Answer> {
        self.try_call(operation).await.ok()
    }

    /// Runs an operation like [`Handle::call`], and returns the reason if it was not accepted. Returns
    /// [`SubmitError::AtCapacity`] also after the dispatcher has ended.
    pub async fn try_call(&self, operation: Operation) -> Result<Answer, SubmitError> {
        let (answer, answer_rx) = bounded(1);
        self.calls
            .send(Call { operation, answer })
            .await
            .map_err(|_| SubmitError::AtCapacity)?;
        // A dispatcher that ends without an answer may have run the operation.
        answer_rx
            .recv()
            .await
            .unwrap_or(Ok(Answer::Failed { late: false }))
    }
}

/// Accepts calls until all handles are dropped.
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
            let delivery = async {
                let (result, receipt) = pending.answer().await;
                // An answer handed to the host counts as written: what the host does with it is unknown here.
                if answer.try_send(Ok(result)).is_ok() {
                    receipt.written();
                }
            };
            future::or(delivery, caller.closed()).await;
        });
    }
}
