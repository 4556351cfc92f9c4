//! Why a job was late and what a standing task was away for.

use super::day::{Job, Run, Span, TaskRuns};
use base::prelude::*;

/// Why time was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Cause {
    /// A task that could run waited for room.
    Queue,
    /// It waited while nobody owned the jobs, or the new owner did not know all workers yet.
    Takeover,
    /// An ordered run had not started.
    Start,
    /// Runs before the last one that did not end as done.
    Repeated,
    /// Runs took longer than declared.
    Run,
    /// The job had not ended by the last line.
    Unfinished,
    /// The job ended as failed.
    Failed,
    /// A standing task had not started for the first time.
    FirstStart,
    /// A standing task's run failed.
    AfterFailure,
    /// A standing task's run was stopped by the owner.
    AfterStop,
    /// A standing task's worker was lost.
    AfterLoss,
}

impl Cause {
    pub fn name(self) -> &'static str {
        match self {
            Self::Queue => "late by queue",
            Self::Takeover => "late by takeover",
            Self::Start => "late by start",
            Self::Repeated => "late by repeated runs",
            Self::Run => "late by long runs",
            Self::Unfinished => "not ended",
            Self::Failed => "failed",
            Self::FirstStart => "away until first start",
            Self::AfterFailure => "away after a failure",
            Self::AfterStop => "away after a stop",
            Self::AfterLoss => "away after a lost worker",
        }
    }
}

/// Milliseconds by cause.
pub type Delays = IndexMap<Cause, i128>;

/// Returns the delays on the chain of runs that the end of a job waited for.
///
/// The chain is followed back from the run that ended last: its task waited since the last run of
/// an earlier stage that ended before, and so on until the job was accepted.
pub fn delays(job: &Job, ended: i128, takeovers: &[Span]) -> Delays {
    let mut delays = Delays::new();
    let mut add = |cause, ms: i128| *delays.entry(cause).or_default() += ms.max(0);
    let mut until = ended;
    let mut stage = (u32::MAX, u32::MAX);
    let mut ran = 0;
    while let Some((task, last)) = last_done(job, stage, until) {
        let started = last.started.unwrap_or(last.ordered);
        ran += last.ended.unwrap_or(until) - started;
        add(Cause::Start, started - last.ordered);
        stage = task.stage;
        let ready = last_done(job, stage, first_order(task))
            .and_then(|(_, run)| run.ended)
            .unwrap_or(job.accepted);
        let mut repeated = 0;
        for run in task.runs.values().filter(|run| run.ordered < last.ordered) {
            let to = run.ended.unwrap_or(last.ordered).min(last.ordered);
            repeated += to - run.ordered;
        }
        add(Cause::Repeated, repeated);
        let waited = Span {
            from: ready,
            to: last.ordered,
        };
        let by_takeover = waited.shared_with(takeovers).min(waited.len() - repeated);
        add(Cause::Takeover, by_takeover);
        add(Cause::Queue, waited.len() - repeated - by_takeover.max(0));
        until = ready;
    }
    add(Cause::Run, ran - job.path);
    delays
}

fn first_order(task: &TaskRuns) -> i128 {
    task.runs.values().map(|run| run.ordered).min().unwrap_or(0)
}

/// Returns the run of a stage before `stage` that was done last, by `until`.
fn last_done(job: &Job, stage: (u32, u32), until: i128) -> Option<(&TaskRuns, &Run)> {
    job.runs
        .values()
        .filter(|task| task.stage < stage)
        .flat_map(|task| task.runs.values().map(move |run| (task, run)))
        .filter(|(_, run)| run.how == "Done" && run.ended.is_some_and(|at| at <= until))
        .max_by_key(|(_, run)| run.ended)
}

/// Returns what the tasks of a standing job were away for until `until`.
pub fn absences(job: &Job, until: i128, takeovers: &[Span]) -> Delays {
    let mut absences = Delays::new();
    let mut add = |cause, from: i128, to: i128| {
        let span = Span { from, to };
        let by_takeover = span.shared_with(takeovers);
        *absences.entry(Cause::Takeover).or_default() += by_takeover;
        *absences.entry(cause).or_default() += span.len() - by_takeover;
    };
    for task in job.runs.values() {
        let (mut since, mut cause) = (Some(job.accepted), Cause::FirstStart);
        for run in task.runs.values() {
            let Some(started) = run.started else { continue };
            if let Some(from) = since {
                add(cause, from, started.min(until));
            }
            since = run.ended.filter(|at| *at < until);
            cause = match run.how.as_str() {
                "Failed" => Cause::AfterFailure,
                "Stopped" => Cause::AfterStop,
                _ => Cause::AfterLoss,
            };
        }
        if let Some(from) = since {
            add(cause, from, until);
        }
    }
    let unseen = job.tasks - i128::try_from(job.runs.len()).unwrap_or(i128::MAX);
    for _ in 0..unseen {
        add(Cause::FirstStart, job.accepted, until);
    }
    absences
}
