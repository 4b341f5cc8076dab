//! Measures what each role costs against the size of the system, with real processes on loopback.
//!
//! Prints a Markdown table with the fit of each series and what it gives at the target.

use {
    getopts::Options,
    miette::{IntoDiagnostic as _, Result, miette},
    std::{
        fs,
        time::{Duration, Instant},
    },
    tamarackdale_testbed::capacity::{
        report::Report,
        scenario::{self, NAMES, Settings},
    },
};

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "scenarios", "only these, separated by commas", "NAMES");
    options.optopt("", "window-ms", "length of a measurement [3000]", "MS");
    options.optopt("", "settling-ms", "time before a measurement [1500]", "MS");
    options.optopt("", "seed", "seed of arrivals [1]", "NUMBER");
    options.optopt("", "json", "also write the series to this file", "FILE");
    options.optflag("h", "help", "print this help");
    options
}

#[tokio::main]
async fn main() -> Result<()> {
    let options = options();
    let matches = options.parse(std::env::args().skip(1)).into_diagnostic()?;
    if matches.opt_present("help") {
        print!("{}", options.usage("Usage: capacity [OPTIONS]"));
        println!("\nScenarios: {}", NAMES.join(", "));
        return Ok(());
    }
    let number = |name: &str, default: u64| matches.opt_get_default(name, default);
    let settings = Settings {
        window: Duration::from_millis(number("window-ms", 3_000).into_diagnostic()?),
        settling: Duration::from_millis(number("settling-ms", 1_500).into_diagnostic()?),
        seed: number("seed", 1).into_diagnostic()?,
    };
    let chosen = matches.opt_str("scenarios");
    let names = chosen
        .as_deref()
        .map_or_else(|| NAMES.to_vec(), |names| names.split(',').collect());
    if let Some(unknown) = names.iter().find(|name| !NAMES.contains(name)) {
        return Err(miette!(
            "no scenario {unknown:?}; there are {}",
            NAMES.join(", ")
        ));
    }

    let report = measure(&names, &settings).await?;

    print!("\n{report}");
    if let Some(path) = matches.opt_str("json") {
        let text = serde_json::to_string_pretty(&report.json()).into_diagnostic()?;
        fs::write(path, text).into_diagnostic()?;
    }
    Ok(())
}

async fn measure(names: &[&str], settings: &Settings) -> Result<Report> {
    println!("window {:?}, seed {}", settings.window, settings.seed);
    let mut series = Vec::new();
    for name in names {
        let start = Instant::now();
        series.extend(scenario::run(name, settings).await.into_diagnostic()?);
        println!("{name}: {:.0} s", start.elapsed().as_secs_f64());
    }
    Ok(Report::new(series))
}
