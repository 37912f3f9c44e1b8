//! Runs the benchmark adapter on standard input and output. Malformed input ends it with an error message on
//! standard error.
#![forbid(unsafe_code)]

use std::io::{stdin, stdout, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    match streamusher::wire::run(stdin().lock(), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("streamusher-benchlink: {reason}");
            ExitCode::FAILURE
        }
    }
}
