//! Tickets of the placement advisor, for routes whose policy allows only some workers.
//!
//! The advisor handles one call at a time, and takes longer the more workers a request names. So
//! one request is in flight at a time, for the workers that the stage would prefer. Its verdicts
//! don't change; a ticket is valid for all tasks of the stage on one incarnation of a worker.

use base::prelude::*;
use slog::{info, warn};

use super::placement::cost;
use super::{Effect, Owner};
use crate::job::StageInstance;
use crate::{AdviceTerms, Job};

/// The maximum workers of a request; the advisor accepts 100, and its time grows with their number.
const MAX_WORKERS_PER_REQUEST: usize = 30;

/// The delay after a failed request: the advisor was busy or unreachable.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// How long before its expiry a ticket is no longer used: an order may take that long to arrive.
const TICKET_MARGIN: Duration = Duration::from_millis(500);

/// Identifies one occurrence of a stage of a job.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StageId {
    /// The job.
    pub job: JobId,
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The stage, from 0.
    pub stage: u32,
}

/// A request to the advisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// The stage.
    pub stage: StageId,
    /// The workers that it might run on.
    pub workers: Vec<WorkerId>,
    /// How long the advisor takes to respond.
    pub response_time: Duration,
}

/// Permission to run a stage on one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    /// The worker.
    pub worker: WorkerId,
    /// The token that a start has to carry.
    pub ticket: Name,
}

/// The advisor's verdict on one incarnation of a worker.
#[derive(Clone, Debug)]
struct Verdict {
    incarnation: Incarnation,
    /// The ticket and when it expires; `None` if the stage may not run there.
    ticket: Option<(Name, Instant)>,
}

/// The request in flight.
#[derive(Clone, Debug)]
struct PendingRequest {
    stage: StageId,
    incarnations: IndexMap<WorkerId, Incarnation>,
    since: Instant,
}

/// The advisor's verdicts and the request in flight.
#[derive(Debug, Default)]
pub(super) struct Advice {
    verdicts: IndexMap<StageId, IndexMap<WorkerId, Verdict>>,
    pending: Option<PendingRequest>,
    not_before: Option<Instant>,
}

impl Advice {
    /// Returns the ticket for a stage on an incarnation of a worker, if it is still valid.
    fn ticket(
        &self,
        now: Instant,
        stage: &StageId,
        worker: &WorkerId,
        incarnation: Incarnation,
    ) -> Option<&Name> {
        let verdict = self.verdicts.get(stage)?.get(worker)?;
        let (ticket, until) = verdict
            .ticket
            .as_ref()
            .filter(|_| verdict.incarnation == incarnation)?;
        (now + TICKET_MARGIN < *until).then_some(ticket)
    }

    /// Returns true if a request for an incarnation of a worker could yield a new ticket.
    fn needs_request(
        &self,
        now: Instant,
        stage: &StageId,
        worker: &WorkerId,
        incarnation: Incarnation,
    ) -> bool {
        let verdict = self.verdicts.get(stage).and_then(|v| v.get(worker));
        verdict.is_none_or(|verdict| match &verdict.ticket {
            // Whether a stage may run on a worker is the same for all incarnations of the worker.
            None => false,
            Some((_, until)) => verdict.incarnation != incarnation || now + TICKET_MARGIN >= *until,
        })
    }

    pub(super) fn forget_job(&mut self, job: &JobId) {
        self.verdicts.retain(|stage, _| stage.job != *job);
    }
}

impl StageId {
    fn of(job: &Job, instance: &StageInstance) -> Self {
        Self {
            job: job.id.clone(),
            occurrence: instance.occurrence,
            stage: instance.stage,
        }
    }
}

impl Owner {
    /// Returns true if the route needs no advice, or there is a valid ticket for the worker.
    pub(super) fn is_allowed(
        &self,
        now: Instant,
        job: &Job,
        instance: &StageInstance,
        vm: &Name,
    ) -> bool {
        job.record.terms.advice.is_none() || self.ticket(now, job, instance, vm).is_some()
    }

    /// Returns the ticket that a start of a stage on a worker has to carry, if any.
    pub(super) fn ticket(
        &self,
        now: Instant,
        job: &Job,
        instance: &StageInstance,
        vm: &Name,
    ) -> Option<Name> {
        job.record.terms.advice?;
        let last_report = self.workers.get(vm)?.last_report.as_ref()?;
        let stage = StageId::of(job, instance);
        let ticket = self
            .advice
            .ticket(now, &stage, &last_report.id, last_report.incarnation);
        ticket.cloned()
    }

    /// Requests tickets for the preferred workers of a stage that has tasks left to place.
    pub(super) fn request_advice(&mut self, now: Instant, id: &JobId, at: usize) {
        let is_early = self.advice.not_before.is_some_and(|until| now < until);
        if self.advice.pending.is_some() || is_early {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let instance = &job.instances[at];
        let Some(terms) = job
            .record
            .terms
            .advice
            .filter(|_| !instance.waiting.is_empty())
        else {
            return;
        };
        let (stage_id, stage) = (StageId::of(job, instance), job.stage(instance));
        let key = (id.clone(), instance.stage);
        let is_at_fault = self.faults.is_stage_at_fault(&key);
        let mut candidates: Vec<(f64, WorkerId, Incarnation)> = self
            .workers
            .iter()
            .filter(|(vm, w)| self.is_eligible(now, job, instance, vm, w, is_at_fault))
            .filter_map(|(_, w)| Some((cost(stage, w), w.last_report.as_ref()?)))
            .filter(|(_, last_report)| {
                self.advice
                    .needs_request(now, &stage_id, &last_report.id, last_report.incarnation)
            })
            .map(|(cost, last_report)| (cost, last_report.id.clone(), last_report.incarnation))
            .collect();
        if candidates.is_empty() {
            return;
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let incarnations: IndexMap<WorkerId, Incarnation> = candidates
            .into_iter()
            .take(MAX_WORKERS_PER_REQUEST)
            .map(|(_, id, incarnation)| (id, incarnation))
            .collect();
        info!(self.log, "owner: advisor asked";
            "job" => %id, "stage" => instance.stage, "workers" => incarnations.len());
        let for_workers = terms
            .per_worker_ms
            .saturating_mul(incarnations.len() as u64);
        let response_ms = terms.base_ms.saturating_add(for_workers);
        self.effects.push(Effect::Advise(AdviceRequest {
            stage: stage_id.clone(),
            workers: incarnations.keys().cloned().collect(),
            response_time: Duration::from_millis(response_ms),
        }));
        self.advice.pending = Some(PendingRequest {
            stage: stage_id,
            incarnations,
            since: now,
        });
    }

    /// Handles the advisor's response.
    pub fn handle_advice(&mut self, now: Instant, stage: &StageId, reply: Result<Vec<Ticket>>) {
        let Some(pending) = self.advice.pending.take_if(|a| a.stage == *stage) else {
            return;
        };
        self.is_round_due = true;
        let tickets = match reply {
            Ok(tickets) => tickets,
            Err(e) => {
                warn!(self.log, "owner: advisor failed"; "job" => %stage.job, "error" => %e);
                let retry = now + RETRY_AFTER;
                self.advice.not_before = Some(retry);
                self.repeat_soon(retry);
                return;
            }
        };
        let Some(terms) = self
            .jobs
            .get(&stage.job)
            .filter(|job| !job.state.has_ended())
            .and_then(|job| job.record.terms.advice)
        else {
            return;
        };
        info!(self.log, "owner: advisor answered";
            "job" => %stage.job, "stage" => stage.stage, "asked" => pending.incarnations.len(),
            "allowed" => tickets.len(),
            "asked_ms_ago" => now.duration_since(pending.since).as_millis());
        self.record_verdicts(&pending, &terms, &tickets);
    }

    fn record_verdicts(
        &mut self,
        pending: &PendingRequest,
        terms: &AdviceTerms,
        tickets: &[Ticket],
    ) {
        // The advisor issued the ticket some time after the request; counting from the request is
        // the safe choice.
        let until = pending.since + Duration::from_millis(terms.valid_ms);
        let verdicts = self
            .advice
            .verdicts
            .entry(pending.stage.clone())
            .or_default();
        for (worker, incarnation) in &pending.incarnations {
            let ticket = tickets.iter().find(|t| t.worker == *worker);
            let ticket = ticket.map(|t| (Arc::clone(&t.ticket), until));
            verdicts.insert(
                worker.clone(),
                Verdict {
                    incarnation: *incarnation,
                    ticket,
                },
            );
        }
    }

    /// Drops a ticket that a worker rejected, so that a new one is requested.
    pub(super) fn drop_ticket(&mut self, vm: &Name, run: &crate::TaskRun) {
        let Some(last_report) = self.workers.get(vm).and_then(|w| w.last_report.as_ref()) else {
            return;
        };
        let stage = StageId {
            job: run.task.job.clone(),
            occurrence: run.task.occurrence,
            stage: run.task.stage,
        };
        if let Some(verdicts) = self.advice.verdicts.get_mut(&stage) {
            verdicts.swap_remove(&last_report.id);
        }
    }
}
