//! Entry point of `tamarackdaled`.

use std::process::ExitCode;

fn main() -> ExitCode {
    tamarackdaled::cli::run()
}
