//! Start of the program.

fn main() {}
