//! A worker that follows its protocol exactly, and remembers when each run was there.

use agent::{LongPollCall, LongPollReply, StartCall, StartReply, StopCall};
use base::prelude::*;
use jobs::report::{EndKind, FinishedRun, RejectKind, RunningRow};
use jobs::{TaskId, TaskRun};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// The longest time that a stop takes, on the worker's clock.
pub const STOP_MS: u64 = 600;

/// When a run started, and when its end was listed, on the worker's clock.
#[derive(Debug)]
pub struct Presence {
    pub from: u64,
    pub until: Option<u64>,
}

#[derive(Debug)]
pub struct Worker {
    /// Its clock per millisecond of real time, in thousandths.
    rate: u64,
    pub fence: u64,
    deadline_ms: u64,
    running: IndexSet<TaskRun>,
    stopping: IndexMap<TaskRun, u64>,
    ends: Vec<FinishedRun>,
    ends_made: u64,
    /// Until when all lists are partial.
    pub partial_until: u64,
    /// The highest attempt of each task that was stopped or has ended.
    barred: IndexMap<TaskId, Attempt>,
    pub presence: IndexMap<TaskRun, Presence>,
}

impl Worker {
    pub fn new(rate: u64) -> Self {
        Self {
            rate,
            fence: 0,
            deadline_ms: 0,
            running: IndexSet::new(),
            stopping: IndexMap::new(),
            ends: Vec::new(),
            ends_made: 0,
            partial_until: 0,
            barred: IndexMap::new(),
            presence: IndexMap::new(),
        }
    }

    pub fn clock_ms(&self, at: u64) -> u64 {
        50_000 + at * self.rate / 1000
    }

    /// Returns the real time at which the lease ends.
    pub fn lease_ends_at(&self) -> u64 {
        self.deadline_ms.saturating_sub(50_000) * 1000 / self.rate
    }

    /// Lets stops, and the lease, take effect that are due.
    pub fn advance(&mut self, at: u64) {
        let clock_ms = self.clock_ms(at);
        let stopped = self.stopping.iter().filter(|(_, due)| **due <= clock_ms);
        for run in stopped.map(|(run, _)| run.clone()).collect::<Vec<_>>() {
            let due = self.stopping.shift_remove(&run).unwrap_or_default();
            self.end(&run, EndKind::Stopped, due);
        }
        if clock_ms >= self.deadline_ms {
            let lapsed = self.running.iter().chain(self.stopping.keys());
            for run in lapsed.cloned().collect::<Vec<_>>() {
                self.end(&run, EndKind::Lapsed, self.deadline_ms);
            }
        }
    }

    fn end(&mut self, run: &TaskRun, how: EndKind, clock_ms: u64) {
        self.running.shift_remove(run);
        self.stopping.shift_remove(run);
        self.bar(run);
        self.ends_made += 1;
        self.ends.push(FinishedRun {
            number: self.ends_made,
            run: run.clone(),
            how,
            checkpoint: None,
        });
        if let Some(presence) = self.presence.get_mut(run) {
            presence.until = Some(clock_ms);
        }
    }

    fn bar(&mut self, run: &TaskRun) {
        let barred = self.barred.entry(run.task.clone()).or_insert(run.attempt);
        *barred = run.attempt.max(*barred);
    }

    pub fn complete_some(&mut self, at: u64, rng: &mut ChaCha8Rng) {
        let clock_ms = self.clock_ms(at);
        for run in self.running.iter().cloned().collect::<Vec<_>>() {
            if rng.random_ratio(1, 4) {
                self.end(&run, EndKind::Done, clock_ms);
            }
        }
    }

    /// Stops all runs, by calls that a process of the companion has sent before its end.
    pub fn stop_all(&mut self, at: u64, rng: &mut ChaCha8Rng) {
        for run in std::mem::take(&mut self.running) {
            self.bar(&run);
            let due = self.clock_ms(at) + rng.random_range(0..=STOP_MS);
            self.stopping.insert(run, due);
        }
    }

    fn takes(&mut self, fence: u64) -> bool {
        let takes = fence >= self.fence;
        self.fence = self.fence.max(fence);
        takes
    }

    pub fn start(&mut self, at: u64, call: &StartCall, has_room: bool) -> StartReply {
        let clock_ms = self.clock_ms(at);
        let rejected = |why| StartReply::Rejected {
            why,
            clock_ms: Some(clock_ms),
        };
        if !self.takes(call.fence) {
            return rejected(RejectKind::Fence);
        }
        if call.deadline_ms <= clock_ms {
            return rejected(RejectKind::Late);
        }
        self.deadline_ms = self.deadline_ms.max(call.deadline_ms);
        if self.running.contains(&call.run) {
            return StartReply::Started { clock_ms };
        }
        let barred = self.barred.get(&call.run.task);
        if barred.is_some_and(|barred| call.run.attempt <= *barred) {
            return rejected(RejectKind::Old);
        }
        if !has_room {
            return rejected(RejectKind::Room);
        }
        self.running.insert(call.run.clone());
        let presence = Presence {
            from: clock_ms,
            until: None,
        };
        self.presence.insert(call.run.clone(), presence);
        StartReply::Started { clock_ms }
    }

    pub fn stop(&mut self, at: u64, call: &StopCall, rng: &mut ChaCha8Rng) -> Result<Option<u64>> {
        if !self.takes(call.fence) {
            return Err(conflict("stop"));
        }
        let clock_ms = self.clock_ms(at);
        self.bar(&call.run);
        if self.running.shift_remove(&call.run) {
            let due = clock_ms + rng.random_range(0..=STOP_MS);
            self.stopping.insert(call.run.clone(), due);
        }
        Ok(Some(clock_ms))
    }

    /// Renews the lease and lists the runs; a partial list lacks some.
    pub fn hold(
        &mut self,
        at: u64,
        call: &LongPollCall,
        rng: &mut ChaCha8Rng,
    ) -> Result<LongPollReply> {
        if !self.takes(call.fence) {
            return Err(conflict("hold"));
        }
        let deadline_ms = call.deadline_ms.unwrap_or(0);
        self.deadline_ms = self.deadline_ms.max(deadline_ms);
        self.ends.retain(|end| end.number > call.stored_ends);
        let row = |run: &TaskRun| RunningRow {
            run: run.clone(),
            checkpoint: None,
            percent: 0.0,
            gauge: 0.0,
        };
        let is_partial = at < self.partial_until || rng.random_ratio(1, 12);
        let is_listed = |run: &TaskRun| !is_partial || run.task.index.is_multiple_of(2);
        let running = self.running.iter().filter(|run| is_listed(run));
        let running = running.map(row).collect();
        let ends = self
            .ends
            .iter()
            .filter(|end| is_listed(&end.run))
            .cloned()
            .collect();
        Ok(LongPollReply {
            clock_ms: self.clock_ms(at),
            incarnation: Some(Incarnation(1)),
            running,
            ends,
            is_partial,
        })
    }
}

fn conflict(step: &'static str) -> Error {
    Error::new(ErrorKind::Conflict, step, "worker", "fence")
}
