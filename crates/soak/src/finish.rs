//! The accounting once the system had time to come to rest.

use wire::JobPhase;
use wire::timing::{GRANT_WINDOW, TASK_LEASE};

use crate::account::Breach;
use crate::vm::CAPACITY;
use crate::world::World;

impl World {
    pub(crate) fn finish(&mut self) {
        let now = self.now();
        for vm in &mut self.vms {
            vm.close(now, &mut self.account);
        }
        for breach in self.account.breaches() {
            self.breach(describe(&breach));
        }
        for job in 0..self.jobs.all.len() {
            self.check_job(job);
        }
        let runs = self.account.runs() as u64;
        self.operations.insert("runs on workers", runs);
    }

    /// Checks that a job that was accepted came to its end, and a cancelled one stayed ended.
    fn check_job(&mut self, number: usize) {
        let job = self.jobs.all[number].clone();
        let key = &job.spec.key;
        let Some(id) = &job.id else {
            if !job.is_refused {
                self.breach(format!("{key} was never accepted"));
            }
            return;
        };
        let is_standing = job.spec.run_time.is_none();
        match &job.ended {
            Some(JobPhase::Finished) => {
                self.count("jobs finished");
                if self.account.finished_attempts(id) == 0 {
                    self.breach(format!("{key} counts as finished and never was"));
                }
                if self.account.finished_attempts(id) > 1 {
                    self.count("jobs whose lost end was run again");
                }
            }
            Some(JobPhase::Failed { .. }) => self.count("jobs failed"),
            Some(JobPhase::Cancelled) => self.count("jobs cancelled"),
            _ if !job.spec.resources.fits(&CAPACITY) => self.count("jobs that can never run"),
            _ if is_standing => self.count("standing jobs"),
            _ => {
                let last = &job.last;
                self.breach(format!(
                    "{key} ({id}) was accepted and did not end: {last:?}"
                ));
            }
        }
        if let Some(at) = job.cancelled_at {
            let allowed = at + GRANT_WINDOW + TASK_LEASE;
            if self.account.starts_after(id, allowed) {
                self.breach(format!("{key} started after it was cancelled"));
            }
        }
    }
}

fn describe(breach: &Breach) -> String {
    match breach {
        Breach::Overlap { job, first, second } => format!(
            "{job} ran twice at once: attempt {} on {}, attempt {} on {}",
            first.0, first.1, second.0, second.1
        ),
        Breach::AttemptTwice { key } => format!("{key} ran on two workers"),
        Breach::Overcommit { worker, times } => {
            format!("{worker} was given more than it holds {times} times")
        }
    }
}
