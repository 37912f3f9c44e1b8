//! Simulates policies on the same workloads, faults and seeds, and prints the value that each earns, with
//! paired differences to the first policy.
//!
//! `cargo run --profile system -p streamusher-emulator --example policies -- --workload long-first --seeds 40 --without headroom`

use getopts::{Matches, Options};
use std::process::ExitCode;
use std::str::FromStr;
use std::sync::Arc;
use streamusher_emulator::experiment::{
    simulate_all, Estimate, FaultProfile, PolicyOutcome, UnknownFaultProfile,
};
use streamusher_emulator::workload::presets;
use streamusher_emulator::workload::Workload;
use streamusher_scheduler::{Mechanism, Policy};

/// Number of seeds if none is given.
const DEFAULT_SEEDS: u64 = 20;
/// Number of threads if none is given.
const DEFAULT_THREADS: usize = 4;
const FIRST_SEED: u64 = 1;

/// Error in the command line arguments.
#[derive(Debug, thiserror::Error)]
enum ArgumentError {
    #[error("{source}\n{usage}")]
    Options {
        source: getopts::Fail,
        usage: String,
    },
    #[error("--{option} requires a number, but got {text}")]
    NotANumber { option: &'static str, text: String },
    #[error("unknown workload {0}")]
    UnknownWorkload(String),
    #[error(transparent)]
    UnknownFaultProfile(#[from] UnknownFaultProfile),
    #[error("unknown mechanism {0}")]
    UnknownMechanism(String),
}

/// A policy with its name in the output.
struct NamedPolicy {
    name: String,
    policy: Policy,
}

impl NamedPolicy {
    fn without(mechanism: Mechanism) -> NamedPolicy {
        NamedPolicy {
            name: format!("no {mechanism}"),
            policy: Policy::default().without(mechanism),
        }
    }
}

/// Simulations to run, as given on the command line.
struct Plan {
    workloads: Vec<Workload>,
    profiles: Vec<FaultProfile>,
    policies: Vec<NamedPolicy>,
    first_seed: u64,
    seeds: u64,
    threads: usize,
    prints_each_seed: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match plan(&arguments) {
        Ok(plan) => run(&plan),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti(
        "",
        "workload",
        "a workload; all workloads if not given",
        "NAME",
    );
    options.optmulti(
        "",
        "days",
        "fault profile: calm, workers or failover; all profiles if not given",
        "KIND",
    );
    options.optmulti(
        "",
        "without",
        "adds the policy without this mechanism",
        "MECHANISM",
    );
    options.optflag(
        "",
        "ablation",
        "adds, for each mechanism, the policy without it",
    );
    options.optflag("", "simplest", "adds the policy without any mechanism");
    options.optopt(
        "",
        "seeds",
        "simulations per workload and fault profile",
        "COUNT",
    );
    options.optopt("", "from", "first seed", "SEED");
    options.optflag("", "each-day", "also print the score of each simulation");
    options.optopt("", "threads", "simulations to run in parallel", "COUNT");
    options
}

fn plan(arguments: &[String]) -> Result<Plan, ArgumentError> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|source| ArgumentError::Options {
            source,
            usage: options.usage("policies: measures the value of placement mechanisms"),
        })?;
    Ok(Plan {
        workloads: workloads(&matches)?,
        profiles: profiles(&matches)?,
        policies: policies(&matches)?,
        first_seed: number(&matches, "from", FIRST_SEED)?,
        seeds: number(&matches, "seeds", DEFAULT_SEEDS)?,
        threads: number(&matches, "threads", DEFAULT_THREADS)?,
        prints_each_seed: matches.opt_present("each-day"),
    })
}

fn number<T: FromStr>(
    matches: &Matches,
    option: &'static str,
    default: T,
) -> Result<T, ArgumentError> {
    let Some(text) = matches.opt_str(option) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| ArgumentError::NotANumber { option, text })
}

fn workloads(matches: &Matches) -> Result<Vec<Workload>, ArgumentError> {
    let names = matches.opt_strs("workload");
    if names.is_empty() {
        return Ok(presets::all());
    }
    let find = |name: String| presets::named(&name).ok_or(ArgumentError::UnknownWorkload(name));
    names.into_iter().map(find).collect()
}

fn profiles(matches: &Matches) -> Result<Vec<FaultProfile>, ArgumentError> {
    let names = matches.opt_strs("days");
    if names.is_empty() {
        return Ok(FaultProfile::ALL.to_vec());
    }
    let parse = |name: &String| name.parse::<FaultProfile>().map_err(ArgumentError::from);
    names.iter().map(parse).collect()
}

fn policies(matches: &Matches) -> Result<Vec<NamedPolicy>, ArgumentError> {
    let all = NamedPolicy {
        name: "all".to_string(),
        policy: Policy::default(),
    };
    let mut policies = vec![all];
    for name in matches.opt_strs("without") {
        let mechanism = Mechanism::from_name(&name).ok_or(ArgumentError::UnknownMechanism(name))?;
        policies.push(NamedPolicy::without(mechanism));
    }
    if matches.opt_present("ablation") {
        policies.extend(Mechanism::ALL.into_iter().map(NamedPolicy::without));
    }
    if matches.opt_present("simplest") {
        policies.push(NamedPolicy {
            name: "simplest".to_string(),
            policy: Policy::first_fit(),
        });
    }
    Ok(policies)
}

fn run(plan: &Plan) -> ExitCode {
    let mut violating = 0;
    for workload in &plan.workloads {
        let workload = Arc::new(workload.clone());
        for profile in &plan.profiles {
            violating += run_profile(plan, &workload, *profile);
        }
    }
    if violating > 0 {
        eprintln!("{violating} simulations violated a rule");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Returns the number of simulations that violated a rule.
fn run_profile(plan: &Plan, workload: &Arc<Workload>, profile: FaultProfile) -> usize {
    let policies: Vec<Policy> = plan.policies.iter().map(|named| named.policy).collect();
    let seeds = plan.first_seed..plan.first_seed + plan.seeds;
    let outcomes = simulate_all(workload, profile, &policies, seeds, plan.threads);
    println!("{} {profile}, {} simulations", workload.name, plan.seeds);
    let mut violating = 0;
    for (named, policy_outcomes) in plan.policies.iter().zip(&outcomes) {
        print_line(workload, &named.name, &outcomes[0], policy_outcomes);
        violating += print_violations(policy_outcomes);
        if plan.prints_each_seed {
            let scores: Vec<String> = scores(policy_outcomes)
                .iter()
                .map(|score| format!("{score:.4}"))
                .collect();
            println!("    each simulation: {}", scores.join(" "));
        }
    }
    violating
}

fn scores(outcomes: &[PolicyOutcome]) -> Vec<f64> {
    outcomes
        .iter()
        .map(|outcome| outcome.earned.score())
        .collect()
}

fn mean(outcomes: &[PolicyOutcome], value: impl Fn(&PolicyOutcome) -> f64) -> f64 {
    let values: Vec<f64> = outcomes.iter().map(value).collect();
    Estimate::of(&values).mean
}

fn print_line(workload: &Workload, name: &str, before: &[PolicyOutcome], after: &[PolicyOutcome]) {
    let difference = Estimate::of_pairs(&scores(before), &scores(after));
    let score = mean(after, |outcome| outcome.earned.score());
    let whole = mean(after, |outcome| outcome.earned.whole.value());
    let windows = mean(after, |outcome| outcome.earned.worst_windows());
    let classes = workload.classes.iter().enumerate().map(|(index, class)| {
        let value = mean(after, |outcome| outcome.earned.classes[index].value());
        format!("{} {value:.3}", class.name)
    });
    let classes: Vec<String> = classes.collect();
    println!(
        "  {name:16} {score:.4} ({difference}) day {whole:.3} worst {windows:.3} | {}",
        classes.join(" ")
    );
}

fn print_violations(outcomes: &[PolicyOutcome]) -> usize {
    let mut violating = 0;
    for outcome in outcomes {
        if let Some(violation) = outcome.violations.first() {
            println!("    seed {}: {violation}", outcome.seed);
            violating += 1;
        }
    }
    violating
}
