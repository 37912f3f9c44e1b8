//! Which worker runs which task: room, queued copies, ranking, gangs, preemption; pure.
