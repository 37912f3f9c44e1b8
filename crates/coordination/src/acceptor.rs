//! The witness: promises and accepts proposals of the next record.

use crate::coordinator::Coordinator;
use crate::disk::Effect;
use crate::message::Message;
use crate::types::{EpochRecord, ProposalNumber};
use std::sync::Arc;

impl Coordinator {
    pub(crate) fn on_prepare(
        &mut self,
        from: &Arc<str>,
        base: Arc<EpochRecord>,
        ballot: ProposalNumber,
    ) {
        if !self.votes_on(from, &base) {
            return;
        }
        if ballot < self.witness.promise {
            return self.refuse(from);
        }
        if ballot > self.witness.promise {
            self.witness.promise = ballot;
            self.disk.put_witness(&self.witness);
        }
        let message = Message::Promised {
            from: self.witness.id,
            instance: base.epoch + 1,
            ballot,
            accepted: self.witness.accepted.clone(),
            position: self.applied,
        };
        self.disk.then(Effect::Send {
            to: from.clone(),
            message,
        });
    }

    pub(crate) fn on_accept(
        &mut self,
        from: &Arc<str>,
        base: Arc<EpochRecord>,
        ballot: ProposalNumber,
        value: Arc<EpochRecord>,
    ) {
        if !self.votes_on(from, &base) || value.epoch != base.epoch + 1 {
            return;
        }
        if ballot < self.witness.promise {
            return self.refuse(from);
        }
        let is_known = self
            .witness
            .accepted
            .as_ref()
            .is_some_and(|(known, _)| *known == ballot);
        if !is_known {
            self.witness.promise = ballot;
            self.witness.candidate |=
                value.proposer == self.witness.id && value.term == value.epoch;
            self.witness.accepted = Some((ballot, value));
            self.disk.put_witness(&self.witness);
        }
        let message = Message::Accepted {
            from: self.witness.id,
            instance: base.epoch + 1,
            ballot,
        };
        self.disk.then(Effect::Send {
            to: from.clone(),
            message,
        });
    }

    /// Whether this machine is one of those who decide the record after `base`.
    fn votes_on(&mut self, from: &Arc<str>, base: &Arc<EpochRecord>) -> bool {
        self.learn(base.clone());
        if self.witness.decided.epoch > base.epoch {
            self.tell_newest(from);
            return false;
        }
        self.witness.decided.is_member(self.witness.id)
    }

    fn refuse(&mut self, from: &Arc<str>) {
        let instance = self.witness.decided.epoch + 1;
        self.send(
            from.clone(),
            Message::Refused {
                instance,
                promise: self.witness.promise,
            },
        );
    }
}
