//! Callers with jobs and operators with tables.

use base::prelude::*;
use ports::store::{Expect, StoreCall, StoreReply};
use rand::Rng;
use tables::TablesDoc;
use wire::{JobRef, JobStatus};

use crate::build::{ENTRIES, POOL, put_tables, tables_doc};
use crate::jobs::Next;
use crate::ports::{Life, Out, ProcId};
use crate::process::Arrival;
use crate::world::{Caller, Happening, World};

/// How often callers look at jobs and tables.
const LOOK_EVERY: Duration = Duration::from_secs(5);

/// How many jobs are looked at each time.
const LOOKED_AT: usize = 5;

/// The longest time until a caller tries again.
const MAX_RETRY: Duration = Duration::from_secs(3);

/// How long a caller waits for the answer to a submission.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

/// The longest time from a caller to an entry.
const MAX_NETWORK: Duration = Duration::from_millis(2);

impl World {
    pub(crate) fn caller(&mut self, caller: Caller) {
        match caller {
            Caller::NewJob => self.next_job(),
            Caller::Submit(job) => self.submit(job),
            Caller::GiveUp { job, tried } => self.give_up(job, tried),
            Caller::LookAtJobs => self.look_at_jobs(),
            Caller::LookAtTables => self.look_at_tables(),
            Caller::Apply { operator, based_on } => self.apply_tables(operator, based_on),
            request => self.request_caller(request),
        }
    }

    /// Draws an entry as the platform's balancer does: one that is alive, paused or not.
    pub(crate) fn draw_entry(&mut self) -> Option<Life> {
        let alive: Vec<ProcId> = (0..ENTRIES)
            .filter(|&proc| self.procs[proc].is_alive())
            .collect();
        if alive.is_empty() {
            return None;
        }
        let proc = alive[self.rng.random_range(0..alive.len())];
        Some(self.procs[proc].life())
    }

    /// Sends something of a caller to an entry.
    pub(crate) fn send_to_entry(&mut self, entry: Life, arrival: Arrival) {
        let delay = self.draw_up_to(MAX_NETWORK);
        self.after(delay, Happening::Arrive(entry, arrival));
    }

    fn next_job(&mut self) {
        if self.is_quiet {
            return;
        }
        self.new_job(false);
        let every = self.cfg.job_every * 2;
        let gap = self.draw_up_to(every);
        self.after(gap, Happening::Caller(Caller::NewJob));
    }

    pub(crate) fn new_job(&mut self, noisy: bool) {
        let job = self.jobs.draw(&mut self.rng, &POOL.into(), noisy);
        self.submit(job);
    }

    fn submit(&mut self, job: usize) {
        self.count("submissions");
        self.jobs.all[job].tries += 1;
        let tried = self.jobs.all[job].tries;
        let Some(entry) = self.draw_entry() else {
            return self.submit_later(job);
        };
        let spec = Box::new(self.jobs.all[job].spec.clone());
        self.send_to_entry(entry, Arrival::Submit { job, spec });
        // An entry that dies before the submission reaches it never answers.
        self.after(
            CALLER_TIMEOUT,
            Happening::Caller(Caller::GiveUp { job, tried }),
        );
    }

    /// Submits again what had no answer for too long.
    fn give_up(&mut self, job: usize, tried: u32) {
        if self.jobs.is_waiting(job, tried)
            && let Ok(Next::Again) = self.jobs.submitted(job, None)
        {
            self.submit(job);
        }
    }

    fn submit_later(&mut self, job: usize) {
        let delay = Duration::from_millis(500) + self.draw_up_to(MAX_RETRY);
        self.after(delay, Happening::Caller(Caller::Submit(job)));
    }

    pub(crate) fn caller_hears(&mut self, life: Life, out: Out) {
        match out {
            Out::Submitted { job, reply } => {
                self.note(format_args!("submission {job}: {reply:?}"));
                match self.jobs.submitted(job, reply) {
                    Ok(Next::Again) => self.submit_later(job),
                    Ok(Next::Nothing) => {}
                    Err(text) => self.breach(text),
                }
            }
            Out::Cancelled {
                jobs,
                asked,
                statuses,
            } => self.cancelled(&jobs, statuses, asked),
            Out::Status {
                job,
                asked,
                status: Some(Some(status)),
            } => self.saw(job, &status, asked),
            Out::Tables { doc } => self.saw_tables(life, doc.flatten()),
            Out::Step { request, step } => self.step(request, step),
            Out::Admit { delivery, step } => self.admitted(delivery, step),
            _ => {}
        }
    }

    /// Notes what a dead process will not tell any more.
    pub(crate) fn drop_out(&mut self, out: Out) {
        if let Out::Submitted { job, .. } = out
            && let Ok(Next::Again) = self.jobs.submitted(job, None)
        {
            self.submit_later(job);
        }
    }

    fn saw(&mut self, job: usize, status: &JobStatus, asked: Instant) {
        self.count("statuses");
        self.note(format_args!("job {job}: {status:?}"));
        let now = self.now();
        if let Err(text) = self.jobs.seen(job, status, asked, now) {
            self.breach(text);
        }
    }

    fn look_at_jobs(&mut self) {
        self.after(LOOK_EVERY, Happening::Caller(Caller::LookAtJobs));
        let count = if self.is_quiet { usize::MAX } else { LOOKED_AT };
        let jobs = self.jobs.draw_open(&mut self.rng, count);
        for job in jobs {
            self.look_at(job);
        }
        // Some ended and refused ones as well: they must stay as they are.
        for _ in 0..LOOKED_AT.min(self.jobs.all.len()) {
            let job = self.rng.random_range(0..self.jobs.all.len());
            self.look_at(job);
        }
    }

    pub(crate) fn look_at(&mut self, job: usize) {
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

    pub(crate) fn cancel_wave(&mut self, count: usize) {
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

    fn cancelled(&mut self, jobs: &[usize], statuses: Option<Vec<JobStatus>>, asked: Instant) {
        let now = self.now();
        for status in statuses.unwrap_or_default() {
            let found = jobs
                .iter()
                .find(|&&job| self.jobs.all[job].spec.key == status.key);
            let Some(&job) = found else { continue };
            self.saw(job, &status, asked);
            if status.phase == wire::JobPhase::Cancelled {
                self.count("cancellations");
                self.jobs.all[job].cancelled_at.get_or_insert(now);
            }
        }
    }

    fn look_at_tables(&mut self) {
        self.after(LOOK_EVERY, Happening::Caller(Caller::LookAtTables));
        for proc in 0..ENTRIES {
            let life = self.procs[proc].life();
            self.send_to_entry(life, Arrival::Tables);
        }
    }

    fn saw_tables(&mut self, life: Life, doc: Option<TablesDoc>) {
        let generation = doc.map_or(Generation(0), |doc| doc.generation);
        let at = (life.proc, life.number);
        let before = self.generations.insert(at, generation);
        if before.is_some_and(|before| before > generation) {
            self.breach(format!("{life:?} went from {before:?} to {generation}"));
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

    /// Swaps the tables against the generation that the edit was based on.
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
            self.answer_watches();
            self.count("tables applied");
            self.note(format_args!("tables {} by {operator}", doc.generation));
        }
    }
}
