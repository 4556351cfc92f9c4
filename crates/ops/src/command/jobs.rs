//! Commands on jobs.

use base::prelude::*;
use serde_json::{Value, json};
use wire::operator::{JobSelection, JobSubmission};
use wire::{JobPhase, JobRef, JobStatus, SubmitReply};

use super::Context;
use crate::cli::{EntryFlags, JobFlags, SubmitFlags};
use crate::{Exit, Failure, Outcome};

/// Submits a job.
pub(super) fn submit(
    cx: &dyn Context,
    entry: &EntryFlags,
    flags: &SubmitFlags,
) -> Result<Outcome, Failure> {
    let job = JobSubmission {
        route: flags.route.as_str().into(),
        key: flags.key.as_str().into(),
        team: flags.team.as_deref().map(TeamName::from),
        after: flags.after.as_deref().map(JobKey::from),
        resources: None,
        run_time: None,
        payload: flags.payload.as_str().into(),
    };
    match cx.entry(entry)?.submit(&job)? {
        SubmitReply::Accepted { job, known } => {
            let earlier = if known { ", submitted before" } else { "" };
            let json = json!({ "job": job, "known": known });
            Ok(Outcome::done(format!("job {job}{earlier}"), json))
        }
        SubmitReply::Refused { reason } => {
            let message = format!("refused, and will not run: {reason}");
            Err(Failure::new(Exit::Refused, message))
        }
        SubmitReply::NotOwner => {
            let message = "no owner of the pool's shard is known; not submitted";
            Err(Failure::new(Exit::Unreachable, message))
        }
        SubmitReply::Unknown => {
            let message = "whether the job is kept is not known; submit it again with the same key";
            Err(Failure::new(Exit::Unknown, message))
        }
    }
}

/// Shows jobs.
pub(super) fn show(
    cx: &dyn Context,
    entry: &EntryFlags,
    flags: &JobFlags,
) -> Result<Outcome, Failure> {
    let found = cx.entry(entry)?.job_statuses(&named_jobs(flags))?;
    jobs_outcome(flags, &found)
}

/// Cancels jobs.
pub(super) fn cancel(
    cx: &dyn Context,
    entry: &EntryFlags,
    flags: &JobFlags,
) -> Result<Outcome, Failure> {
    let found = cx.entry(entry)?.cancel(&named_jobs(flags))?;
    jobs_outcome(flags, &found)
}

fn named_jobs(flags: &JobFlags) -> JobSelection {
    let pool = PoolName::from(flags.pool.as_str());
    let job = |name: &String| match flags.by_id {
        true => JobRef::Id(name.as_str().into()),
        false => JobRef::Key(pool.clone(), name.as_str().into()),
    };
    JobSelection {
        jobs: flags.names.iter().map(job).collect(),
        pool: pool.clone(),
    }
}

/// Returns the status of jobs; fails if one of them is unknown.
fn jobs_outcome(flags: &JobFlags, found: &[JobStatus]) -> Result<Outcome, Failure> {
    let is_known = |name: &str| {
        let mut found = found.iter();
        found.any(|status| status.job.as_str() == name || status.key.as_str() == name)
    };
    let unknown = flags.names.iter().filter(|name| !is_known(name));
    let unknown = unknown.map(|name| format!("{name}: unknown"));
    let lines = found.iter().map(status_line).chain(unknown);
    let text = lines.collect::<Vec<_>>().join("\n");
    let json = found.iter().map(status_json).collect::<Value>();
    if found.len() < flags.names.len() {
        return Err(Failure::new(Exit::Refused, text).with_json(json!({ "jobs": json })));
    }
    Ok(Outcome::done(text, json))
}

fn status_line(status: &JobStatus) -> String {
    let phase = match &status.phase {
        JobPhase::Queued { reason } => format!("queued: {reason}"),
        JobPhase::Running { worker, attempt } => format!("runs on {worker}, attempt {attempt}"),
        JobPhase::Finished => "finished".to_owned(),
        JobPhase::Failed { errors } => format!("failed: {}", errors.join("; ")),
        JobPhase::Cancelled => "cancelled".to_owned(),
    };
    format!(
        "{} ({}): {phase}; placed {} times, evicted {} times",
        status.key, status.job, status.attempts, status.evictions
    )
}

fn status_json(status: &JobStatus) -> Value {
    let phase = match &status.phase {
        JobPhase::Queued { reason } => json!({ "phase": "queued", "reason": &**reason }),
        JobPhase::Running { worker, attempt } => {
            json!({ "phase": "running", "worker": worker, "attempt": attempt })
        }
        JobPhase::Finished => json!({ "phase": "finished" }),
        JobPhase::Failed { errors } => json!({ "phase": "failed", "errors": errors }),
        JobPhase::Cancelled => json!({ "phase": "cancelled" }),
    };
    let mut json = phase;
    json["job"] = json!(status.job);
    json["key"] = json!(status.key);
    json["attempts"] = json!(status.attempts);
    json["evictions"] = json!(status.evictions);
    json
}
