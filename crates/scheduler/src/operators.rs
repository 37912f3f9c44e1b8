//! Operators' orders.

use crate::clients::terms_of;
use crate::event::{OperatorOrder, OperatorReply, OrderKind, Reply, RequestId};
use crate::scheduler::Scheduler;
use serde_json::json;
use streamusher_configuration::Outcome;

impl Scheduler {
    /// Carries out an operator's order; the answer is released when the change is committed.
    pub(crate) fn operator(&mut self, request: RequestId, order: OperatorOrder) {
        let reply = match (order.kind, order.base) {
            (OrderKind::Read, _) => self.read_configuration(),
            (_, None) => answer(
                400,
                json!({ "error": "the header Streamusher-Base-Version must name the current version" }),
            ),
            (OrderKind::Replace, Some(base)) => {
                let outcome = self.configuration.replace(base, &order.body);
                self.change(outcome)
            }
            (OrderKind::Update, Some(base)) => {
                let outcome = self.configuration.update(base, &order.body);
                self.change(outcome)
            }
        };
        self.reply(request, Reply::Operator(reply));
    }

    fn read_configuration(&self) -> OperatorReply {
        match self.configuration.read() {
            Some(body) => OperatorReply { status: 200, body },
            None => answer(404, json!({ "error": "no configuration was taken yet" })),
        }
    }

    fn change(&mut self, outcome: Outcome) -> OperatorReply {
        match outcome {
            Outcome::Taken { version, writes } => {
                log::info!("configuration {version} taken");
                self.write(writes);
                self.retune();
                answer(200, json!({ "version": version }))
            }
            Outcome::Again { version } => answer(200, json!({ "version": version })),
            Outcome::Stale { current, writes } => {
                self.write(writes);
                answer(
                    412,
                    json!({ "error": "another version is current", "version": current }),
                )
            }
            Outcome::Undecided { current } => answer(
                503,
                json!({ "error": "no longer known whether this was taken: read the configuration", "version": current }),
            ),
            Outcome::Invalid(error) => {
                log::info!("configuration refused: {error}");
                answer(400, json!({ "error": error.to_string() }))
            }
        }
    }

    fn retune(&mut self) {
        let Some(configuration) = self.configuration.current().cloned() else {
            return;
        };
        let lookup = |queue: &str| {
            let route = configuration
                .routes
                .iter()
                .find(|route| &*route.name == queue);
            route.map(terms_of)
        };
        self.jobs.retune(&lookup);
    }
}

fn answer(status: u16, body: serde_json::Value) -> OperatorReply {
    OperatorReply {
        status,
        body: body.to_string().into(),
    }
}
