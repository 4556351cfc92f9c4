//! The jobs of a run, as their callers see them.

use base::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tables::Priority;
use wire::{JobPhase, JobSpec, JobStatus, SubmitReply};

/// The probability that a caller gives up at the first refusal.
const GIVES_UP: f64 = 0.2;

/// What a caller knows of a job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) id: Option<JobId>,
    gives_up: bool,
    /// Counts submissions, so that the wait for an earlier one is known.
    pub(crate) tries: u32,
    /// Whether some submission had an unknown outcome.
    is_unsure: bool,
    /// Whether the caller was told that the job is not kept, and believed it.
    pub(crate) is_refused: bool,
    pub(crate) ended: Option<JobPhase>,
    ended_seen_at: Option<Instant>,
    /// The phase last seen.
    pub(crate) last: Option<JobPhase>,
    pub(crate) cancelled_at: Option<Instant>,
}

/// All jobs of a run.
#[derive(Debug, Default)]
pub(crate) struct Jobs {
    pub(crate) all: Vec<Job>,
}

/// What the caller of a submission does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Next {
    Again,
    Nothing,
}

impl Jobs {
    /// Draws a job; one whose declaration is `noisy` is far off.
    pub(crate) fn draw(&mut self, rng: &mut ChaCha8Rng, pool: &PoolName, noisy: bool) -> usize {
        let number = self.all.len();
        let spec = draw_spec(rng, pool, number, noisy);
        self.all.push(Job {
            spec,
            id: None,
            gives_up: rng.random_bool(GIVES_UP),
            tries: 0,
            is_unsure: false,
            is_refused: false,
            ended: None,
            ended_seen_at: None,
            last: None,
            cancelled_at: None,
        });
        number
    }

    /// Takes the answer to a submission; returns a breach where it contradicts an earlier one.
    pub(crate) fn submitted(
        &mut self,
        job: usize,
        reply: Option<SubmitReply>,
    ) -> std::result::Result<Next, String> {
        let job = &mut self.all[job];
        match reply {
            Some(SubmitReply::Accepted { job: id, .. }) => {
                let known = job.id.get_or_insert_with(|| id.clone());
                if *known != id {
                    return Err(format!("key {} is both {known} and {id}", job.spec.key));
                }
                Ok(Next::Nothing)
            }
            Some(SubmitReply::Refused { .. } | SubmitReply::NotOwner) => {
                job.is_refused = job.gives_up && !job.is_unsure && job.id.is_none();
                Ok(if job.is_refused {
                    Next::Nothing
                } else {
                    Next::Again
                })
            }
            Some(SubmitReply::Unknown) | None => {
                job.is_unsure = true;
                Ok(Next::Again)
            }
        }
    }

    /// Tells whether the caller still waits for the answer to a submission.
    pub(crate) fn is_waiting(&self, job: usize, tried: u32) -> bool {
        let job = &self.all[job];
        job.tries == tried && job.id.is_none() && !job.is_refused
    }

    /// Takes a status that was asked for at `asked`; returns a breach where a job that was known
    /// to have ended by then is something else.
    pub(crate) fn seen(
        &mut self,
        job: usize,
        status: &JobStatus,
        asked: Instant,
        now: Instant,
    ) -> std::result::Result<(), String> {
        let job = &mut self.all[job];
        job.last = Some(status.phase.clone());
        if job.is_refused {
            return Err(format!("refused {} is kept as {status:?}", job.spec.key));
        }
        let is_end = matches!(
            status.phase,
            JobPhase::Finished | JobPhase::Failed { .. } | JobPhase::Cancelled
        );
        match &job.ended {
            Some(ended) if *ended != status.phase && job.ended_seen_at <= Some(asked) => {
                Err(format!("{} was {ended:?} and is {status:?}", job.spec.key))
            }
            None if is_end => {
                job.ended = Some(status.phase.clone());
                job.ended_seen_at = Some(now);
                Ok(())
            }
            _ => Ok(()),
        }
    }

    /// Draws jobs that were accepted and, as far as is known, have not ended.
    pub(crate) fn draw_open(&self, rng: &mut ChaCha8Rng, count: usize) -> Vec<usize> {
        let open: Vec<usize> = (0..self.all.len())
            .filter(|&n| self.all[n].id.is_some() && self.all[n].ended.is_none())
            .collect();
        open.choose_multiple(rng, count).copied().collect()
    }
}

fn draw_spec(rng: &mut ChaCha8Rng, pool: &PoolName, number: usize, noisy: bool) -> JobSpec {
    let classes = ["proof", "settlement", "index"];
    let class = *classes.choose(rng).expect("there are classes");
    let is_standing = rng.random_bool(0.005);
    let cores = match (noisy, rng.random_range(0..100)) {
        _ if is_standing => 1,
        // Some jobs can never run.
        (_, 0) => 200,
        (true, _) => rng.random_range(8..=48),
        (false, _) => rng.random_range(1..=16),
    };
    let secs = rng.random_range(1..=120);
    let priorities = [Priority::Low, Priority::Normal, Priority::Urgent];
    JobSpec {
        key: JobKey::from(format!("job-{number}")),
        route: "proof".into(),
        pool: pool.clone(),
        team: "proofs".into(),
        class: class.into(),
        priority: *priorities.choose(rng).expect("there are priorities"),
        resources: Resources::new(cores, rng.random_range(256..=32 * 1024), 0),
        run_time: (!is_standing).then(|| Duration::from_secs(secs)),
        finish_within: None,
        max_failures: 3,
        after: None,
        payload: format!("job-{number}").into(),
    }
}
