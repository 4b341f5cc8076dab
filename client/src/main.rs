//! Entry point of `tamarackdale`.

use std::process::ExitCode;

fn main() -> ExitCode {
    tamarackdale::cli::run()
}
