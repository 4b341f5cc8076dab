//! Soaks gateways on the users' platform with faults drawn from seeds.
//!
//! `gateway_soak [--seed N] [--seeds COUNT] [--length-s SECONDS]` exits with 0 only if no promise
//! was broken.

use {
    getopts::Options,
    miette::{IntoDiagnostic as _, miette},
    std::time::Duration,
    tamarackdale_testbed::platform::soak,
};

#[tokio::main]
async fn main() -> miette::Result<()> {
    let mut options = Options::new();
    options.optopt("", "seed", "first seed [1]", "N");
    options.optopt(
        "",
        "seeds",
        "number of seeds, one after the other [1]",
        "COUNT",
    );
    options.optopt("", "length-s", "length of each run [10]", "SECONDS");
    let matches = options.parse(std::env::args().skip(1)).into_diagnostic()?;
    let number = |name: &str, default: u64| {
        let number = matches.opt_get_default(name, default);
        number.map_err(|error| miette!("--{name}: {error}"))
    };
    let first = number("seed", 1)?;
    let length = Duration::from_secs(number("length-s", 10)?);
    let mut broken = 0;
    for seed in first..first + number("seeds", 1)? {
        let report = soak::run(seed, length).await.into_diagnostic()?;
        println!(
            "seed {seed}: {} faults, {} of {} requests served, {} violations",
            report.faults.len(),
            report.served,
            report.requests,
            report.violations.len()
        );
        for violation in &report.violations {
            println!("  {violation}");
        }
        if !report.violations.is_empty() {
            println!("  faults: {}", report.faults.join("; "));
            broken += 1;
        }
    }
    match broken {
        0 => Ok(()),
        broken => Err(miette!("{broken} seeds broke a promise")),
    }
}
