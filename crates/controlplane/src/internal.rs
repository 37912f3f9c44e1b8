//! The internal interface: core machines, agents and gates.

use crate::driver::{ControlOutcome, ControlRequest};
use crate::machine::{Explained, Machine};
use crate::peers::Envelope;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use streamusher_protocol::internal::{
    ClusterView, NotPrimary, AGENT_SYNC_PATH, CLIENT_REQUEST_PATH, CLUSTER_PATH,
    CLUSTER_WATCH_PATH, COORDINATION_PATH, EXPLAIN_PATH, GATE_LEASE_PATH, RELAY_PATH, STATUS_PATH,
};
use streamusher_runtime::http::{empty, json, parse_json, text, Request, Response};
use streamusher_scheduler::SchedulerResponse;

/// Answers a call on the internal port.
pub async fn answer(machine: Machine, call: Request) -> Response {
    match (call.method(), call.uri().path()) {
        (&Method::POST, COORDINATION_PATH) => core_messages(&machine, &call),
        (&Method::POST, AGENT_SYNC_PATH) => pass_on(&machine, &call, ControlRequest::Agent).await,
        (&Method::POST, CLIENT_REQUEST_PATH) => {
            pass_on(&machine, &call, ControlRequest::Client).await
        }
        (&Method::POST, GATE_LEASE_PATH) => gate_lease(&machine, &call),
        (&Method::POST, RELAY_PATH) => relay(&machine, &call),
        (&Method::GET, CLUSTER_PATH) => json(StatusCode::OK, &machine.view()),
        (&Method::POST, CLUSTER_WATCH_PATH) => cluster_watch(&machine, &call).await,
        (&Method::POST, EXPLAIN_PATH) => explain(&machine, &call),
        (&Method::GET, STATUS_PATH) => json(StatusCode::OK, &machine.status()),
        (_, path) => text(
            StatusCode::NOT_FOUND,
            format!("nothing is served at {path} on the internal port\n"),
        ),
    }
}

fn core_messages(machine: &Machine, call: &Request) -> Response {
    match parse_json::<Envelope>(call.body()) {
        Ok(envelope) => {
            machine.received(&envelope.from, envelope.messages);
            empty(StatusCode::NO_CONTENT)
        }
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn gate_lease(machine: &Machine, call: &Request) -> Response {
    match parse_json(call.body()) {
        Ok(lease) => match machine.gate_lease(&lease) {
            Some(reply) => json(StatusCode::OK, &reply),
            None => not_primary(machine.view()),
        },
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn relay(machine: &Machine, call: &Request) -> Response {
    match parse_json(call.body()) {
        Ok(envelope) => match machine.relay(envelope) {
            Some(()) => empty(StatusCode::NO_CONTENT),
            None => not_primary(machine.view()),
        },
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

async fn cluster_watch(machine: &Machine, call: &Request) -> Response {
    match parse_json(call.body()) {
        Ok(watch) => json(StatusCode::OK, &machine.view_after(watch).await),
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn explain(machine: &Machine, call: &Request) -> Response {
    match parse_json(call.body()) {
        Ok(asked) => match machine.explain(&asked) {
            Explained::Known(value) => json(StatusCode::OK, &value),
            Explained::Unknown(reason) => text(StatusCode::NOT_FOUND, format!("{reason}\n")),
            Explained::NotPrimary => not_primary(machine.view()),
        },
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn not_primary(view: ClusterView) -> Response {
    json(StatusCode::MISDIRECTED_REQUEST, &NotPrimary { view })
}

async fn pass_on<T: DeserializeOwned>(
    machine: &Machine,
    call: &Request,
    of_body: impl FnOnce(T) -> ControlRequest,
) -> Response {
    let call = match parse_json::<T>(call.body()) {
        Ok(body) => of_body(body),
        Err(error) => return text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    };
    match machine.call(call).await {
        ControlOutcome::Reply(SchedulerResponse::Agent(orders)) => json(StatusCode::OK, &orders),
        ControlOutcome::Reply(SchedulerResponse::Client(reply)) => json(StatusCode::OK, &reply),
        ControlOutcome::Reply(SchedulerResponse::Operator(_)) => {
            text(StatusCode::INTERNAL_SERVER_ERROR, "not an operator\n")
        }
        ControlOutcome::NotPrimary(view) => not_primary(view),
        ControlOutcome::Unknown => text(
            StatusCode::GATEWAY_TIMEOUT,
            "outcome unknown: repeat the call\n",
        ),
    }
}
