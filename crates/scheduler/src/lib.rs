//! Jobs, placement and worker leases joined into the primary's state machine; pure, told the time.
