//! Runs the companion.

use std::process::ExitCode;

use slog::{Drain, Logger, o};

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
    let cfg = companion::companion_flags().run().resolve()?;
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    let log = Logger::root(drain, o!());
    companion::run(cfg, &log)?;
    Ok(())
}
