//! What is counted of a job's tasks, so that no decision has to go through all of them.

use base::prelude::*;

use super::{Job, Task};
use crate::StageSpec;

impl Job {
    /// Computes what [`Job::update`] keeps up to date, for a job without runs.
    pub(super) fn recount(&mut self) {
        self.open.clear();
        self.done_instances = 0;
        self.remaining_core_us = 0;
        for (at, instance) in self.instances.iter_mut().enumerate() {
            let range = instance.range();
            let tasks = &self.tasks[range.clone()];
            instance.waiting = range.filter(|p| self.tasks[*p].is_waiting()).collect();
            instance.done = count_tasks(tasks, |t| t.is_done);
            if !instance.waiting.is_empty() {
                self.open.insert(at);
            }
            self.done_instances += usize::from(instance.is_done());
            let left = (instance.tasks - instance.done as usize) as u128;
            let stage = &self.record.spec.stages[instance.stage as usize];
            self.remaining_core_us += left * core_us(stage);
        }
    }

    /// Changes a task, except for its runs, and updates the counts of its stage instance.
    pub(crate) fn update(&mut self, at: usize, position: usize, change: impl FnOnce(&mut Task)) {
        let task = &mut self.tasks[position];
        let before = (task.is_waiting(), task.is_done);
        change(task);
        let after = (task.is_waiting(), task.is_done);
        if before == after {
            return;
        }
        let instance = &mut self.instances[at];
        if after.0 {
            instance.waiting.insert(position);
        } else {
            instance.waiting.remove(&position);
        }
        if instance.waiting.is_empty() {
            self.open.remove(&at);
        } else {
            self.open.insert(at);
        }
        let was_done = instance.is_done();
        instance.done -= u32::from(before.1);
        instance.done += u32::from(after.1);
        self.done_instances -= usize::from(was_done);
        self.done_instances += usize::from(instance.is_done());
        let work = core_us(&self.record.spec.stages[instance.stage as usize]);
        self.remaining_core_us += work * u128::from(before.1);
        self.remaining_core_us -= work * u128::from(after.1);
    }

    /// Adds a run of a task on a VM.
    pub(crate) fn add_run(&mut self, at: usize, position: usize, vm: &Name, attempt: Attempt) {
        self.runs += 1;
        if !self.tasks[position].has_run_on(vm) {
            let on_vm = &mut self.instances[at].on_vm;
            *on_vm.entry(Arc::clone(vm)).or_default() += 1;
        }
        self.update(at, position, |task| {
            task.active_runs.push((Arc::clone(vm), attempt));
            task.last_attempt = task.last_attempt.max(attempt);
        });
    }

    /// Removes a run of a task on a VM, if the task has it.
    pub(crate) fn remove_run(&mut self, at: usize, position: usize, vm: &Name, attempt: Attempt) {
        let had_run = self.tasks[position].has_run_on(vm);
        let runs = self.tasks[position].active_runs.len();
        self.update(at, position, |task| {
            let is_other = |(other, number): &(Name, Attempt)| other != vm || *number != attempt;
            task.active_runs.retain(is_other);
        });
        let task = &self.tasks[position];
        self.runs -= runs - task.active_runs.len();
        let on_vm = &mut self.instances[at].on_vm;
        if had_run
            && !task.has_run_on(vm)
            && let Some(tasks) = on_vm.get_mut(vm)
        {
            *tasks -= 1;
            if *tasks == 0 {
                on_vm.swap_remove(vm);
            }
        }
    }

    /// Returns the stage instances with waiting tasks that may start at `unix_ms`, at most `max`, and
    /// whether there are others; those come first the next time.
    pub(crate) fn due_instances(&mut self, unix_ms: u64, max: usize) -> (Vec<usize>, bool) {
        let is_scheduled = |at: &usize| {
            // Later occurrences come later.
            let at = self.scheduled_unix_ms(&self.instances[*at]);
            at.is_none_or(|at| unix_ms >= at)
        };
        let open = self.open.iter().copied().take_while(is_scheduled);
        let due: Vec<usize> = open
            .filter(|at| self.is_due(&self.instances[*at], unix_ms))
            .collect();
        if due.len() <= max {
            self.next_instance = 0;
            return (due, false);
        }
        let from = due.partition_point(|at| *at < self.next_instance);
        let (before, after) = due.split_at(from);
        let chosen: Vec<usize> = after.iter().chain(before).copied().take(max).collect();
        self.next_instance = chosen.last().map_or(0, |at| at + 1);
        (chosen, true)
    }
}

/// Returns the estimated work of a task, in core-microseconds.
fn core_us(stage: &StageSpec) -> u128 {
    stage.estimate().as_millis() * u128::from(stage.cpu_milli())
}

fn count_tasks(tasks: &[Task], predicate: impl Fn(&Task) -> bool) -> u32 {
    u32::try_from(tasks.iter().filter(|t| predicate(t)).count()).unwrap_or(u32::MAX)
}
