//! One scheduling cycle: the state that the steps of one call of [`Placement::place`](crate::Placement::place) share.

use crate::cluster::Cluster;
use crate::decision::Decision;
use crate::index::QueueKey;
use crate::unit_view::UnitView;
use rand_pcg::Pcg32;
use streamusher_protocol::Millis;

/// Searches for capacity in one cycle, for the most urgent units: they cost the most by far.
const MAX_SEARCHES: usize = 16;

/// One scheduling cycle.
#[derive(Debug)]
pub(crate) struct SchedulingCycle<'a> {
    pub(crate) cluster: &'a mut Cluster,
    pub(crate) random: &'a mut Pcg32,
    pub(crate) now: Millis,
    /// Searches for capacity that this cycle may still make.
    pub(crate) remaining_searches: usize,
    /// What was decided so far.
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

    /// A pending unit as it stands now; none where it is not pending any more.
    pub(crate) fn view(&self, key: QueueKey) -> Option<UnitView<'_>> {
        UnitView::new(self.cluster, self.now, key)
    }

    pub(crate) fn is_pending(&self, key: QueueKey) -> bool {
        self.cluster.queue.get(key).is_some()
    }
}
