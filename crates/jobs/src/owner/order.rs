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
    /// When the job was accepted plus the time that its route allows for it, in milliseconds
    /// since the Unix epoch.
    pub due_unix_ms: u64,
}

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
                    found.push((urgency(job, part), id.clone(), at));
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

fn urgency(job: &Job, part: &Part) -> Urgency {
    let terms = &job.record.terms;
    let start = job
        .record
        .spec
        .schedule
        .map_or(job.record.accepted_unix_ms, |s| {
            s.first_unix_ms + u64::from(part.occurrence) * s.interval_ms
        });
    let chain = job.chain_ms(part) as f64;
    let allowed = (chain * terms.stretch) as u64 + terms.slack_ms;
    Urgency {
        priority: terms.priority,
        due_unix_ms: start + allowed,
    }
}
