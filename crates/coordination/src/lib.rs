//! Epochs, witnesses, leases and primary-backup replication as pure state machines.
