//! Runs the `monsoontrestle` command.

use std::process::ExitCode;

use bpaf::Parser;
use entry::EntryFlags;
use slog::{Drain, Logger, o};

/// What the command line asks for.
#[derive(Clone, Debug)]
enum Command {
    Entry(EntryFlags),
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("monsoontrestle: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> eyre::Result<()> {
    let Command::Entry(flags) = command().run();
    entry::run(flags.resolve()?, &logger())?;
    Ok(())
}

fn command() -> bpaf::OptionParser<Command> {
    entry::entry_flags()
        .map(Command::Entry)
        .to_options()
        .descr("Serves callers and schedules work; runs on the entry VMs.")
        .command("entry")
        .help("Run an entry")
        .to_options()
        .descr("A scheduler for latency-critical services and batch work that share VMs.")
        .version(env!("CARGO_PKG_VERSION"))
}

/// Returns a logger that writes text to standard error.
fn logger() -> Logger {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(drain, o!())
}
