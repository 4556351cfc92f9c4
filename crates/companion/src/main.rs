//! The command line of the companion.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use agent::{AgentCfg, Runner};
use base::SystemClock;
use bpaf::{OptionParser, Parser, construct, pure};
use companion::CompanionFlags;
use platform::{HttpHeartbeatCodec, HttpRunner, KvStore, SettingsFile};

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("monsoontrestle-companion: {e}");
            ExitCode::FAILURE
        }
    }
}

/// The command to run.
#[derive(Clone, Debug)]
enum Command {
    /// Run the companion of this crate, with settings from flags.
    Plain(Box<CompanionFlags>),
    /// Run the companion of the crate `agent`, with settings from the platform's file.
    Site,
}

fn run() -> eyre::Result<()> {
    match options().run() {
        Command::Plain(flags) => serve(*flags),
        Command::Site => serve_site(),
    }
}

fn options() -> OptionParser<Command> {
    let site = pure(Command::Site)
        .to_options()
        .descr(
            "Runs a companion on the users' platform; settings come from MONSOONTRESTLE_NODE_FILE",
        )
        .command("site");
    let plain = companion::companion_parser().map(|flags| Command::Plain(Box::new(flags)));
    construct!([site, plain])
        .to_options()
        .descr(companion::SUMMARY)
        .version(env!("CARGO_PKG_VERSION"))
}

/// Runs the companion of the crate `agent` with settings from the file that the platform provides.
fn serve_site() -> eyre::Result<()> {
    let log = report::decision_logger(Arc::new(SystemClock));
    let settings = SettingsFile::from_env()?.read()?;
    let (Some(heartbeat_addr), Some(worker_addr)) = (settings.heartbeat_addr, settings.worker_addr)
    else {
        eyre::bail!("the settings name no worker");
    };
    let cfg = AgentCfg {
        vm: settings.vm,
        heartbeat_addr,
        stop_time: settings.stop_time,
        metrics_addr: SocketAddr::new(settings.ip, report::METRICS_PORT),
    };
    let store = Arc::new(KvStore::new(settings.store_addr));
    let runner: Arc<dyn Runner> = Arc::new(HttpRunner::new(worker_addr));
    agent::run(&cfg, store, &runner, Arc::new(HttpHeartbeatCodec), &log)?;
    Ok(())
}

fn serve(flags: CompanionFlags) -> eyre::Result<()> {
    let log = report::logger(flags.log_format, Arc::new(SystemClock));
    let token = flags.token.resolve()?;
    companion::run(flags.resolve()?, token, &log)?;
    Ok(())
}
