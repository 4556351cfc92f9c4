//! Runs the companion.

use std::process::ExitCode;
use std::sync::Arc;

use base::SystemClock;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("monsoontrestle-companion: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<()> {
    let flags = companion::companion_flags().run();
    let log = report::logger(flags.log_format, Arc::new(SystemClock));
    let token = flags.token.resolve()?;
    companion::run(flags.resolve()?, token, &log)?;
    Ok(())
}
