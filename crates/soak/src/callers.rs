//! Callers that submit and cancel jobs, and operators that edit the tables.

use base::prelude::*;
use ports::store::{Expect, StoreCall, StoreReply};
use rand::Rng;
use tables::TablesDoc;
use wire::{JobRef, JobStatus};

use crate::fleet::{ENTRIES, POOL, put_tables, tables_doc};
use crate::jobs::NextAction;
use crate::ports::{Output, ProcId, ProcIncarnation};
use crate::process::Arrival;
use crate::simulation::{CallerAction, SimEvent, Simulation};

/// How often callers query jobs and tables.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How many open jobs each poll queries before the quiet period, and how many of all jobs.
const JOBS_PER_POLL: usize = 5;

/// The longest random delay before a caller submits again, on top of the fixed one.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(3);

/// How long a caller waits for the reply to a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest network delay from a caller to an entry.
const MAX_NETWORK_DELAY: Duration = Duration::from_millis(2);

impl Simulation {
    pub(crate) fn handle_caller(&mut self, action: CallerAction) {
        match action {
            CallerAction::NewJob => self.next_job(),
            CallerAction::Submit(job) => self.submit(job),
            CallerAction::SubmitTimeout { job, try_number } => {
                self.handle_submit_timeout(job, try_number)
            }
            CallerAction::PollJobs => self.poll_jobs(),
            CallerAction::PollTables => self.poll_tables(),
            CallerAction::Apply { operator, based_on } => self.apply_tables(operator, based_on),
            request => self.handle_request_caller(request),
        }
    }

    /// Picks a random live entry, as the platform's load balancer does; it may be paused.
    pub(crate) fn draw_entry(&mut self) -> Option<ProcIncarnation> {
        let alive: Vec<ProcId> = (0..ENTRIES)
            .filter(|&proc| self.procs[proc].is_alive())
            .collect();
        if alive.is_empty() {
            return None;
        }
        let proc = alive[self.rng.random_range(0..alive.len())];
        Some(self.procs[proc].incarnation())
    }

    /// Sends a caller's message to an entry.
    pub(crate) fn send_to_entry(&mut self, entry: ProcIncarnation, arrival: Arrival) {
        let delay = self.draw_up_to(MAX_NETWORK_DELAY);
        self.after(delay, SimEvent::Arrive(entry, arrival));
    }

    fn next_job(&mut self) {
        if self.is_quiet {
            return;
        }
        self.new_job(false);
        let every = self.cfg.job_every * 2;
        let gap = self.draw_up_to(every);
        self.after(gap, SimEvent::Caller(CallerAction::NewJob));
    }

    pub(crate) fn new_job(&mut self, noisy: bool) {
        let job = self.jobs.draw(&mut self.rng, &POOL.into(), noisy);
        self.submit(job);
    }

    fn submit(&mut self, job: usize) {
        self.count("submissions");
        self.jobs.all[job].tries += 1;
        let try_number = self.jobs.all[job].tries;
        let Some(entry) = self.draw_entry() else {
            return self.submit_later(job);
        };
        let spec = Box::new(self.jobs.all[job].spec.clone());
        self.send_to_entry(entry, Arrival::Submit { job, spec });
        // An entry that dies before the submission reaches it never replies.
        self.after(
            SUBMIT_TIMEOUT,
            SimEvent::Caller(CallerAction::SubmitTimeout { job, try_number }),
        );
    }

    /// Submits a job again if its last submission got no reply within the timeout.
    fn handle_submit_timeout(&mut self, job: usize, try_number: u32) {
        if self.jobs.is_waiting(job, try_number)
            && let Ok(NextAction::Resubmit) = self.jobs.record_reply(job, None)
        {
            self.submit(job);
        }
    }

    fn submit_later(&mut self, job: usize) {
        let delay = Duration::from_millis(500) + self.draw_up_to(MAX_RETRY_DELAY);
        self.after(delay, SimEvent::Caller(CallerAction::Submit(job)));
    }

    pub(crate) fn handle_output(&mut self, incarnation: ProcIncarnation, out: Output) {
        match out {
            Output::Submitted { job, reply } => {
                self.note(format_args!("submission {job}: {reply:?}"));
                match self.jobs.record_reply(job, reply) {
                    Ok(NextAction::Resubmit) => self.submit_later(job),
                    Ok(NextAction::Nothing) => {}
                    Err(text) => self.record_violation(text),
                }
            }
            Output::Cancelled {
                jobs,
                asked,
                statuses,
            } => self.record_cancelled(&jobs, statuses, asked),
            Output::Status {
                job,
                asked,
                status: Some(Some(status)),
            } => self.record_status(job, &status, asked),
            Output::Tables { doc } => self.record_tables(incarnation, doc.flatten()),
            Output::Step { request, step } => self.apply_request_step(request, step),
            Output::Admit { delivery, step } => self.apply_admit_step(delivery, step),
            _ => {}
        }
    }

    /// Handles an output that is lost because its process died.
    pub(crate) fn handle_lost_output(&mut self, out: Output) {
        if let Output::Submitted { job, .. } = out
            && let Ok(NextAction::Resubmit) = self.jobs.record_reply(job, None)
        {
            self.submit_later(job);
        }
    }

    fn record_status(&mut self, job: usize, status: &JobStatus, asked: Instant) {
        self.count("statuses");
        self.note(format_args!("job {job}: {status:?}"));
        let now = self.now();
        if let Err(text) = self.jobs.record_status(job, status, asked, now) {
            self.record_violation(text);
        }
    }

    fn poll_jobs(&mut self) {
        self.after(POLL_INTERVAL, SimEvent::Caller(CallerAction::PollJobs));
        let count = if self.is_quiet {
            usize::MAX
        } else {
            JOBS_PER_POLL
        };
        let jobs = self.jobs.draw_open(&mut self.rng, count);
        for job in jobs {
            self.query_job(job);
        }
        // Ended and refused jobs are queried as well: their phases must not change.
        for _ in 0..JOBS_PER_POLL.min(self.jobs.all.len()) {
            let job = self.rng.random_range(0..self.jobs.all.len());
            self.query_job(job);
        }
    }

    pub(crate) fn query_job(&mut self, job: usize) {
        if let Some(entry) = self.draw_entry() {
            let of = JobRef::Key(POOL.into(), self.jobs.all[job].spec.key.clone());
            let pool = POOL.into();
            let asked = self.now();
            let arrival = Arrival::Status {
                asked,
                pool,
                job,
                of,
            };
            self.send_to_entry(entry, arrival);
        }
    }

    pub(crate) fn cancel_many(&mut self, count: usize) {
        let jobs = self.jobs.draw_open(&mut self.rng, count);
        self.cancel(jobs);
    }

    pub(crate) fn cancel(&mut self, jobs: Vec<usize>) {
        let Some(entry) = self.draw_entry() else {
            return;
        };
        let pool = PoolName::from(POOL);
        let jobs = jobs
            .into_iter()
            .map(|job| {
                let key = self.jobs.all[job].spec.key.clone();
                (job, JobRef::Key(pool.clone(), key))
            })
            .collect();
        self.count("cancel waves");
        let asked = self.now();
        self.send_to_entry(entry, Arrival::Cancel { asked, pool, jobs });
    }

    fn record_cancelled(
        &mut self,
        jobs: &[usize],
        statuses: Option<Vec<JobStatus>>,
        asked: Instant,
    ) {
        let now = self.now();
        for status in statuses.unwrap_or_default() {
            let found = jobs
                .iter()
                .find(|&&job| self.jobs.all[job].spec.key == status.key);
            let Some(&job) = found else { continue };
            self.record_status(job, &status, asked);
            if status.phase == wire::JobPhase::Cancelled {
                self.count("cancellations");
                self.jobs.all[job].cancelled_at.get_or_insert(now);
            }
        }
    }

    fn poll_tables(&mut self) {
        self.after(POLL_INTERVAL, SimEvent::Caller(CallerAction::PollTables));
        for proc in 0..ENTRIES {
            let incarnation = self.procs[proc].incarnation();
            self.send_to_entry(incarnation, Arrival::Tables);
        }
    }

    fn record_tables(&mut self, incarnation: ProcIncarnation, doc: Option<TablesDoc>) {
        let generation = doc.map_or(Generation(0), |doc| doc.generation);
        let at = (incarnation.proc, incarnation.number);
        let before = self.generations.insert(at, generation);
        if before.is_some_and(|before| before > generation) {
            self.record_violation(format!(
                "{incarnation:?} went from {before:?} to {generation}"
            ));
        }
    }

    pub(crate) fn generation_in_store(&mut self) -> u64 {
        self.read_tables().map_or(0, |(doc, _)| doc.generation.0)
    }

    fn read_tables(&mut self) -> Option<(TablesDoc, u64)> {
        let now = self.now();
        let key = TablesDoc::KEY.into();
        match self.store.apply(now, &StoreCall::Get { key }) {
            Ok(StoreReply::Got(Some(kv))) => {
                let doc = serde_json::from_slice(&kv.value).ok()?;
                Some((doc, kv.revision))
            }
            _ => None,
        }
    }

    /// Replaces the tables if their generation is still the one that the edit was based on.
    fn apply_tables(&mut self, operator: u32, based_on: u64) {
        let Some((current, revision)) = self.read_tables() else {
            return;
        };
        if current.generation.0 != based_on {
            self.count("table conflicts");
            return;
        }
        let doc = tables_doc(based_on + 1, operator, self.rng.random());
        let now = self.now();
        let call = put_tables(&doc, Expect::Revision(revision));
        if let Ok(StoreReply::Done { .. }) = self.store.apply(now, &call) {
            self.complete_ready_watches();
            self.count("tables applied");
            self.note(format_args!("tables {} by {operator}", doc.generation));
        }
    }
}
