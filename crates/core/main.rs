//! Runs the `monsoontrestle` command.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use base::SystemClock;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct, pure};
use controller::{Advisor, ControllerCfg};
use entry::EntryFlags;
use ops::Exit;
use platform::{HttpAdvisor, HttpCallerCodec, KvStore, SettingsFile};

const SUMMARY: &str =
    "A scheduler for latency-critical services and batch work that share the same VMs";
const HELP_WIDTH: usize = 100;

/// The parsed subcommand.
#[derive(Clone, Debug)]
enum Command {
    Entry(EntryFlags),
    Site,
    Explain(ops::ExplainFlags),
    Account(ops::AccountFlags),
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
        Ok(Command::Site) => match serve_site() {
            Ok(()) => Exit::Done.into(),
            Err(e) => {
                eprintln!("monsoontrestle: {e}");
                Exit::Fault.into()
            }
        },
        Ok(Command::Explain(flags)) => print_result(ops::explain(&flags)),
        Ok(Command::Account(flags)) => print_result(ops::account(&flags)),
        Err(failure) => print_usage(failure),
    }
}

fn print_result(result: Result<String, ops::Failure>) -> ExitCode {
    match result {
        Ok(text) => {
            print!("{text}");
            Exit::Done.into()
        }
        Err(e) => {
            eprintln!("monsoontrestle: {e}");
            e.exit().into()
        }
    }
}

fn serve(flags: EntryFlags) -> eyre::Result<()> {
    let log = report::logger(flags.log_format, Arc::new(SystemClock));
    let token = flags.token.resolve()?;
    entry::run(flags.resolve()?, token, &log)?;
    Ok(())
}

/// Runs an entry, configured by the platform's settings file.
fn serve_site() -> eyre::Result<()> {
    let log = report::decision_logger(Arc::new(SystemClock));
    let settings = SettingsFile::from_env()?.read()?;
    let (Some(front), Some(ready)) = (settings.front_addr, settings.ready_addr) else {
        eyre::bail!("the settings file has no front address or no readiness address");
    };
    let rpc = SocketAddr::new(settings.ip, settings.rpc_port);
    let cfg = ControllerCfg::new(settings.vm, front, ready, rpc, settings.retention)
        .within(settings.min_store_lease, settings.max_worker_lease)
        .on_vm(settings.cpu_share, settings.link_mbps)
        .with_cordon(settings.cordon);
    let store = Arc::new(KvStore::new(settings.store_addr));
    let advisor = settings.advisor_addr.map(HttpAdvisor::new);
    let advisor = advisor.map(|a| Arc::new(a) as Arc<dyn Advisor>);
    controller::run(&cfg, store, advisor, Arc::new(HttpCallerCodec), &log)?;
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
    let site = pure(Command::Site)
        .to_options()
        .descr("Runs an entry on the users' platform; settings come from MONSOONTRESTLE_NODE_FILE")
        .command("site");
    let explain = ops::explain_flags()
        .map(Command::Explain)
        .to_options()
        .descr("Tells the life of a job from the logs of the processes that run on the platform")
        .command("explain");
    let account = ops::account_flags()
        .map(Command::Account)
        .to_options()
        .descr(
            "Accounts for the late jobs of a day from the logs of its entries, by route and cause",
        )
        .command("account");
    let operator = ops::command().map(Command::Operator);
    construct!([entry, site, explain, account, operator])
        .to_options()
        .descr(SUMMARY)
        .footer(footer.as_str())
        .version(env!("CARGO_PKG_VERSION"))
}

/// Prints help, a shell completion or a usage error; returns the matching exit code.
fn print_usage(failure: ParseFailure) -> ExitCode {
    let exit = match failure {
        ParseFailure::Stderr(_) => Exit::Usage,
        ParseFailure::Stdout(..) | ParseFailure::Completion(_) => Exit::Done,
    };
    failure.print_message(HELP_WIDTH);
    exit.into()
}
