//! Operators' orders.

use crate::clients::terms_of;
use crate::event::{
    OperatorRequest, OperatorRequestKind, OperatorResponse, RequestId, SchedulerResponse,
};
use crate::scheduler::Scheduler;
use serde_json::json;
use streamusher_configuration::ChangeOutcome;

impl Scheduler {
    /// Carries out an operator's order; the answer is released when the change is committed.
    pub(crate) fn operator(&mut self, request: RequestId, order: OperatorRequest) {
        let reply = match (order.kind, order.base) {
            (OperatorRequestKind::Read, _) => self.read_configuration(),
            (_, None) => answer(
                400,
                json!({ "error": "the header Streamusher-Base-Version must name the current version" }),
            ),
            (OperatorRequestKind::Replace, Some(base)) => {
                let outcome = self.configuration.replace(base, &order.body);
                self.change(outcome)
            }
            (OperatorRequestKind::Update, Some(base)) => {
                let outcome = self.configuration.update(base, &order.body);
                self.change(outcome)
            }
        };
        self.reply(request, SchedulerResponse::Operator(reply));
    }

    fn read_configuration(&self) -> OperatorResponse {
        match self.configuration.read() {
            Some(body) => OperatorResponse { status: 200, body },
            None => answer(404, json!({ "error": "no configuration was taken yet" })),
        }
    }

    fn change(&mut self, outcome: ChangeOutcome) -> OperatorResponse {
        match outcome {
            ChangeOutcome::Taken { version, writes } => {
                log::info!("configuration {version} taken");
                self.write(writes);
                self.retune();
                answer(200, json!({ "version": version }))
            }
            ChangeOutcome::Again { version } => answer(200, json!({ "version": version })),
            ChangeOutcome::Stale { current, writes } => {
                self.write(writes);
                answer(
                    412,
                    json!({ "error": "another version is current", "version": current }),
                )
            }
            ChangeOutcome::Undecided { current } => answer(
                503,
                json!({ "error": "no longer known whether this was taken: read the configuration", "version": current }),
            ),
            ChangeOutcome::Invalid(error) => {
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
        self.jobs.apply_configuration(&lookup);
    }
}

fn answer(status: u16, body: serde_json::Value) -> OperatorResponse {
    OperatorResponse {
        status,
        body: body.to_string().into(),
    }
}
