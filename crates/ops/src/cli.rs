//! The command line: parses flags and environment variables into a [`Command`].

mod flags;

use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};

pub use self::flags::{ApplyFlags, EntryFlags, Format, JobFlags, StoreFlags, SubmitFlags};
use self::flags::{apply_flags, entry, files, generation, job_flags, json, store, submit_flags};
use crate::TableFiles;

/// A parsed command line.
#[derive(Clone, Debug)]
pub struct Command {
    /// Whether to print JSON.
    pub json: bool,
    /// The command itself.
    pub action: Action,
}

/// A command with its settings.
#[derive(Clone, Debug)]
pub enum Action {
    /// Validates the tables without a connection.
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
    /// Lists the generations in the store.
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
    /// Starts to drain a target.
    Drain {
        /// The entry.
        entry: EntryFlags,
        /// The target.
        target: String,
    },
    /// Shows the service-level burn report.
    Report {
        /// The entry.
        entry: EntryFlags,
        /// The format.
        format: Format,
        /// The file to write it to.
        out: Option<PathBuf>,
    },
}

/// Returns the parser of the operator commands.
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

/// Builds a subcommand; each one accepts `--json`.
fn subcommand(
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
    subcommand(
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
    subcommand(
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
    subcommand(
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
    subcommand("show", action, "Shows the tables in force")
}

fn history() -> impl Parser<Command> {
    let store = store();
    let action = construct!(Action::History { store });
    subcommand(
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
    subcommand(
        "rollback",
        action,
        "Puts an earlier generation in force again, under a new number",
    )
}

fn status() -> impl Parser<Command> {
    let entry = entry();
    let action = construct!(Action::Status { entry });
    subcommand(
        "status",
        action,
        "Shows entries, targets, shards, quarantines, the store and broken promises",
    )
}

fn submit() -> impl Parser<Command> {
    let entry = entry();
    let job = submit_flags();
    let action = construct!(Action::Submit { entry, job });
    subcommand(
        "submit",
        action,
        "Submits a job; the same key is the same job, so that a repeat after a lost answer is safe",
    )
}

fn job() -> impl Parser<Command> {
    let entry = entry();
    let jobs = job_flags();
    let action = construct!(Action::Job { entry, jobs });
    subcommand("job", action, "Shows where jobs stand and why they wait")
}

fn cancel() -> impl Parser<Command> {
    let entry = entry();
    let jobs = job_flags();
    let action = construct!(Action::Cancel { entry, jobs });
    subcommand("cancel", action, "Cancels jobs")
}

fn drain() -> impl Parser<Command> {
    let entry = entry();
    let target = positional::<String>("TARGET").help("The target, as listed by `status`");
    let action = construct!(Action::Drain { entry, target });
    subcommand(
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
    subcommand(
        "report",
        action,
        "Shows service-level burn: rates over several windows, budget left, worst offenders",
    )
}
