//! Accounts for the jobs of a day from the logs of its entries: what was late or away, and why.
//!
//! Late jobs are charged to the largest delay on the chain of runs that their end waited for, and
//! standing tasks to what they were away for. Shares are of a route's declared work, so that routes
//! compare; the largest share comes first.

mod causes;
mod day;
mod report;

use std::path::PathBuf;

use bpaf::{Parser, positional};

use self::day::Day;
use self::report::Report;
use crate::log_lines::{Line, LogText, parse, read_logs};
use crate::{Exit, Failure};

/// Flags of `account`.
#[derive(Clone, Debug)]
pub struct AccountFlags {
    /// The logs; standard input if there are none.
    pub files: Vec<PathBuf>,
}

/// Returns the parser of the flags.
pub fn account_flags() -> impl Parser<AccountFlags> {
    positional("FILE")
        .help("Logs of entries; standard input if there are none")
        .many()
        .map(|files| AccountFlags { files })
}

/// Reads the logs and returns the account.
///
/// # Errors
///
/// Fails if a log cannot be read or no line tells of an accepted job.
pub fn account(flags: &AccountFlags) -> Result<String, Failure> {
    let logs = read_logs(&flags.files)?;
    day_account(&logs).ok_or_else(|| {
        let message = format!("no line of {} logs tells of an accepted job", logs.len());
        Failure::new(Exit::Refused, message)
    })
}

/// Returns the account of a day, or `None` if no line tells of an accepted job.
pub fn day_account(logs: &[LogText]) -> Option<String> {
    let mut lines: Vec<Line> = logs.iter().flat_map(parse).collect();
    lines.sort_by_key(|line| line.unix_ms);
    let day = Day::read(&lines);
    (!day.jobs.is_empty()).then(|| Report::new(&day).to_string())
}
