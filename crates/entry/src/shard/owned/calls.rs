//! Submissions, ends of tasks, cancellations and claims, each answered once committed.

use base::prelude::*;
use journal::{Change, Ticket, shortened};
use place::{Feasibility, PlacementRequest};
use wire::{
    Claim, ClaimReply, DoneAck, DoneReport, JobRef, JobSpec, JobStatus, Responder, SubmitReply,
    TaskEnd,
};

use super::{ProposalGroup, Shard, Waiter};

/// How many changes may wait to be committed before submissions and claims are refused.
const MAX_BACKLOG: usize = 20_000;

impl Shard {
    pub(in crate::shard) fn submit(
        &mut self,
        now: Instant,
        spec: Box<JobSpec>,
        reply: Responder<SubmitReply>,
    ) {
        let known = self
            .owner
            .state()
            .find(&JobRef::Key(spec.pool.clone(), spec.key.clone()));
        if let Some(job) = known {
            reply.send(SubmitReply::Accepted {
                job: job.id.clone(),
                known: true,
            });
            return;
        }
        if let Some(&ticket) = self.submitting.get(&spec.key) {
            return self.join_submission(ticket, reply);
        }
        if self.owner.backlog() > MAX_BACKLOG {
            let reason = "backlog".into();
            return reply.send(SubmitReply::Refused { reason });
        }
        if spec.after.as_ref() == Some(&spec.key) {
            let reason = "waits-for-itself".into();
            return reply.send(SubmitReply::Refused { reason });
        }
        let job = self.next_job_id();
        if let Feasibility::Infeasible { reason } =
            self.placer.check(&admission_request(&job, &spec))
        {
            reply.send(SubmitReply::Refused { reason });
            return;
        }
        let key = spec.key.clone();
        let change = Change::Submitted {
            job: job.clone(),
            spec,
            at_ms: self.wall_ms(),
        };
        let ticket = self.owner.propose(now, change);
        self.submitting.insert(key, ticket);
        self.wait_for(
            ticket,
            Waiter::Submit {
                job,
                known: false,
                reply,
            },
        );
    }

    /// Lets a second submission of a key wait for the first one's commit.
    fn join_submission(&mut self, ticket: Ticket, reply: Responder<SubmitReply>) {
        let waiters = self.waiters.get(&ticket).into_iter().flatten();
        let first = waiters.into_iter().find_map(|waiter| match waiter {
            Waiter::Submit { job, .. } => Some(job.clone()),
            _ => None,
        });
        match first {
            Some(job) => self.wait_for(
                ticket,
                Waiter::Submit {
                    job,
                    known: true,
                    reply,
                },
            ),
            None => reply.send(SubmitReply::Unknown),
        }
    }

    /// Returns a new job id. The epoch makes it unique among all owners of the shard.
    fn next_job_id(&mut self) -> JobId {
        let epoch = self.owner.epoch().unwrap_or_default();
        self.next_job += 1;
        JobId::new(format!("{:x}-{epoch}-{}", self.shard.0, self.next_job))
    }

    /// Proposes the reported ends of current attempts; replies once they are committed, or at once
    /// if there are none.
    pub(in crate::shard) fn done(
        &mut self,
        now: Instant,
        report: DoneReport,
        reply: Responder<DoneAck>,
    ) {
        let mut pending = Vec::new();
        let mut acked = Vec::new();
        for (key, end) in report.ends {
            if !self.owner.state().is_current(&key) {
                acked.push(key);
            } else if self.ending.insert(key.clone()) {
                let end = with_shortened_error(end);
                pending.push(self.owner.propose(
                    now,
                    Change::Ended {
                        key: key.clone(),
                        end,
                    },
                ));
                acked.push(key);
            }
            // An end that is proposed already is acknowledged when the companion repeats it.
        }
        if pending.is_empty() {
            reply.send(DoneAck { keys: acked });
            return;
        }
        let id = self.next_group_id();
        self.done_groups.insert(
            id,
            ProposalGroup {
                pending: pending.len(),
                keys: acked,
                reply,
            },
        );
        for ticket in pending {
            self.wait_for(ticket, Waiter::Done(id));
        }
    }

    pub(in crate::shard) fn cancel(
        &mut self,
        now: Instant,
        jobs: &[JobRef],
        reply: Responder<Vec<JobStatus>>,
    ) {
        let found: Vec<_> = jobs
            .iter()
            .filter_map(|job| self.owner.state().find(job))
            .collect();
        let keys: Vec<JobId> = found.iter().map(|job| job.id.clone()).collect();
        let pending: Vec<JobId> = found
            .iter()
            .filter(|job| !job.is_ended())
            .map(|job| job.id.clone())
            .collect();
        if pending.is_empty() {
            reply.send(self.statuses(&keys));
            return;
        }
        let id = self.next_group_id();
        self.cancel_groups.insert(
            id,
            ProposalGroup {
                pending: pending.len(),
                keys,
                reply,
            },
        );
        for job in pending {
            let ticket = self.owner.propose(now, Change::Cancelled { job });
            self.wait_for(ticket, Waiter::Cancel(id));
        }
    }

    pub(in crate::shard) fn claim(
        &mut self,
        now: Instant,
        claim: Box<Claim>,
        replaces: Option<Box<Claim>>,
        reply: Responder<ClaimReply>,
    ) {
        let at = (claim.route.clone(), Arc::clone(&claim.key));
        let held = self.owner.state().claim(&claim.route, &claim.key);
        if let Some(held) = held.filter(|held| replaces.as_deref() != Some(*held)) {
            reply.send(ClaimReply::Held(held.clone()));
            return;
        }
        if self.claiming.contains_key(&at) || self.owner.backlog() > MAX_BACKLOG {
            reply.send(ClaimReply::Refused {
                reason: "claim-in-progress".into(),
            });
            return;
        }
        let ticket = self.owner.propose(
            now,
            Change::Claimed {
                claim,
                at_ms: self.wall_ms(),
            },
        );
        self.claiming.insert(at, ticket);
        self.wait_for(ticket, Waiter::Claim(reply));
    }

    fn next_group_id(&mut self) -> u64 {
        self.next_group += 1;
        self.next_group
    }

    fn wait_for(&mut self, ticket: Ticket, waiter: Waiter) {
        self.waiters.entry(ticket).or_default().push(waiter);
    }

    /// Replies to the callers that waited for a change that is now committed.
    pub(super) fn notify_waiters(&mut self, ticket: Ticket) {
        for waiter in self.waiters.swap_remove(&ticket).unwrap_or_default() {
            match waiter {
                Waiter::Submit { job, known, reply } => {
                    reply.send(SubmitReply::Accepted { job, known });
                }
                Waiter::Claim(reply) => reply.send(ClaimReply::Granted),
                Waiter::Done(id) => self.done_committed(id),
                Waiter::Cancel(id) => self.cancel_committed(id),
            }
        }
    }

    fn done_committed(&mut self, id: u64) {
        let Some(group) = self.done_groups.get_mut(&id) else {
            return;
        };
        group.pending -= 1;
        if group.pending > 0 {
            return;
        }
        if let Some(group) = self.done_groups.swap_remove(&id) {
            group.reply.send(DoneAck { keys: group.keys });
        }
    }

    fn cancel_committed(&mut self, id: u64) {
        let Some(group) = self.cancel_groups.get_mut(&id) else {
            return;
        };
        group.pending -= 1;
        if group.pending > 0 {
            return;
        }
        if let Some(group) = self.cancel_groups.swap_remove(&id) {
            let statuses = self.statuses(&group.keys);
            group.reply.send(statuses);
        }
    }

    fn statuses(&self, jobs: &[JobId]) -> Vec<JobStatus> {
        let state = self.owner.state();
        jobs.iter()
            .filter_map(|id| state.job(id))
            .map(|job| self.status_of(job))
            .collect()
    }
}

/// Shortens the error of a failed task so that it fits into a log record.
fn with_shortened_error(end: TaskEnd) -> TaskEnd {
    match end {
        TaskEnd::Failed { error } => TaskEnd::Failed {
            error: shortened(&error),
        },
        end => end,
    }
}

/// Returns the request with which the placer checks a job before it is accepted.
fn admission_request(job: &JobId, spec: &JobSpec) -> PlacementRequest {
    PlacementRequest {
        job: job.clone(),
        team: spec.team.clone(),
        class: spec.class.clone(),
        priority: spec.priority,
        resources: spec.resources,
        run_time: spec.run_time,
        finish_by: None,
        work_done: Duration::ZERO,
        failures: 0,
    }
}
