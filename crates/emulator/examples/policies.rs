//! Simulates policies on the same workloads, faults and seeds, and prints what each earns, with paired differences to the
//! first.
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

/// Seeds where no number is given.
const DEFAULT_SEEDS: u64 = 20;
/// Threads where no number is given.
const DEFAULT_THREADS: usize = 4;
const FIRST_SEED: u64 = 1;

/// Why there is no plan.
#[derive(Debug, thiserror::Error)]
enum ArgumentError {
    #[error("{source}\n{usage}")]
    Options {
        source: getopts::Fail,
        usage: String,
    },
    #[error("--{option} wants a number, not {text}")]
    NotANumber { option: &'static str, text: String },
    #[error("no workload is called {0}")]
    UnknownWorkload(String),
    #[error(transparent)]
    UnknownFaultProfile(#[from] UnknownFaultProfile),
    #[error("no mechanism is called {0}")]
    UnknownMechanism(String),
}

/// A policy and how it is called in the output.
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

/// What is simulated.
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
        "a workload; all where none is given",
        "NAME",
    );
    options.optmulti(
        "",
        "days",
        "calm, workers or failover; all where none is given",
        "KIND",
    );
    options.optmulti(
        "",
        "without",
        "a policy without this mechanism",
        "MECHANISM",
    );
    options.optflag("", "ablation", "a policy for each mechanism, without it");
    options.optflag("", "simplest", "the policy without any mechanism");
    options.optopt("", "seeds", "days of each kind", "COUNT");
    options.optopt("", "from", "first seed", "SEED");
    options.optflag("", "each-day", "print the figure of each day too");
    options.optopt("", "threads", "days played at once", "COUNT");
    options
}

fn plan(arguments: &[String]) -> Result<Plan, ArgumentError> {
    let options = options();
    let matches = options
        .parse(arguments)
        .map_err(|source| ArgumentError::Options {
            source,
            usage: options.usage("policies: what mechanisms of placement are worth"),
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
    let mut broken = 0;
    for workload in &plan.workloads {
        let workload = Arc::new(workload.clone());
        for profile in &plan.profiles {
            broken += run_profile(plan, &workload, *profile);
        }
    }
    if broken > 0 {
        eprintln!("{broken} days broke a rule");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Returns in how many simulations a rule was broken.
fn run_profile(plan: &Plan, workload: &Arc<Workload>, profile: FaultProfile) -> usize {
    let policies: Vec<Policy> = plan.policies.iter().map(|named| named.policy).collect();
    let seeds = plan.first_seed..plan.first_seed + plan.seeds;
    let outcomes = simulate_all(workload, profile, &policies, seeds, plan.threads);
    println!("{} {profile}, {} days", workload.name, plan.seeds);
    let mut broken = 0;
    for (named, of_policy) in plan.policies.iter().zip(&outcomes) {
        print_line(workload, &named.name, &outcomes[0], of_policy);
        broken += print_violations(of_policy);
        if plan.prints_each_seed {
            let scores: Vec<String> = scores(of_policy)
                .iter()
                .map(|score| format!("{score:.4}"))
                .collect();
            println!("    each day: {}", scores.join(" "));
        }
    }
    broken
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
    let mut broken = 0;
    for outcome in outcomes {
        if let Some(violation) = outcome.violations.first() {
            println!("    seed {}: {violation}", outcome.seed);
            broken += 1;
        }
    }
    broken
}
