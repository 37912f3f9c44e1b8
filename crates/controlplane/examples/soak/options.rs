//! The command line of the soak.

use anyhow::{bail, Context, Result};

/// The options of a soak run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SoakOptions {
    /// Seed of all random choices.
    pub(crate) seed: u64,
    /// Duration of the disruptions, in seconds.
    pub(crate) seconds: u64,
    /// Number of machines with an agent and a worker.
    pub(crate) agents: u8,
}

impl SoakOptions {
    /// Parses `--seed N`, `--seconds N` and `--agents N`; each has a default.
    pub(crate) fn parse(arguments: &[String]) -> Result<SoakOptions> {
        let mut options = SoakOptions {
            seed: 1,
            seconds: 20,
            agents: 6,
        };
        for pair in arguments.chunks(2) {
            let [name, value] = pair else {
                bail!("{}: a value is missing", pair.concat());
            };
            let number = || {
                value
                    .parse::<u64>()
                    .with_context(|| format!("{name} {value}"))
            };
            match name.as_str() {
                "--seed" => options.seed = number()?,
                "--seconds" => options.seconds = number()?,
                "--agents" => options.agents = number()?.try_into()?,
                _ => bail!("unknown option {name}: give --seed, --seconds and --agents"),
            }
        }
        Ok(options)
    }
}
