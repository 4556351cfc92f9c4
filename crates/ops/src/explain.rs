//! Builds the timeline of a job from the logs of several processes.
//!
//! The timeline has the lines that name the job, in order of time, and between them the events of
//! the workers that held its runs and of the ownership of jobs. The steps that no line reports come
//! last: the log of a process is missing, or a line was dropped under load.

use std::fmt::Write as _;
use std::path::PathBuf;

use base::prelude::*;
use bpaf::{Parser, construct, long, positional};

use crate::log_lines::{Line, LogText, parse, read_logs};
use crate::{Exit, Failure};

/// Events of a worker that affect the runs on it.
const VM_EVENTS: [&str; 9] = [
    "owner: worker lease lapsed",
    "owner: worker left",
    "owner: worker drains",
    "owner: worker quarantined",
    "owner: worker known",
    "owner: worker crashed",
    "companion: worker crashed",
    "companion: worker refuses connections",
    "companion: report failed",
];

/// Events of the ownership of jobs, and failures to store changes.
const OWNER_EVENTS: [&str; 5] = [
    "entry: elected",
    "entry: load failed",
    "owner: took over",
    "entry: no longer the owner",
    "owner: commit failed",
];

/// How long before the job's first line and after its last one other events are shown, in
/// milliseconds: as long as an ownership lasts without the store.
const CONTEXT_MS: i128 = 5000;

/// Flags of `explain`.
#[derive(Clone, Debug)]
pub struct ExplainFlags {
    /// Shows only the lines that name the job.
    pub only_job: bool,
    /// The job.
    pub id: String,
    /// The logs; standard input if there are none.
    pub files: Vec<PathBuf>,
}

/// Returns the parser of the flags.
pub fn explain_flags() -> impl Parser<ExplainFlags> {
    let only_job = long("only-job")
        .help("Show only the lines that name the job")
        .switch();
    let id = positional("ID").help("The job's id");
    let files = positional("FILE")
        .help("Logs of processes; standard input if there are none")
        .many();
    construct!(ExplainFlags {
        only_job,
        id,
        files
    })
}

/// Reads the logs and returns the timeline of the job.
///
/// # Errors
///
/// Fails if a log cannot be read or no line names the job.
pub fn explain(flags: &ExplainFlags) -> Result<String, Failure> {
    let logs = read_logs(&flags.files)?;
    job_timeline(&flags.id, &logs, flags.only_job).ok_or_else(|| {
        let message = format!("no line of {} logs names {}", logs.len(), flags.id);
        Failure::new(Exit::Refused, message)
    })
}

/// Returns the timeline of a job, or `None` if no line names the job.
pub fn job_timeline(id: &str, logs: &[LogText], only_job: bool) -> Option<String> {
    let mut lines: Vec<Line> = logs.iter().flat_map(parse).collect();
    lines.sort_by_key(|line| line.unix_ms);
    let own: Vec<&Line> = lines.iter().filter(|line| line.names(id)).collect();
    let (first, last) = (own.first()?.unix_ms, own.last()?.unix_ms);
    let vms: IndexSet<&str> = own.iter().filter_map(|line| line.text("vm")).collect();
    let is_near = |line: &Line| (first - CONTEXT_MS..=last + CONTEXT_MS).contains(&line.unix_ms);
    let mut out = String::new();
    for line in &lines {
        if line.names(id) {
            line.write(&mut out, "  ");
        } else if !only_job && is_near(line) && line.is_context(&vms) {
            line.write(&mut out, "| ");
        }
    }
    for gap in gaps(&own) {
        // Writing to a string never fails.
        let _ = writeln!(out, "? {gap}");
    }
    Some(out)
}

impl Line {
    fn names(&self, id: &str) -> bool {
        self.fields
            .values()
            .any(|value| value.as_str().is_some_and(|text| text.contains(id)))
    }

    fn is_context(&self, vms: &IndexSet<&str>) -> bool {
        let is_of_vm = || match self.text("vm") {
            Some(vm) => vms.contains(vm),
            None => vms.contains(self.source.as_str()),
        };
        OWNER_EVENTS.contains(&self.msg.as_str())
            || (VM_EVENTS.contains(&self.msg.as_str()) && is_of_vm())
    }

    fn write(&self, out: &mut String, mark: &str) {
        let time = self.at.split('T').next_back().unwrap_or(&self.at);
        let time = time.get(..12).unwrap_or(time);
        let _ = write!(out, "{mark}{time} {}: {}", self.source, self.msg);
        for (name, value) in &self.fields {
            let _ = match value.as_str() {
                Some(text) => write!(out, " {name}={text}"),
                None => write!(out, " {name}={value}"),
            };
        }
        out.push('\n');
    }
}

/// Returns the steps that no line reports.
fn gaps(own: &[&Line]) -> Vec<String> {
    let has = |msg: &str| own.iter().any(|line| line.msg == msg);
    let mut gaps = Vec::new();
    if has("owner: refused") && !has("owner: job accepted") {
        return gaps;
    }
    if !has("owner: job accepted") {
        gaps.push(
            "no line tells that it was accepted: the log of its owner then is missing".into(),
        );
    }
    if !has("owner: job ended") {
        gaps.push(
            "no line tells its end: it goes on, or the log of its last owner is missing".into(),
        );
    }
    for order in own.iter().filter(|line| line.msg == "owner: run ordered") {
        let run = order.text("run").unwrap_or_default();
        let is_follow_up = |line: &&Line| line.text("run") == Some(run) && line.msg != order.msg;
        if !own.iter().any(is_follow_up) {
            gaps.push(format!(
                "run {run} was ordered and no line tells what became of it"
            ));
        }
    }
    gaps
}
