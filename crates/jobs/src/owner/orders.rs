//! The orders in a reply to a companion's report.

use base::prelude::*;

use super::worker::{Phase, RESEND_AFTER, Run, Worker};
use crate::report::StartOrder;
use crate::{Job, TaskRun};

/// The maximum number of orders of a kind in a reply; the others follow with the next one.
const MAX_ORDERS: usize = 512;

/// How many bytes of payloads and checkpoints the starts of a reply may have before no further one is added: a reply has
/// to stay below the size that companions accept, though JSON may take six bytes for one.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024;

/// The orders that are due to be sent to a worker.
#[derive(Debug, Default)]
pub(super) struct Orders {
    pub(super) starts: Vec<StartOrder>,
    pub(super) stops: Vec<TaskRun>,
    pub(super) throttles: Vec<(TaskRun, u32)>,
}

impl Orders {
    pub(super) fn of(worker: &Worker, jobs: &IndexMap<JobId, Job>, now: Instant) -> Self {
        let is_due =
            |sent: &Option<Instant>| sent.is_none_or(|at| now.duration_since(at) >= RESEND_AFTER);
        let mut orders = Self::default();
        if !worker.is_adopted {
            return orders;
        }
        let mut starts: Vec<(&TaskRun, &Run)> = Vec::new();
        for (id, run) in &worker.runs {
            match &run.phase {
                Phase::Ordered {
                    sent,
                    is_acknowledged,
                } if !is_acknowledged && is_due(sent) && worker.starts.is_open(now) => {
                    starts.push((id, run));
                }
                Phase::Stopping { sent } if is_due(sent) => orders.add_stop(id),
                _ => {}
            }
            if run.is_speed_due(now) {
                orders.add_throttle(id, run.speed_percent);
            }
        }
        starts.sort_by_key(|(_, run)| run.number);
        orders.add_starts(&starts, jobs);
        orders.stops.extend(worker.unknown_runs.iter().cloned());
        orders
    }

    fn add_starts(&mut self, starts: &[(&TaskRun, &Run)], jobs: &IndexMap<JobId, Job>) {
        let mut bytes = 0;
        for (id, run) in starts {
            if self.starts.len() >= MAX_ORDERS || bytes >= MAX_PAYLOAD_BYTES {
                return;
            }
            if let Some(order) = start_order(id, run, jobs) {
                bytes += order.payload.len() + order.checkpoint.as_ref().map_or(0, |c| c.len());
                self.starts.push(order);
            }
        }
    }

    fn add_stop(&mut self, id: &TaskRun) {
        if self.stops.len() < MAX_ORDERS {
            self.stops.push(id.clone());
        }
    }

    fn add_throttle(&mut self, id: &TaskRun, percent: u32) {
        if self.throttles.len() < MAX_ORDERS {
            self.throttles.push((id.clone(), percent));
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        self.starts.is_empty() && self.stops.is_empty() && self.throttles.is_empty()
    }

    pub(super) fn mark_sent(&self, worker: &mut Worker, now: Instant) {
        for order in &self.starts {
            if let Some(run) = worker.runs.get_mut(&order.run)
                && let Phase::Ordered { sent, .. } = &mut run.phase
            {
                *sent = Some(now);
            }
        }
        for id in &self.stops {
            if let Some(run) = worker.runs.get_mut(id)
                && let Phase::Stopping { sent } = &mut run.phase
            {
                *sent = Some(now);
            }
        }
        for (id, _) in &self.throttles {
            if let Some(run) = worker.runs.get_mut(id) {
                run.speed_sent = Some((run.speed_percent, now));
            }
        }
        worker.unknown_runs.clear();
    }
}

fn start_order(id: &TaskRun, run: &Run, jobs: &IndexMap<JobId, Job>) -> Option<StartOrder> {
    let job = jobs.get(&id.task.job)?;
    let (_, position) = job.find(&id.task)?;
    Some(StartOrder {
        run: id.clone(),
        payload: Arc::clone(&job.record.spec.payload),
        checkpoint: job.tasks[position].checkpoint.clone(),
        ticket: run.ticket.clone(),
    })
}
