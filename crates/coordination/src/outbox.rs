//! Outputs of the current input, and messages of a member to itself.

use crate::events::Output;
use crate::message::Message;
use std::collections::VecDeque;
use std::sync::Arc;

/// Collects the outputs that [`Coordinator::handle`](crate::Coordinator::handle) returns. A message to the
/// member's own address does not leave the process: it is handled before the call returns.
#[derive(Clone, Debug)]
pub(crate) struct Outbox {
    own_address: Arc<str>,
    loopback: VecDeque<Message>,
    outputs: Vec<Output>,
}

impl Outbox {
    /// Creates an empty outbox for the member with this address.
    pub(crate) fn new(own_address: Arc<str>) -> Outbox {
        Outbox {
            own_address,
            loopback: VecDeque::new(),
            outputs: Vec::new(),
        }
    }

    /// Queues a message to another member or to this one.
    pub(crate) fn send(&mut self, to: Arc<str>, message: Message) {
        if to == self.own_address {
            self.loopback.push_back(message);
        } else {
            self.outputs.push(Output::Send { to, message });
        }
    }

    /// Adds an output that is not a message.
    pub(crate) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Removes and returns the oldest message of the member to itself.
    pub(crate) fn take_loopback(&mut self) -> Option<Message> {
        self.loopback.pop_front()
    }

    /// Removes and returns all outputs.
    pub(crate) fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }
}
