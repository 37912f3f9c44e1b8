//! Plays policies on the same days in virtual time and prints what each earns, with paired differences to the first.
//!
//! `cargo run --profile system -p streamusher-emulator --example policies -- --workload long-first --seeds 40 --without headroom`

use getopts::Options;
use std::process::ExitCode;
use std::sync::Arc;
use streamusher_emulator::experiment::{play_all, Estimate, Played, Trouble};
use streamusher_emulator::workload::presets;
use streamusher_emulator::workload::Workload;
use streamusher_scheduler::{Mechanism, Policy};

/// Seeds and threads where none are given.
const SEEDS: u64 = 20;
const THREADS: usize = 4;

struct Plan {
    workloads: Vec<Workload>,
    troubles: Vec<(&'static str, Trouble)>,
    policies: Vec<(String, Policy)>,
    first_seed: u64,
    seeds: u64,
    threads: usize,
    each_day: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match plan(&arguments) {
        Ok(plan) => run(&plan),
        Err(problem) => {
            eprintln!("{problem}");
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

fn plan(arguments: &[String]) -> Result<Plan, String> {
    let options = options();
    let usage = || options.usage("policies: what mechanisms of placement are worth");
    let matches = options
        .parse(arguments)
        .map_err(|problem| format!("{problem}\n{}", usage()))?;
    let number = |name: &str, default: u64| match matches.opt_str(name) {
        Some(text) => text
            .parse()
            .map_err(|_| format!("--{name} wants a number, not {text}")),
        None => Ok(default),
    };
    let mut workloads = Vec::new();
    for name in matches.opt_strs("workload") {
        workloads.push(presets::named(&name).ok_or(format!("no workload is called {name}"))?);
    }
    let mut troubles = Vec::new();
    for name in matches.opt_strs("days") {
        let named = Trouble::NAMED.into_iter().find(|(own, _)| *own == name);
        troubles.push(named.ok_or(format!("no days are called {name}"))?);
    }
    let mut policies = vec![("all".to_string(), Policy::default())];
    for name in matches.opt_strs("without") {
        let mechanism =
            Mechanism::from_name(&name).ok_or(format!("no mechanism is called {name}"))?;
        policies.push((format!("no {name}"), Policy::default().without(mechanism)));
    }
    if matches.opt_present("ablation") {
        let without = |mechanism: Mechanism| {
            (
                format!("no {mechanism}"),
                Policy::default().without(mechanism),
            )
        };
        policies.extend(Mechanism::ALL.into_iter().map(without));
    }
    if matches.opt_present("simplest") {
        policies.push(("simplest".to_string(), Policy::first_fit()));
    }
    Ok(Plan {
        workloads: if workloads.is_empty() {
            presets::all()
        } else {
            workloads
        },
        troubles: if troubles.is_empty() {
            Trouble::NAMED.to_vec()
        } else {
            troubles
        },
        policies,
        first_seed: number("from", 1)?,
        seeds: number("seeds", SEEDS)?,
        threads: number("threads", THREADS as u64)? as usize,
        each_day: matches.opt_present("each-day"),
    })
}

fn run(plan: &Plan) -> ExitCode {
    let mut broken = 0;
    for workload in &plan.workloads {
        let workload = Arc::new(workload.clone());
        for (days, trouble) in &plan.troubles {
            let policies: Vec<Policy> = plan.policies.iter().map(|(_, policy)| *policy).collect();
            let seeds = plan.first_seed..plan.first_seed + plan.seeds;
            let played = play_all(&workload, *trouble, &policies, seeds, plan.threads);
            println!("{} {days}, {} days", workload.name, plan.seeds);
            for ((name, _), days) in plan.policies.iter().zip(&played) {
                print_line(&workload, name, &played[0], days);
                broken += print_violations(days);
                if plan.each_day {
                    let figures: Vec<String> = days
                        .iter()
                        .map(|day| format!("{:.4}", day.account.figure()))
                        .collect();
                    println!("    each day: {}", figures.join(" "));
                }
            }
        }
    }
    if broken > 0 {
        eprintln!("{broken} days broke a rule");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

fn print_line(workload: &Workload, name: &str, before: &[Played], after: &[Played]) {
    let figures = |days: &[Played]| {
        days.iter()
            .map(|day| day.account.figure())
            .collect::<Vec<f64>>()
    };
    let difference = Estimate::of_pairs(&figures(before), &figures(after));
    let mean = |values: Vec<f64>| Estimate::of(&values).mean;
    let whole = mean(after.iter().map(|day| day.account.whole.value()).collect());
    let windows = mean(
        after
            .iter()
            .map(|day| day.account.worst_windows())
            .collect(),
    );
    let classes = workload.classes.iter().enumerate().map(|(index, class)| {
        let worth = mean(
            after
                .iter()
                .map(|day| day.account.classes[index].value())
                .collect(),
        );
        format!("{} {worth:.3}", class.name)
    });
    let classes: Vec<String> = classes.collect();
    println!(
        "  {name:16} {:.4} ({difference}) day {whole:.3} worst {windows:.3} | {}",
        mean(figures(after)),
        classes.join(" ")
    );
}

fn print_violations(days: &[Played]) -> usize {
    let broken = days.iter().filter(|day| !day.violations.is_empty());
    broken
        .inspect(|day| println!("    seed {}: {}", day.seed, day.violations[0]))
        .count()
}
