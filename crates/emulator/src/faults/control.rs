//! Troubles of the control side: halves, long cuts, hundreds of changes, orders that come late or too early.

use super::{Draw, Fault};
use streamusher_protocol::Millis;

/// Stream of random numbers for these.
pub(super) const STREAM: u64 = 8;
/// A long cut: far above every lease, hold and time-out.
const LONG_CUT_MS: (Millis, Millis) = (12_000, 20_000);

impl Draw {
    /// Adds one to four troubles of the control side.
    pub(super) fn control_troubles(&mut self) {
        for _ in 0..1 + self.random.below(4) {
            let fault = self.control_trouble();
            let at = self.time(lasting(&fault));
            self.add(at, fault);
        }
    }

    fn control_trouble(&mut self) -> Fault {
        let core = self.core();
        let for_ms = self.random.between(500, 5_000);
        let long_ms = self.random.between(LONG_CUT_MS.0, LONG_CUT_MS.1);
        let down_ms = self.random.between(200, 1_500);
        match self.random.below(9) {
            0 | 1 => Fault::CutHalves { for_ms },
            2 => Fault::CutCore {
                core,
                one_way: self.random.chance(0.3),
                for_ms: long_ms,
            },
            3 => Fault::CutCoreWholly {
                core,
                for_ms: long_ms,
            },
            4 => Fault::PowerEverything {
                down_ms,
                wipe: None,
            },
            5 => Fault::ManyChanges {
                count: 50 + self.random.below(200),
                gap_ms: self.random.between(20, 60),
            },
            6 => Fault::Chain,
            7 => Fault::HoldUpOrders {
                most_ms: self.random.between(500, 5_000),
                for_ms: 6_000,
            },
            _ => Fault::AfterAcknowledgement(Box::new(Fault::PowerEverything {
                down_ms,
                wipe: None,
            })),
        }
    }
}

fn lasting(fault: &Fault) -> Millis {
    match fault {
        Fault::CutCore { for_ms, .. } | Fault::CutCoreWholly { for_ms, .. } => *for_ms,
        _ => 5_000,
    }
}
