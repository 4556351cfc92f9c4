//! The order in which waiting tasks are placed.

use base::prelude::*;

use super::Owner;
use crate::Job;
use crate::job::Part;

/// How urgent the tasks of a stage are; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// The rank of the route.
    pub priority: u32,
    /// What the job can still be.
    pub chance: Chance,
    /// The work that is left of the job, in milliseconds of a core: worth rises more slowly than
    /// work, so that short jobs bring more for the same room.
    pub work_left: u64,
    /// When the job should be done, in milliseconds since the Unix epoch.
    pub due_unix_ms: u64,
}

/// What a job can still be if its chain of stages goes on at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Chance {
    /// Done within its objective.
    InTime,
    /// Done within [`LATE_FACTOR`] times its objective, when it is still worth something.
    Late,
    /// Neither: it runs when nothing else wants the room.
    Lost,
}

/// The multiple of a job's objective after which its result is worth nothing more than its record.
const LATE_FACTOR: u64 = 3;

/// Occurrences and stages that may be placed now, most urgent first.
pub(super) type Candidates = Vec<(Urgency, JobId, usize)>;

impl Owner {
    pub(super) fn candidates(&self, unix_ms: u64) -> Candidates {
        let mut found = Candidates::new();
        for id in &self.active {
            let Some(job) = self.jobs.get(id).filter(|j| self.may_start(j)) else {
                continue;
            };
            for (at, part) in job.parts.iter().enumerate() {
                if part.waiting > 0 && job.is_due(part, unix_ms) {
                    found.push((urgency(job, part, unix_ms), id.clone(), at));
                }
            }
        }
        found.sort_by_key(|(urgency, _, _)| *urgency);
        found
    }

    fn may_start(&self, job: &Job) -> bool {
        job.stored.record.is_some() && !(job.is_inherited && self.had_unheard)
    }
}

/// Ranks the tasks of a stage: under overload, work that can be in time goes before work that
/// cannot, and then what is due first.
fn urgency(job: &Job, part: &Part, unix_ms: u64) -> Urgency {
    let terms = &job.record.terms;
    let start = job
        .record
        .spec
        .schedule
        .map_or(job.record.accepted_unix_ms, |s| {
            s.first_unix_ms + u64::from(part.occurrence) * s.interval_ms
        });
    let objective = (job.longest_chain_ms() as f64 * terms.stretch) as u64 + terms.slack_ms;
    let ends = unix_ms + job.chain_ms(part);
    let chance = if job.stage(part).standing || ends <= start + objective {
        Chance::InTime
    } else if ends <= start + objective * LATE_FACTOR {
        Chance::Late
    } else {
        Chance::Lost
    };
    Urgency {
        priority: terms.priority,
        chance,
        work_left: job.work_left(),
        due_unix_ms: start + objective,
    }
}
