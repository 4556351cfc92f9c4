//! Runs the `monsoontrestle` command.

use std::process::ExitCode;

use bpaf::{Args, OptionParser, ParseFailure, Parser};
use ops::{Command, Exit, command};

const SUMMARY: &str =
    "A scheduler for latency-critical services and batch work that share the same VMs";
const HELP_WIDTH: usize = 100;

fn options() -> OptionParser<Command> {
    let codes = Exit::ALL.map(|exit| format!("{} {}", exit.code(), exit.meaning()));
    let footer = format!("Exit codes: {}", codes.join("; "));
    command()
        .to_options()
        .descr(SUMMARY)
        .footer(footer.as_str())
        .version(env!("CARGO_PKG_VERSION"))
}

fn main() -> ExitCode {
    match options().run_inner(Args::current_args()) {
        Ok(command) => ops::run(&command).into(),
        Err(failure) => report(failure),
    }
}

/// Prints help, a completion or what is wrong with the flags.
fn report(failure: ParseFailure) -> ExitCode {
    let exit = match failure {
        ParseFailure::Stderr(_) => Exit::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
    };
    failure.print_message(HELP_WIDTH);
    exit.into()
}
