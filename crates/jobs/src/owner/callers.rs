//! Requests of callers: submit, query, cancel and count jobs.

use base::prelude::*;
use slog::info;

use super::ranking::objective_ms;
use super::{Effect, Owner, Token};
use crate::{Job, JobRecord, JobReply, JobRequest, JobSpec, JobState, RouteRef};

/// The reason for refusing jobs while the store does not respond to the owner.
pub const STORE_UNAVAILABLE: &str = "the store is out of reach";

/// The retry delay for callers while the store is unavailable: the shortest that can be sent, since its
/// return is not known and a caller who asks too early still has attempts left.
pub(super) const STORE_UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

/// The reason for refusing jobs that were not sent to the store when ownership ended.
pub(super) const OWNERSHIP_ENDED: &str = "the owner has been replaced";

/// The reason for refusing a submission that arrives after its cancellation was acknowledged.
const CANCELLED_BEFORE: &str = "the job was cancelled before it was submitted";

/// The retry delay for callers of a job whose record is being written.
const STORING_RETRY: Duration = Duration::from_secs(1);

/// The maximum tasks of a job, over all its occurrences.
const MAX_TASKS: u64 = 20_000;

impl Owner {
    /// Handles a caller's request; the reply is an [`Effect::Reply`] or an [`Effect::Lookup`].
    pub fn handle_request(
        &mut self,
        now: Instant,
        unix_ms: u64,
        token: Token,
        request: JobRequest,
    ) {
        match request {
            JobRequest::Submit {
                job,
                address,
                spec,
                terms,
            } => {
                let record = JobRecord {
                    spec: *spec,
                    terms: *terms,
                    accepted_unix_ms: unix_ms,
                    address: Some(address.clone()),
                };
                let route = RouteRef {
                    name: record.terms.route.clone(),
                    address,
                };
                self.submit(now, token, job, &route, record);
            }
            JobRequest::Status { job, route } => self.status(token, job, &route),
            JobRequest::Cancel { job, route } => self.cancel(now, unix_ms, token, job, &route),
            JobRequest::Waiting { route } => self.waiting(token, &route),
        }
    }

    fn submit(
        &mut self,
        now: Instant,
        token: Token,
        id: JobId,
        route: &RouteRef,
        record: JobRecord,
    ) {
        let job = self.jobs.get(&id);
        if let Some(job) = job.filter(|job| job.record.is_of(route)) {
            if job.stored.record.is_some() {
                self.reply(token, JobReply::Accepted);
            } else {
                self.pending_accepts.entry(id).or_default().push(token);
            }
            return;
        }
        let unix_ms = record.accepted_unix_ms;
        if let Some(remaining) = self.cancelled_before(now, unix_ms, &route.address, &id) {
            self.refuse(token, &id, CANCELLED_BEFORE, remaining);
            return;
        }
        if self.jobs.contains_key(&id) {
            info!(self.log, "owner: job id taken"; "job" => %id, "address" => %route.address);
            self.reply(token, JobReply::id_taken());
            return;
        }
        if let Err(reason) = validate(&record.spec) {
            info!(self.log, "owner: job invalid"; "job" => %id, "reason" => reason);
            let reason = reason.into();
            self.reply(token, JobReply::Invalid { reason });
            return;
        }
        if self.commits.is_store_unavailable(now) {
            self.refuse(token, &id, STORE_UNAVAILABLE, STORE_UNAVAILABLE_RETRY);
            return;
        }
        self.jobs
            .insert(id.clone(), Job::new(id.clone(), record, now));
        self.active.insert(id.clone());
        self.commits.mark_record(&id);
        self.pending_accepts.insert(id, vec![token]);
    }

    /// Accepts a job whose record has been stored.
    pub(super) fn on_record_stored(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get(id) {
            self.stats.events.push(("job", "accepted"));
            info!(self.log, "owner: job accepted";
                "job" => %id, "route" => %job.record.terms.route, "tasks" => job.tasks.len(),
                "priority" => job.record.terms.priority,
                "standing" => job.record.spec.stages.iter().any(|stage| stage.standing),
                "path_ms" => job.critical_path_ms(), "objective_ms" => objective_ms(job),
                "core_ms" => job.remaining_work(),
                "scheduled" => job.record.spec.schedule.is_some());
        }
        for token in self.pending_accepts.swap_remove(id).unwrap_or_default() {
            self.reply(token, JobReply::Accepted);
        }
        self.is_round_due = true;
    }

    fn status(&mut self, token: Token, id: JobId, route: &RouteRef) {
        let Some(job) = self.jobs.get(&id) else {
            self.effects.push(Effect::Lookup(token, id));
            return;
        };
        if !job.record.is_of(route) {
            self.reply_other_route(token, &id, route);
        } else if job.stored.record.is_none() {
            self.refuse(token, &id, "the job is being stored", STORING_RETRY);
        } else if job.state.has_ended() && !job.is_stored() {
            // An end is reported only once it is stored, since a new owner would not know it.
            self.reply(token, JobReply::Status(JobState::Running));
        } else {
            let reply = match (job.state, &job.cause) {
                (JobState::Failed, Some(cause)) => JobReply::Failed {
                    cause: Arc::clone(cause),
                },
                (state, _) => JobReply::Status(state),
            };
            self.reply(token, reply);
        }
    }

    fn cancel(&mut self, now: Instant, unix_ms: u64, token: Token, id: JobId, route: &RouteRef) {
        let job = self.jobs.get(&id).filter(|job| job.record.is_of(route));
        let Some(job) = job else {
            self.cancel_unknown(now, unix_ms, token, id, route);
            return;
        };
        if job.stored.record.is_none() {
            self.refuse(token, &id, "the job is being stored", STORING_RETRY);
            return;
        }
        if !job.state.has_ended() {
            if self.commits.is_store_unavailable(now) {
                self.refuse(token, &id, STORE_UNAVAILABLE, STORE_UNAVAILABLE_RETRY);
                return;
            }
            self.end_job(&id, JobState::Cancelled, unix_ms);
        }
        let clock = self.retention_clock(now, unix_ms);
        let Some(job) = self.jobs.get(&id) else {
            return;
        };
        let since_end = clock.saturating_sub(job.ended_unix_ms.unwrap_or(clock));
        if !job.is_stored() {
            self.pending_cancels.entry(id).or_default().push(token);
        } else if since_end > base::whole_ms(self.cfg.retention) / 2 {
            // The job will be forgotten soon, and a late submission would not be known as its repetition.
            let (address, reply) = (&route.address, JobReply::Cancelled);
            self.reply_after_tombstone(now, unix_ms, token, &id, address, reply);
        } else {
            self.reply(token, JobReply::Cancelled);
        }
    }

    /// Cancels a job that the route does not have: its submission may arrive later.
    fn cancel_unknown(
        &mut self,
        now: Instant,
        unix_ms: u64,
        token: Token,
        id: JobId,
        route: &RouteRef,
    ) {
        if self.unreadable.contains(&id) {
            self.effects.push(Effect::Lookup(token, id));
            return;
        }
        info!(self.log, "owner: cancellation of an unknown job"; "job" => %id,
            "address" => %route.address, "is_of_another_route" => self.jobs.contains_key(&id));
        self.reply_after_tombstone(now, unix_ms, token, &id, &route.address, JobReply::Gone);
    }

    /// Replies to callers of a cancellation once the job's progress has been stored.
    pub(super) fn on_progress_stored(&mut self, id: &JobId) {
        if !self.jobs.get(id).is_some_and(Job::is_stored) {
            return;
        }
        for token in self.pending_cancels.swap_remove(id).unwrap_or_default() {
            info!(self.log, "owner: cancellation stored"; "job" => %id);
            self.reply(token, JobReply::Cancelled);
        }
    }

    /// Replies to a request for a job of another route, which is none of its caller's.
    fn reply_other_route(&mut self, token: Token, id: &JobId, route: &RouteRef) {
        let job_address = self.jobs.get(id).and_then(|j| j.record.address.as_ref());
        info!(self.log, "owner: job of another route"; "job" => %id, "address" => %route.address,
            "job_address" => job_address.map(RouteAddress::as_str));
        self.stats.events.push(("other_route", "gone"));
        self.reply(token, JobReply::Gone);
    }

    fn waiting(&mut self, token: Token, route: &RouteRef) {
        let is_waiting = |id: &&JobId| {
            self.jobs.get(*id).is_some_and(|job| {
                job.state == JobState::Queued
                    && job.stored.record.is_some()
                    && job.record.is_of(route)
            })
        };
        let waiting = self.active.iter().filter(is_waiting).count();
        self.reply(token, JobReply::Waiting(waiting as u64));
    }

    pub(super) fn reply(&mut self, token: Token, reply: JobReply) {
        self.effects.push(Effect::Reply(token, reply));
    }

    pub(super) fn refuse(
        &mut self,
        token: Token,
        id: &JobId,
        reason: &'static str,
        retry_after: Duration,
    ) {
        self.stats.events.push(("refusal", reason));
        info!(self.log, "owner: refused";
            "job" => %id, "reason" => reason, "retry_after_ms" => retry_after.as_millis());
        self.reply(token, JobReply::refused(reason, retry_after));
    }

    /// Returns the wall time by which retention counts: later steps of the clock don't age anything.
    pub(super) fn retention_clock(&mut self, now: Instant, unix_ms: u64) -> u64 {
        let (first_run, first_unix_ms) = *self.first_run.get_or_insert((now, unix_ms));
        let elapsed = base::whole_ms(now.duration_since(first_run));
        unix_ms.min(first_unix_ms + elapsed)
    }

    /// Forgets jobs that ended longer ago than the retention time, and the tombstones of others.
    pub(super) fn forget_ended(&mut self, now: Instant, unix_ms: u64) {
        let unix_ms = self.retention_clock(now, unix_ms);
        self.forget_tombstones(unix_ms);
        let retention = base::whole_ms(self.cfg.retention);
        // Jobs are ordered by arrival, so scanning the oldest ones suffices.
        let old = self.jobs.values().take(FORGET_SCAN).filter(|job| {
            let is_old = |ended: u64| ended.saturating_add(retention) < unix_ms;
            job.ended_unix_ms.is_some_and(is_old) && job.is_stored()
        });
        for id in old.map(|job| job.id.clone()).collect::<Vec<_>>() {
            self.commits.mark_forget(&id);
        }
    }
}

/// How many of the oldest jobs one call of `forget_ended` scans.
const FORGET_SCAN: usize = 16;

/// Returns an error with the reason if a job can never run.
pub(super) fn validate(spec: &JobSpec) -> Result<(), &'static str> {
    if spec.stages.is_empty() {
        return Err("a job needs a stage");
    }
    let mut tasks = 0_u64;
    for (at, stage) in (0_u32..).zip(&spec.stages) {
        if stage.tasks == 0 {
            return Err("a stage needs a task");
        }
        if stage.after.iter().any(|before| *before >= at) {
            return Err("a stage may only come after earlier ones");
        }
        tasks += u64::from(stage.tasks);
    }
    let occurrences = spec.schedule.map_or(1, |s| s.occurrences);
    if occurrences == 0 {
        return Err("a schedule needs an occurrence");
    }
    if tasks.saturating_mul(u64::from(occurrences)) > MAX_TASKS {
        return Err("the job has too many tasks");
    }
    Ok(())
}
