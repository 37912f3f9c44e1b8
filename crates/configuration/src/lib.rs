//! The operators' configuration: checking, versions, repeated orders; the relay tree that distributes it.
