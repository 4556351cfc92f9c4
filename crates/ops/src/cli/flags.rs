//! Flags shared by several commands, and the environment variables that can be set instead of them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use base::prelude::*;
use bpaf::{Parser, construct, long, positional};
use wire::{TokenFlags, token_flags};

use crate::TableFiles;

const DEFAULT_WAIT: Duration = Duration::from_secs(30);

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
    /// Whether to apply without confirmation.
    pub yes: bool,
    /// Who applies it.
    pub author: String,
    /// The author's comment.
    pub comment: String,
    /// Whether to wait until every live process applies it.
    pub wait: bool,
    /// How long to wait.
    pub timeout: Duration,
    /// The entry to query while waiting.
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
    /// Whether the names are ids assigned by the system, not the callers' keys.
    pub by_id: bool,
    /// The jobs.
    pub names: Vec<String>,
}

/// The output format of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Text for a terminal.
    Text,
    /// JSON for scripts.
    Json,
    /// A self-contained HTML page.
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

pub(super) fn files() -> impl Parser<TableFiles> {
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

pub(super) fn store() -> impl Parser<StoreFlags> {
    let addr = long("store")
        .env("MONSOONTRESTLE_STORE")
        .help("IP address and port of the platform's key-value service")
        .argument::<SocketAddr>("ADDR");
    construct!(StoreFlags { addr })
}

pub(super) fn entry() -> impl Parser<EntryFlags> {
    let addr = long("entry")
        .env("MONSOONTRESTLE_ENTRY")
        .help("IP address and port of any entry")
        .argument::<SocketAddr>("ADDR");
    let token = token_flags();
    construct!(EntryFlags { addr, token })
}

pub(super) fn generation(help: &'static str) -> impl Parser<Option<u64>> {
    long("generation")
        .help(help)
        .argument::<u64>("GENERATION")
        .optional()
}

pub(super) fn apply_flags() -> impl Parser<ApplyFlags> {
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

pub(super) fn submit_flags() -> impl Parser<SubmitFlags> {
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

pub(super) fn job_flags() -> impl Parser<JobFlags> {
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

pub(super) fn json() -> impl Parser<bool> {
    long("json").help("Answer in JSON, for scripts").switch()
}
