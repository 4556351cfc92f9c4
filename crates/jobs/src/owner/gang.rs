//! Gang placement: all tasks of a stage start together, in one rack where the stage prefers it.

use base::prelude::*;
use blame::Verdict;

use super::Owner;
use super::placement::cost;

impl Owner {
    /// Places all tasks of a gang at once, or none.
    pub(super) fn place_gang(&mut self, now: Instant, id: &JobId, at: usize) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let instance = &job.instances[at];
        if instance.waiting.len() != instance.tasks {
            // Some members of the previous run have not ended yet.
            return;
        }
        let first = &job.tasks[instance.first];
        if first.is_held(now) || !self.admits_trial(now, &job.record.terms.pool, first.verdict()) {
            return;
        }
        if instance
            .range()
            .any(|position| self.is_awaited(job, instance, position))
        {
            return;
        }
        let racks = if job.stage(instance).same_rack {
            self.racks()
        } else {
            Vec::new()
        };
        let in_one = racks
            .iter()
            .find_map(|rack| self.assign_members(now, id, at, Some(rack)));
        let Some(members) = in_one.or_else(|| self.assign_members(now, id, at, None)) else {
            return;
        };
        let range = instance.range();
        let members_last = job.tasks[range.clone()].iter().map(|t| t.last_attempt);
        let last = members_last.max().unwrap_or_default();
        let Some(attempt) = self.next_attempt(id, last) else {
            return;
        };
        for (position, vm) in range.zip(members) {
            self.order_run(now, id, at, position, &vm, attempt);
        }
    }

    fn racks(&self) -> Vec<Name> {
        let racks: IndexSet<Name> = self
            .workers
            .values()
            .filter_map(|w| w.rack().cloned())
            .collect();
        racks.into_iter().collect()
    }

    /// Returns a worker for each member if all members fit.
    fn assign_members(
        &self,
        now: Instant,
        id: &JobId,
        at: usize,
        rack: Option<&Name>,
    ) -> Option<Vec<Name>> {
        let job = self.jobs.get(id)?;
        let instance = &job.instances[at];
        let stage = job.stage(instance);
        let is_suspect = job.tasks[instance.first].verdict() != Verdict::Clear;
        let first = job.task_id(instance, instance.first);
        let is_at_fault = self.faults.is_at_fault(&first);
        let members_tasks = &job.tasks[instance.range()];
        let demand = stage.charged();
        let mut candidates: Vec<(f64, &Name, Resources, u32)> = self
            .workers
            .iter()
            .filter(|(_, w)| rack.is_none_or(|r| w.rack() == Some(r)))
            .filter(|(_, w)| !w.is_reserved(now) && (!is_suspect || !w.has_trial()))
            .filter(|(vm, w)| self.is_eligible(now, job, instance, vm, w, is_at_fault))
            .filter(|(vm, _)| self.is_allowed(now, job, instance, vm))
            .filter(|(vm, _)| !members_tasks.iter().any(|t| t.is_rejected_by(vm, now)))
            .map(|(vm, w)| {
                (
                    cost(stage, w),
                    vm,
                    w.free_capacity(),
                    stage.max_per_worker.unwrap_or(u32::MAX),
                )
            })
            .collect();
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut members = Vec::new();
        for (_, vm, free, most) in candidates {
            let left = (instance.tasks - members.len()) as u64;
            let here = demand.times_in(&free).min(u64::from(most)).min(left);
            members.extend((0..here).map(|_| Arc::clone(vm)));
        }
        (members.len() == instance.tasks).then_some(members)
    }
}
