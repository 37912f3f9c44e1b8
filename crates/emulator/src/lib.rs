//! The whole scheduler in one process and in virtual time, with faults from a seed and a checker of its rules.
