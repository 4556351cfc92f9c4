//! Crashes of workers.

use base::prelude::*;
use slog::{info, warn};

use super::Owner;
use crate::report::Crash;

impl Owner {
    /// Records the crashes of earlier incarnations of a worker.
    pub(super) fn apply_crashes(&mut self, vm: &Name, crashes: &[Crash]) {
        for crash in crashes {
            self.apply_crash(vm, crash);
        }
        if let Some(worker) = self.workers.get_mut(vm) {
            worker.noted_crashes = crashes.iter().map(|c| c.incarnation).collect();
        }
    }

    fn apply_crash(&mut self, vm: &Name, crash: &Crash) {
        let shortest = crash.runs.iter().min_by_key(|r| r.ran_ms);
        warn!(self.log, "owner: worker crashed";
            "vm" => %vm, "born" => crash.incarnation.0, "runs" => crash.runs.len(),
            "within_lease" => crash.is_within_lease,
            "last_started" => shortest.map(|r| r.run.to_string()));
        self.stats.events.push(("worker", "crashed"));
        for run in &crash.runs {
            info!(self.log, "owner: run on a crashed worker";
                "run" => %run.run, "vm" => %vm, "ran_ms" => run.ran_ms);
        }
    }
}
