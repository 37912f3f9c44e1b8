//! State shared by the steps of one scheduling cycle, that is, of one call of
//! [`Placement::place`](crate::Placement::place).

use crate::cluster::Cluster;
use crate::decision::Decision;
use crate::index::QueueKey;
use crate::unit_view::UnitView;
use rand_pcg::Pcg32;
use streamusher_protocol::Millis;

/// Maximum number of capacity searches in one cycle, which go to the most urgent units; searches are by far
/// the most expensive step.
const MAX_SEARCHES: usize = 16;

/// State of one scheduling cycle.
#[derive(Debug)]
pub(crate) struct SchedulingCycle<'a> {
    pub(crate) cluster: &'a mut Cluster,
    pub(crate) random: &'a mut Pcg32,
    pub(crate) now: Millis,
    /// Number of capacity searches that this cycle may still make.
    pub(crate) remaining_searches: usize,
    /// Decisions made so far.
    pub(crate) decisions: Vec<Decision>,
}

impl<'a> SchedulingCycle<'a> {
    pub(crate) fn new(
        cluster: &'a mut Cluster,
        random: &'a mut Pcg32,
        now: Millis,
    ) -> SchedulingCycle<'a> {
        SchedulingCycle {
            cluster,
            random,
            now,
            remaining_searches: MAX_SEARCHES,
            decisions: Vec::new(),
        }
    }

    /// Current view of a pending unit; `None` if it is no longer pending.
    pub(crate) fn view(&self, key: QueueKey) -> Option<UnitView<'_>> {
        UnitView::new(self.cluster, self.now, key)
    }

    pub(crate) fn is_pending(&self, key: QueueKey) -> bool {
        self.cluster.queue.get(key).is_some()
    }
}
