//! The operator commands.

mod account;
mod apply;
mod cli;
mod client;
mod command;
mod exit;
mod explain;
mod files;
mod history;
mod log_lines;
mod outcome;
mod run;

pub use account::{AccountFlags, account, account_flags, day_account};
pub use apply::{Applied, Applier, Change, Plan};
pub use cli::{
    Action, ApplyFlags, Command, EntryFlags, Format, JobFlags, StoreFlags, SubmitFlags, command,
};
pub use client::{EntryPort, HttpEntry};
pub use command::{Context, execute};
pub use exit::Exit;
pub use explain::{ExplainFlags, explain, explain_flags, job_timeline};
pub use files::{Loaded, TableFiles};
pub use history::{HISTORY_KEPT, StoredTables, Swap, TablesStore};
pub use log_lines::LogText;
pub use outcome::{Failure, Outcome};
pub use run::run;
