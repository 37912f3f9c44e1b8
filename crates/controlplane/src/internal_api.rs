//! The internal HTTP interface, for control machines, agents and gates.

use crate::control_machine::explain::ExplainOutcome;
use crate::control_machine::ControlMachine;
use crate::driver::{ControlOutcome, ControlRequest};
use crate::peer_messages::PeerEnvelope;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use streamusher_protocol::internal::{
    ClusterView, ClusterWatch, ExplainRequest, GateLeaseRequest, NotPrimary, AGENT_SYNC_PATH,
    CLIENT_REQUEST_PATH, CLUSTER_PATH, CLUSTER_WATCH_PATH, COORDINATION_PATH, EXPLAIN_PATH,
    GATE_LEASE_PATH, RELAY_PATH, STATUS_PATH,
};
use streamusher_runtime::http::{empty, json, parse_json, text, BodyError, Request, Response};
use streamusher_scheduler::SchedulerResponse;

/// Handles a request to the internal port.
pub(crate) async fn serve(machine: ControlMachine, request: Request) -> Response {
    let served = match (request.method(), request.uri().path()) {
        (&Method::POST, COORDINATION_PATH) => peer_messages(&machine, &request),
        (&Method::POST, AGENT_SYNC_PATH) => {
            execute(&machine, &request, ControlRequest::Agent).await
        }
        (&Method::POST, CLIENT_REQUEST_PATH) => {
            execute(&machine, &request, ControlRequest::Client).await
        }
        (&Method::POST, GATE_LEASE_PATH) => renew_gate_lease(&machine, &request),
        (&Method::POST, RELAY_PATH) => relay_messages(&machine, &request),
        (&Method::GET, CLUSTER_PATH) => Ok(json(StatusCode::OK, &machine.view())),
        (&Method::POST, CLUSTER_WATCH_PATH) => watch_view(&machine, &request).await,
        (&Method::POST, EXPLAIN_PATH) => explain(&machine, &request),
        (&Method::GET, STATUS_PATH) => Ok(json(StatusCode::OK, &machine.status())),
        (_, path) => Ok(not_found(path)),
    };
    served.unwrap_or_else(|error| text(StatusCode::BAD_REQUEST, format!("{error}\n")))
}

fn peer_messages(machine: &ControlMachine, request: &Request) -> Result<Response, BodyError> {
    let envelope: PeerEnvelope = parse_json(request.body())?;
    machine.on_peer_messages(&envelope.from, envelope.messages);
    Ok(empty(StatusCode::NO_CONTENT))
}

fn renew_gate_lease(machine: &ControlMachine, request: &Request) -> Result<Response, BodyError> {
    let lease: GateLeaseRequest = parse_json(request.body())?;
    Ok(match machine.renew_gate_lease(&lease) {
        Ok(renewed) => json(StatusCode::OK, &renewed),
        Err(_) => not_primary(machine.view()),
    })
}

fn relay_messages(machine: &ControlMachine, request: &Request) -> Result<Response, BodyError> {
    let envelope = parse_json(request.body())?;
    Ok(match machine.on_relay_messages(envelope) {
        Ok(()) => empty(StatusCode::NO_CONTENT),
        Err(_) => not_primary(machine.view()),
    })
}

async fn watch_view(machine: &ControlMachine, request: &Request) -> Result<Response, BodyError> {
    let watch: ClusterWatch = parse_json(request.body())?;
    Ok(json(StatusCode::OK, &machine.view_after(watch).await))
}

fn explain(machine: &ControlMachine, request: &Request) -> Result<Response, BodyError> {
    let explain_request: ExplainRequest = parse_json(request.body())?;
    Ok(match machine.explain(&explain_request) {
        ExplainOutcome::Known(value) => json(StatusCode::OK, &value),
        ExplainOutcome::Unknown(reason) => text(StatusCode::NOT_FOUND, format!("{reason}\n")),
        ExplainOutcome::NotPrimary => not_primary(machine.view()),
    })
}

/// Passes a request from a gate or an agent to the scheduler, if this machine is the acting primary.
async fn execute<T: DeserializeOwned>(
    machine: &ControlMachine,
    request: &Request,
    to_control_request: impl FnOnce(T) -> ControlRequest,
) -> Result<Response, BodyError> {
    let body: T = parse_json(request.body())?;
    let outcome = machine.execute(to_control_request(body)).await;
    Ok(response_to(outcome))
}

/// The HTTP response for the outcome of a request from a gate or an agent.
pub fn response_to(outcome: ControlOutcome) -> Response {
    match outcome {
        ControlOutcome::Response(SchedulerResponse::Agent(commands)) => {
            json(StatusCode::OK, &commands)
        }
        ControlOutcome::Response(SchedulerResponse::Client(response)) => {
            json(StatusCode::OK, &response)
        }
        ControlOutcome::Response(SchedulerResponse::Operator(_)) => {
            text(StatusCode::INTERNAL_SERVER_ERROR, "not an operator\n")
        }
        ControlOutcome::NotPrimary(view) => not_primary(view),
        ControlOutcome::Unknown => text(
            StatusCode::GATEWAY_TIMEOUT,
            "outcome unknown: repeat the call\n",
        ),
    }
}

fn not_primary(view: ClusterView) -> Response {
    json(StatusCode::MISDIRECTED_REQUEST, &NotPrimary { view })
}

fn not_found(path: &str) -> Response {
    text(
        StatusCode::NOT_FOUND,
        format!("nothing is served at {path} on the internal port\n"),
    )
}
