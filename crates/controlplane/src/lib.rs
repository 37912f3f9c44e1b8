//! The control plane: primary, backups and witnesses on the core machines.
