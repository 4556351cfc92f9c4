//! Runs the `monsoontrestle` command.

use std::process::ExitCode;
use std::sync::Arc;

use base::SystemClock;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct};
use entry::EntryFlags;
use ops::Exit;

const SUMMARY: &str =
    "A scheduler for latency-critical services and batch work that share the same VMs";
const HELP_WIDTH: usize = 100;

/// What the command line asks for.
#[derive(Clone, Debug)]
enum Command {
    Entry(EntryFlags),
    Operator(ops::Command),
}

fn main() -> ExitCode {
    match options().run_inner(Args::current_args()) {
        Ok(Command::Operator(command)) => ops::run(&command).into(),
        Ok(Command::Entry(flags)) => match serve(flags) {
            Ok(()) => Exit::Done.into(),
            Err(e) => {
                eprintln!("monsoontrestle: {e}");
                Exit::Fault.into()
            }
        },
        Err(failure) => explain(failure),
    }
}

fn serve(flags: EntryFlags) -> eyre::Result<()> {
    let log = report::logger(flags.log_format, Arc::new(SystemClock));
    let token = flags.token.resolve()?;
    entry::run(flags.resolve()?, token, &log)?;
    Ok(())
}

fn options() -> OptionParser<Command> {
    let codes = Exit::ALL.map(|exit| format!("{} {}", exit.code(), exit.meaning()));
    let footer = format!("Exit codes: {}", codes.join("; "));
    let entry = entry::entry_flags()
        .map(Command::Entry)
        .to_options()
        .descr("Serves callers and schedules work; runs on the entry VMs")
        .command("entry");
    let operator = ops::command().map(Command::Operator);
    construct!([entry, operator])
        .to_options()
        .descr(SUMMARY)
        .footer(footer.as_str())
        .version(env!("CARGO_PKG_VERSION"))
}

/// Prints help, a completion or what is wrong with the flags.
fn explain(failure: ParseFailure) -> ExitCode {
    let exit = match failure {
        ParseFailure::Stderr(_) => Exit::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
    };
    failure.print_message(HELP_WIDTH);
    exit.into()
}
