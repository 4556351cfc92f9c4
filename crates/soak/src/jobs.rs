//! The jobs of a run as their callers know them.

use base::prelude::*;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tables::Priority;
use wire::{JobPhase, JobSpec, JobStatus, SubmitReply};

/// The probability that a caller does not resubmit a refused job.
const GIVE_UP_PROBABILITY: f64 = 0.2;

/// What the caller knows about a job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) id: Option<JobId>,
    gives_up: bool,
    /// The number of submissions, so that the timeout of an earlier one can be told apart.
    pub(crate) tries: u32,
    /// Whether any submission had an unknown outcome.
    is_outcome_unknown: bool,
    /// Whether the caller gave up after a refusal, so that the job must not exist.
    pub(crate) is_refused: bool,
    pub(crate) ended: Option<JobPhase>,
    ended_seen_at: Option<Instant>,
    /// The last known phase.
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
pub(crate) enum NextAction {
    Resubmit,
    Nothing,
}

impl Jobs {
    /// Draws a job; a `noisy` one declares 8 to 48 cores instead of 1 to 16.
    pub(crate) fn draw(&mut self, rng: &mut ChaCha8Rng, pool: &PoolName, noisy: bool) -> usize {
        let number = self.all.len();
        let spec = draw_spec(rng, pool, number, noisy);
        self.all.push(Job {
            spec,
            id: None,
            gives_up: rng.random_bool(GIVE_UP_PROBABILITY),
            tries: 0,
            is_outcome_unknown: false,
            is_refused: false,
            ended: None,
            ended_seen_at: None,
            last: None,
            cancelled_at: None,
        });
        number
    }

    /// Records the reply to a submission.
    ///
    /// # Errors
    ///
    /// Returns a violation if the reply contradicts an earlier one.
    pub(crate) fn record_reply(
        &mut self,
        job: usize,
        reply: Option<SubmitReply>,
    ) -> std::result::Result<NextAction, String> {
        let job = &mut self.all[job];
        match reply {
            Some(SubmitReply::Accepted { job: id, .. }) => {
                let known = job.id.get_or_insert_with(|| id.clone());
                if *known != id {
                    return Err(format!("key {} is both {known} and {id}", job.spec.key));
                }
                Ok(NextAction::Nothing)
            }
            Some(SubmitReply::Refused { .. } | SubmitReply::NotOwner) => {
                job.is_refused = job.gives_up && !job.is_outcome_unknown && job.id.is_none();
                Ok(if job.is_refused {
                    NextAction::Nothing
                } else {
                    NextAction::Resubmit
                })
            }
            Some(SubmitReply::Unknown) | None => {
                job.is_outcome_unknown = true;
                Ok(NextAction::Resubmit)
            }
        }
    }

    /// Returns true if the caller still waits for the reply to the given submission.
    pub(crate) fn is_waiting(&self, job: usize, try_number: u32) -> bool {
        let job = &self.all[job];
        job.tries == try_number && job.id.is_none() && !job.is_refused
    }

    /// Records a status that was requested at `asked`.
    ///
    /// # Errors
    ///
    /// Returns a violation if the job was refused, or if it had ended before `asked` and its
    /// phase has changed since.
    pub(crate) fn record_status(
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

    /// Draws up to `count` jobs that were accepted and are not known to have ended.
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
        // More than the capacity of a worker: such a job can never run.
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
