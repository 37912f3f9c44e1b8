//! The dispatcher as a program. `src/config/mod.rs` describes the configuration that it reads.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    streamusher::program::main(std::env::args().skip(1))
}
