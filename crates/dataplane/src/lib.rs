//! The data plane: the gate for clients and the agent beside each worker.
