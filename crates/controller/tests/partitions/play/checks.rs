//! What has to hold of all runs.

use base::prelude::*;
use jobs::report::EndKind;
use jobs::{TaskId, TaskRun};

use super::{Play, vm_name};
use crate::vm::Happening;

impl Play {
    /// Checks what has happened on the VMs since the last step.
    pub(super) fn check(&mut self) -> Result<(), String> {
        for at in 0..self.vms.len() {
            for happening in std::mem::take(&mut self.vms[at].happenings) {
                self.check_happening(at, happening)?;
            }
        }
        let mut running: IndexMap<TaskId, TaskRun> = IndexMap::new();
        for run in self.vms.iter().flat_map(|vm| vm.running()) {
            if let Some(other) = running.insert(run.task.clone(), run.clone()) {
                let what = format!("{run} runs beside {other}");
                return Err(self.failure(&run.task.clone(), &what));
            }
        }
        Ok(())
    }

    fn check_happening(&mut self, at: usize, happening: Happening) -> Result<(), String> {
        let vm = vm_name(at);
        match happening {
            Happening::Started(run) => {
                self.note(Some(&run.task), format!("{run} starts on {vm}"));
                self.started.insert(run.task.clone(), self.now);
                if self.noted.contains(&run.task) {
                    let what = format!("{run} starts after an end that was taken note of");
                    return Err(self.failure(&run.task, &what));
                }
            }
            Happening::Ended(run, how) => {
                self.note(
                    Some(&run.task),
                    format!("{run} ends on {vm}: {}", how.name()),
                );
                if how == EndKind::Done {
                    self.done.insert(run.task);
                }
            }
            Happening::Noted(run, ended_at) => {
                self.note(Some(&run.task), format!("end of {run} on {vm} is stored"));
                self.noted.insert(run.task.clone());
                if self.started.get(&run.task).is_some_and(|at| *at > ended_at) {
                    let what = format!("a run started after {run} had ended as done");
                    return Err(self.failure(&run.task, &what));
                }
            }
        }
        Ok(())
    }

    /// Returns the tasks of accepted jobs that are not done.
    pub(super) fn tasks_left(&self) -> Vec<String> {
        let accepted = self.accepted.lock();
        let jobs = self.jobs.iter().enumerate();
        let left = jobs.flat_map(|(at, tasks)| {
            let job: JobId = super::trouble::job_id(at).as_str().into();
            let is_accepted = accepted.contains(&job);
            let ids = (0..*tasks).filter(move |_| is_accepted);
            ids.map(move |index| TaskId {
                job: job.clone(),
                occurrence: 0,
                stage: 0,
                index,
            })
        });
        left.filter(|task| !self.done.contains(task))
            .map(|task| task.to_string())
            .collect()
    }

    /// Describes what went wrong with a task, and how it came about.
    fn failure(&self, task: &TaskId, what: &str) -> String {
        let lines = self.trace.iter();
        let lines = lines.filter(|(_, of, _)| of.as_ref().is_none_or(|of| of == task));
        let lines = lines.map(|(at, _, line)| format!("  {:7.3} {line}", at.as_secs_f64()));
        let lines: Vec<String> = lines.collect();
        let at = self.now.as_secs_f64();
        let seed = self.seed;
        format!("seed {seed}, {at:.3} s: {what}\n{}", lines.join("\n"))
    }
}
