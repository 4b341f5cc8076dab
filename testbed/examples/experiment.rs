//! Compares policies under load and writes their outcomes as JSON and as plots.

use {
    getopts::{Matches, Options},
    miette::{IntoDiagnostic as _, miette},
    std::{fs, path::Path, process::ExitCode, str::FromStr, time::Duration},
    tamarackdale_testbed::experiment::{Curve, Fault, Figure, Outcome, Policy, Profile, Trial},
};

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "profiles", "slibehuset, hsinchu [hsinchu]", "NAMES");
    options.optopt(
        "",
        "policies",
        "names, or all [least-outstanding,whole]",
        "NAMES",
    );
    options.optopt(
        "",
        "loads",
        "relative to the capacity [0.7,1.0,1.3,2.0]",
        "NUMBERS",
    );
    options.optopt("", "seeds", "seeds of the arrivals [1]", "NUMBERS");
    options.optopt("", "seconds", "length of a trial [30]", "NUMBER");
    options.optopt("", "report-interval-ms", "time between reports", "NUMBER");
    options.optflag(
        "",
        "slow",
        "one engine in five is ten times as slow mid-run",
    );
    options.optopt(
        "",
        "flood",
        "class and caller that offer tenfold",
        "CLASS,CALLER",
    );
    options.optopt("", "output", "folder for results and plots", "FOLDER");
    options
}

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1)).into_diagnostic()?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: experiment [OPTIONS]"));
        return Ok(ExitCode::SUCCESS);
    }
    let trials = trials(&matches)?;
    let mut outcomes = Vec::new();
    for (index, trial) in trials.iter().enumerate() {
        eprintln!(
            "{}/{}: {} {} at {} with seed {}",
            index + 1,
            trials.len(),
            trial.profile.name,
            trial.policy.name,
            trial.load,
            trial.seed
        );
        let outcome = trial.run().await.into_diagnostic()?;
        print_outcome(&outcome);
        outcomes.push(outcome);
    }
    if let Some(folder) = matches.opt_str("output") {
        write(Path::new(&folder), &outcomes)?;
    }
    Ok(ExitCode::SUCCESS)
}

fn trials(matches: &Matches) -> miette::Result<Vec<Trial>> {
    let length = Duration::from_secs(list(matches, "seconds", "30")?[0]);
    let fault = Fault {
        from: length / 3,
        to: length * 2 / 3,
        every: 5,
        factor: 10.0,
    };
    let interval = matches
        .opt_get::<u64>("report-interval-ms")
        .into_diagnostic()?;
    let flood = match matches.opt_present("flood") {
        true => list::<usize>(matches, "flood", "")?,
        false => Vec::new(),
    };
    let mut trials = Vec::new();
    for profile in profiles(matches)? {
        for seed in list(matches, "seeds", "1")? {
            for load in list(matches, "loads", "0.7,1.0,1.3,2.0")? {
                for policy in policies(matches)? {
                    trials.push(Trial {
                        profile: profile.clone(),
                        policy,
                        load,
                        seed,
                        length,
                        report_interval: interval.map(Duration::from_millis),
                        fault: matches.opt_present("slow").then_some(fault),
                        flood: flood.first().copied().zip(flood.get(1).copied()),
                    });
                }
            }
        }
    }
    Ok(trials)
}

fn profiles(matches: &Matches) -> miette::Result<Vec<Profile>> {
    let names = matches.opt_str("profiles").unwrap_or("hsinchu".to_owned());
    let profile = |name: &str| Profile::named(name).ok_or(miette!("no profile {name}"));
    names.split(',').map(profile).collect()
}

fn policies(matches: &Matches) -> miette::Result<Vec<Policy>> {
    let names = matches.opt_str("policies");
    let names = names.unwrap_or("least-outstanding,whole".to_owned());
    if names == "all" {
        return Ok(Policy::ALL.to_vec());
    }
    let policy = |name: &str| Policy::named(name).ok_or(miette!("no policy {name}"));
    names.split(',').map(policy).collect()
}

fn list<T: FromStr>(matches: &Matches, name: &str, default: &str) -> miette::Result<Vec<T>> {
    let text = matches.opt_str(name).unwrap_or(default.to_owned());
    let number = |part: &str| {
        part.parse()
            .map_err(|_| miette!("--{name}: {part:?} is no number"))
    };
    text.split(',').map(number).collect()
}

fn print_outcome(outcome: &Outcome) {
    for (name, tier) in &outcome.tiers {
        println!(
            "  {name:<11} offered {:>5} good {:>5} ({:>5.1}%) late {:>4} broken {:>4} first token p50 {:>6.0} p95 {:>6.0} ms, refused {:?}",
            tier.offered,
            tier.good,
            tier.goodput() * 100.0,
            tier.late,
            tier.broken,
            tier.first_token_p50_ms,
            tier.first_token_p95_ms,
            tier.refused,
        );
    }
    println!(
        "  good {}, prefill computed {} cached {} wasted {}; sheds {}, inversions {} (unsettled {}); \
         {} given up, answered after p50 {:.0} p99 {:.0} ms; offers late by up to {:.0} ms",
        outcome.good(),
        outcome.prefilled_tokens,
        outcome.cached_tokens,
        outcome.wasted_prefill_tokens,
        outcome.sheds,
        outcome.inversions,
        outcome.inversions_unsettled,
        outcome.given_up,
        outcome.answer_delay_p50_ms,
        outcome.answer_delay_p99_ms,
        outcome.offer_lateness_ms,
    );
}

fn write(folder: &Path, outcomes: &[Outcome]) -> miette::Result<()> {
    fs::create_dir_all(folder).into_diagnostic()?;
    let json = serde_json::to_string_pretty(outcomes).into_diagnostic()?;
    fs::write(folder.join("outcomes.json"), json).into_diagnostic()?;
    let mut profiles: Vec<&str> = outcomes
        .iter()
        .map(|outcome| outcome.profile.as_str())
        .collect();
    profiles.dedup();
    for profile in profiles {
        let of_profile: Vec<&Outcome> = outcomes
            .iter()
            .filter(|outcome| outcome.profile == profile)
            .collect();
        for figure in figures(profile, &of_profile) {
            let name = format!("{}.svg", figure.title.replace([' ', ':'], "-"));
            let drawn = figure.draw(&folder.join(name));
            drawn.map_err(|error| miette!("a plot cannot be drawn: {error}"))?;
        }
    }
    Ok(())
}

/// Goodput and first token of each tier, and wasted prefill.
fn figures(profile: &str, outcomes: &[&Outcome]) -> Vec<Figure> {
    let tiers = outcomes.first().map_or(&[][..], |outcome| &outcome.tiers);
    let mut figures = vec![figure(
        format!("{profile} wasted prefill"),
        "wasted prefill, tokens",
        outcomes,
        |outcome| outcome.wasted_prefill_tokens as f64,
    )];
    for (index, (tier, _)) in tiers.iter().enumerate() {
        figures.push(figure(
            format!("{profile} goodput {tier}"),
            "good answers / offered",
            outcomes,
            |outcome| outcome.tiers[index].1.goodput(),
        ));
        figures.push(figure(
            format!("{profile} first token {tier}"),
            "first token p95, ms",
            outcomes,
            |outcome| outcome.tiers[index].1.first_token_p95_ms,
        ));
    }
    figures
}

/// A figure of the medians over the seeds.
fn figure(
    title: String,
    measure: &str,
    outcomes: &[&Outcome],
    value: impl Fn(&Outcome) -> f64,
) -> Figure {
    let mut curves: Vec<Curve> = Vec::new();
    for policy in Policy::ALL {
        let of_policy = outcomes
            .iter()
            .filter(|outcome| outcome.policy == policy.name);
        let mut loads: Vec<f64> = of_policy.clone().map(|outcome| outcome.load).collect();
        loads.sort_by(f64::total_cmp);
        loads.dedup();
        let points = loads.into_iter().map(|load| {
            let at_load = of_policy.clone().filter(|outcome| outcome.load == load);
            (
                load,
                median(at_load.map(|outcome| value(outcome)).collect()),
            )
        });
        let points: Vec<(f64, f64)> = points.collect();
        if !points.is_empty() {
            curves.push(Curve {
                name: policy.name.to_owned(),
                points,
            });
        }
    }
    Figure {
        title,
        measure: measure.to_owned(),
        curves,
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
