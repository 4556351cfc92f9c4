//! The command line: flags and environment variables, parsed once into a checked command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use base::prelude::*;
use bpaf::{Parser, construct, long, positional};
use wire::{TokenFlags, token_flags};

use crate::TableFiles;

/// What the operator asked for.
#[derive(Clone, Debug)]
pub struct Command {
    /// Whether to answer in JSON.
    pub json: bool,
    /// The command itself.
    pub action: Action,
}

/// A command with its settings.
#[derive(Clone, Debug)]
pub enum Action {
    /// Checks the tables without any connection.
    Check {
        /// The tables.
        files: TableFiles,
    },
    /// Compares the tables with those in force.
    Diff {
        /// The tables.
        files: TableFiles,
        /// The store.
        store: StoreFlags,
        /// The generation to compare with, in place of that in force.
        generation: Option<u64>,
    },
    /// Puts the tables in force.
    Apply {
        /// The tables.
        files: TableFiles,
        /// The store.
        store: StoreFlags,
        /// How to apply.
        flags: ApplyFlags,
    },
    /// Shows the tables in force, or earlier ones.
    Show {
        /// The store.
        store: StoreFlags,
        /// An earlier generation.
        generation: Option<u64>,
        /// The folder to write both files into.
        out: Option<PathBuf>,
    },
    /// Lists the generations that are kept.
    History {
        /// The store.
        store: StoreFlags,
    },
    /// Puts an earlier generation in force under a new number.
    Rollback {
        /// The store.
        store: StoreFlags,
        /// The earlier generation.
        to: u64,
        /// How to apply.
        flags: ApplyFlags,
    },
    /// Shows what an entry knows of the fleet.
    Status {
        /// The entry.
        entry: EntryFlags,
    },
    /// Submits a job.
    Submit {
        /// The entry.
        entry: EntryFlags,
        /// The job.
        job: SubmitFlags,
    },
    /// Shows jobs.
    Job {
        /// The entry.
        entry: EntryFlags,
        /// The jobs.
        jobs: JobFlags,
    },
    /// Cancels jobs.
    Cancel {
        /// The entry.
        entry: EntryFlags,
        /// The jobs.
        jobs: JobFlags,
    },
    /// Starts the planned stop of a target.
    Drain {
        /// The entry.
        entry: EntryFlags,
        /// The target.
        target: String,
    },
    /// Shows the report on service-level burn.
    Report {
        /// The entry.
        entry: EntryFlags,
        /// The format.
        format: Format,
        /// The file to write it to.
        out: Option<PathBuf>,
    },
}

/// The store's address.
#[derive(Clone, Debug)]
pub struct StoreFlags {
    /// The address.
    pub addr: SocketAddr,
}

/// An entry's address and the shared secret.
#[derive(Clone, Debug)]
pub struct EntryFlags {
    /// The address.
    pub addr: SocketAddr,
    /// Where the secret comes from.
    pub token: TokenFlags,
}

/// How to apply a change.
#[derive(Clone, Debug)]
pub struct ApplyFlags {
    /// The generation that the change is based on.
    pub base: Option<u64>,
    /// Whether to apply without asking.
    pub yes: bool,
    /// Who applies it.
    pub author: String,
    /// What the author says of it.
    pub comment: String,
    /// Whether to wait until it is in force everywhere.
    pub wait: bool,
    /// How long to wait.
    pub timeout: Duration,
    /// The entry to ask while waiting.
    pub entry: Option<EntryFlags>,
}

/// A job to submit.
#[derive(Clone, Debug)]
pub struct SubmitFlags {
    /// The route.
    pub route: String,
    /// The caller's key.
    pub key: String,
    /// The team.
    pub team: Option<String>,
    /// The key of a job that must be finished first.
    pub after: Option<String>,
    /// The job's own data.
    pub payload: String,
}

/// Jobs of one pool.
#[derive(Clone, Debug)]
pub struct JobFlags {
    /// The pool.
    pub pool: String,
    /// Whether the names are ids given by the system rather than callers' keys.
    pub by_id: bool,
    /// The jobs.
    pub names: Vec<String>,
}

/// The form of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For a terminal.
    Text,
    /// For a script.
    Json,
    /// A page for a browser that needs nothing else.
    Html,
}

impl Format {
    /// Returns the name used on the command line and in the entry's calls.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Text => "text",
            Self::Json => "json",
            Self::Html => "html",
        }
    }
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            "html" => Ok(Self::Html),
            _ => Err(format!("expected text, json or html, found {text:?}")),
        }
    }
}

const DEFAULT_WAIT: Duration = Duration::from_secs(30);

/// Parses an operator command with its flags.
pub fn command() -> impl Parser<Command> {
    construct!([
        check(),
        diff(),
        apply(),
        show(),
        history(),
        rollback(),
        status(),
        submit(),
        job(),
        cancel(),
        drain(),
        report(),
    ])
}

fn json() -> impl Parser<bool> {
    long("json").help("Answer in JSON, for scripts").switch()
}

/// Makes a command of its flags; every command takes `--json`.
fn named(
    name: &'static str,
    action: impl Parser<Action> + 'static,
    summary: &'static str,
) -> impl Parser<Command> {
    let json = json();
    construct!(Command { json, action })
        .to_options()
        .descr(summary)
        .command(name)
}

fn check() -> impl Parser<Command> {
    let files = files();
    let action = construct!(Action::Check { files });
    named(
        "check",
        action,
        "Checks both tables and their joins; needs no connection. Each fault is told as \
         FILE:LINE:COLUMN: what was expected",
    )
}

fn diff() -> impl Parser<Command> {
    let files = files();
    let store = store();
    let generation = generation("Compare with this earlier generation");
    let action = construct!(Action::Diff {
        files,
        store,
        generation
    });
    named(
        "diff",
        action,
        "Shows what an apply would change; exit code 8 where the tables differ",
    )
}

fn apply() -> impl Parser<Command> {
    let files = files();
    let store = store();
    let flags = apply_flags();
    let action = construct!(Action::Apply {
        files,
        store,
        flags
    });
    named(
        "apply",
        action,
        "Checks both tables, shows what changes and puts them in force",
    )
}

fn show() -> impl Parser<Command> {
    let store = store();
    let generation = generation("Show this earlier generation");
    let out = long("out")
        .help("Write routes.toml and pools.toml into this folder")
        .argument::<PathBuf>("FOLDER")
        .optional();
    let action = construct!(Action::Show {
        store,
        generation,
        out
    });
    named("show", action, "Shows the tables in force")
}

fn history() -> impl Parser<Command> {
    let store = store();
    let action = construct!(Action::History { store });
    named(
        "history",
        action,
        "Lists the generations that are kept: who, when, what changed",
    )
}

fn rollback() -> impl Parser<Command> {
    let store = store();
    let to = long("to")
        .help("The earlier generation, as listed by `history`")
        .argument::<u64>("GENERATION");
    let flags = apply_flags();
    let action = construct!(Action::Rollback { store, to, flags });
    named(
        "rollback",
        action,
        "Puts an earlier generation in force again, under a new number",
    )
}

fn status() -> impl Parser<Command> {
    let entry = entry();
    let action = construct!(Action::Status { entry });
    named(
        "status",
        action,
        "Shows entries, targets, shards, quarantines, the store and broken promises",
    )
}

fn submit() -> impl Parser<Command> {
    let entry = entry();
    let job = submit_flags();
    let action = construct!(Action::Submit { entry, job });
    named(
        "submit",
        action,
        "Submits a job; the same key is the same job, so that a repeat after a lost answer is safe",
    )
}

fn job() -> impl Parser<Command> {
    let entry = entry();
    let jobs = job_flags();
    let action = construct!(Action::Job { entry, jobs });
    named("job", action, "Shows where jobs stand and why they wait")
}

fn cancel() -> impl Parser<Command> {
    let entry = entry();
    let jobs = job_flags();
    let action = construct!(Action::Cancel { entry, jobs });
    named("cancel", action, "Cancels jobs")
}

fn drain() -> impl Parser<Command> {
    let entry = entry();
    let target = positional::<String>("TARGET").help("The target, as listed by `status`");
    let action = construct!(Action::Drain { entry, target });
    named(
        "drain",
        action,
        "Starts the planned stop of a target: no new work, what is in progress ends",
    )
}

fn report() -> impl Parser<Command> {
    let entry = entry();
    let format = long("format")
        .help("text, json, or html for a page with plots")
        .argument::<Format>("FORMAT")
        .fallback(Format::Text);
    let out = long("out")
        .help("Write the report to this file")
        .argument::<PathBuf>("FILE")
        .optional();
    let action = construct!(Action::Report { entry, format, out });
    named(
        "report",
        action,
        "Shows service-level burn: rates over several windows, budget left, worst offenders",
    )
}

fn files() -> impl Parser<TableFiles> {
    let routes = long("routes")
        .env("MONSOONTRESTLE_ROUTES")
        .help("The table of routes")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from("routes.toml"))
        .debug_fallback();
    let pools = long("pools")
        .env("MONSOONTRESTLE_POOLS")
        .help("The table of pools")
        .argument::<PathBuf>("FILE")
        .fallback(PathBuf::from("pools.toml"))
        .debug_fallback();
    construct!(TableFiles { routes, pools })
}

fn store() -> impl Parser<StoreFlags> {
    let addr = long("store")
        .env("MONSOONTRESTLE_STORE")
        .help("IP address and port of the platform's key-value service")
        .argument::<SocketAddr>("ADDR");
    construct!(StoreFlags { addr })
}

fn entry() -> impl Parser<EntryFlags> {
    let addr = long("entry")
        .env("MONSOONTRESTLE_ENTRY")
        .help("IP address and port of any entry")
        .argument::<SocketAddr>("ADDR");
    let token = token_flags();
    construct!(EntryFlags { addr, token })
}

fn generation(help: &'static str) -> impl Parser<Option<u64>> {
    long("generation")
        .help(help)
        .argument::<u64>("GENERATION")
        .optional()
}

fn apply_flags() -> impl Parser<ApplyFlags> {
    let base = long("base")
        .env("MONSOONTRESTLE_BASE")
        .help("The generation that the change is based on; a conflict if another is in force")
        .argument::<u64>("GENERATION")
        .optional();
    let yes = long("yes")
        .help("Apply without asking, on whatever generation is in force")
        .switch();
    let author = long("author")
        .env("MONSOONTRESTLE_AUTHOR")
        .help("Who applies it, kept in the history")
        .argument::<String>("NAME")
        .fallback("unnamed".to_owned())
        .display_fallback();
    let comment = long("comment")
        .help("What the change is for, kept in the history")
        .argument::<String>("TEXT")
        .fallback(String::new());
    let wait = long("wait")
        .help("Wait until every live process applies it; needs --entry")
        .switch();
    let timeout = long("timeout")
        .help("How long to wait, such as 30s")
        .argument::<String>("DURATION")
        .parse(|text| humantime::parse_duration(&text))
        .fallback(DEFAULT_WAIT);
    let entry = entry().optional();
    construct!(ApplyFlags {
        base,
        yes,
        author,
        comment,
        wait,
        timeout,
        entry
    })
}

fn submit_flags() -> impl Parser<SubmitFlags> {
    let route = long("route")
        .help("The route, of kind batch or standing")
        .argument::<String>("NAME");
    let key = long("key")
        .help("Your key of the job")
        .argument::<String>("KEY");
    let team = long("team")
        .help("The team that it counts against; the route's by default")
        .argument::<String>("NAME")
        .optional();
    let after = long("after")
        .help("The key of a job that must be finished first")
        .argument::<String>("KEY")
        .optional();
    let payload = long("payload")
        .help("The job's own data")
        .argument::<String>("TEXT")
        .fallback(String::new());
    construct!(SubmitFlags {
        route,
        key,
        team,
        after,
        payload
    })
}

fn job_flags() -> impl Parser<JobFlags> {
    let pool = long("pool")
        .help("The pool that the jobs are in")
        .argument::<String>("NAME");
    let by_id = long("by-id")
        .help("The names are ids given by the system, not your keys")
        .switch();
    let names = positional::<String>("JOB")
        .help("A job's key")
        .some("expected at least one job");
    construct!(JobFlags { pool, by_id, names })
}
