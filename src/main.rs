//! The dispatcher as a program. What it reads: `src/config.rs`.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    streamusher::program::main(std::env::args().skip(1))
}
