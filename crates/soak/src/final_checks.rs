//! The checks at the end of a run, after the quiet period.

use wire::JobPhase;
use wire::timing::{GRANT_WINDOW, TASK_LEASE};

use crate::audit::Violation;
use crate::simulation::Simulation;
use crate::vm::CAPACITY;

impl Simulation {
    pub(crate) fn check_results(&mut self) {
        let now = self.now();
        for vm in &mut self.vms {
            vm.close(now, &mut self.audit);
        }
        for violation in self.audit.violations() {
            self.record_violation(describe(&violation));
        }
        for job in 0..self.jobs.all.len() {
            self.check_job(job);
        }
        let runs = self.audit.runs() as u64;
        self.operations.insert("runs on workers", runs);
    }

    /// Checks that an accepted job ended and that a cancelled one was not started again.
    fn check_job(&mut self, number: usize) {
        let job = self.jobs.all[number].clone();
        let key = &job.spec.key;
        let Some(id) = &job.id else {
            if !job.is_refused {
                self.record_violation(format!("{key} was never accepted"));
            }
            return;
        };
        let is_standing = job.spec.run_time.is_none();
        match &job.ended {
            Some(JobPhase::Finished) => {
                self.count("jobs finished");
                if self.audit.finished_attempts(id) == 0 {
                    self.record_violation(format!("{key} counts as finished and never was"));
                }
                if self.audit.finished_attempts(id) > 1 {
                    self.count("jobs whose lost end was run again");
                }
            }
            Some(JobPhase::Failed { .. }) => self.count("jobs failed"),
            Some(JobPhase::Cancelled) => self.count("jobs cancelled"),
            _ if !job.spec.resources.fits(&CAPACITY) => self.count("jobs that can never run"),
            _ if is_standing => self.count("standing jobs"),
            _ => {
                let last = &job.last;
                self.record_violation(format!(
                    "{key} ({id}) was accepted and did not end: {last:?}"
                ));
            }
        }
        if let Some(at) = job.cancelled_at {
            let allowed = at + GRANT_WINDOW + TASK_LEASE;
            if self.audit.starts_after(id, allowed) {
                self.record_violation(format!("{key} started after it was cancelled"));
            }
        }
    }
}

fn describe(violation: &Violation) -> String {
    match violation {
        Violation::Overlap { job, first, second } => format!(
            "{job} ran twice at once: attempt {} on {}, attempt {} on {}",
            first.0, first.1, second.0, second.1
        ),
        Violation::AttemptTwice { key } => format!("{key} ran on two workers"),
        Violation::Overcommit { worker, times } => {
            format!("{worker} was given more than it holds {times} times")
        }
    }
}
