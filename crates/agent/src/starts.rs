//! Starts whose outcome is open, and those that will never take effect.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{Listing, RejectKind, Rejected, StartOrder};

/// How many rejected runs are remembered after the owner has taken note of them.
const MAX_TOMBSTONES: usize = 1024;

/// How long until a start without an answer is made again.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// How long a run that was taken may be missing from the worker's list, in milliseconds of its
/// clock: the answer to a start may overtake the start itself.
const LISTED_WITHIN_MS: u64 = 1000;

/// How far an open start has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// To be sent from this time on.
    Due(Instant),
    /// Sent; no answer yet.
    Sent,
    /// The worker has it, or had it, by its clock in milliseconds; the next listing tells.
    Taken(u64),
}

#[derive(Clone, Debug)]
struct Open {
    order: StartOrder,
    progress: Progress,
    /// Whether the owner wants it stopped.
    is_stopping: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    Due(Instant),
    Sent,
    /// Answered, by the worker's clock in milliseconds.
    Done(u64),
}

/// The starts and stops that a companion has not finished.
#[derive(Debug)]
pub(crate) struct Starts {
    /// How long a stop takes at most, in milliseconds; a run that is being stopped may be listed
    /// neither as running nor as ended.
    stop_ms: u64,
    open: IndexMap<TaskRun, Open>,
    stops: IndexMap<TaskRun, Stop>,
    rejected: IndexMap<TaskRun, RejectKind>,
    tombstones: IndexSet<TaskRun>,
}

impl Starts {
    pub(crate) fn new(stop_time: Duration) -> Self {
        Self {
            stop_ms: base::whole_ms(stop_time),
            open: IndexMap::new(),
            stops: IndexMap::new(),
            rejected: IndexMap::new(),
            tombstones: IndexSet::new(),
        }
    }

    /// Takes an order to start, unless it is known.
    pub(crate) fn order(&mut self, now: Instant, order: StartOrder) {
        let run = &order.run;
        let is_known = self.open.contains_key(run)
            || self.rejected.contains_key(run)
            || self.tombstones.contains(run)
            || self.stops.contains_key(run);
        if !is_known {
            let open = Open {
                order,
                progress: Progress::Due(now),
                is_stopping: false,
            };
            self.open.insert(open.order.run.clone(), open);
        }
    }

    /// Takes an order to stop.
    pub(crate) fn order_stop(&mut self, now: Instant, run: TaskRun) {
        if let Some(open) = self.open.get_mut(&run) {
            open.is_stopping = true;
        }
        let stop = self.stops.entry(run).or_insert(Stop::Due(now));
        if matches!(stop, Stop::Done(_)) {
            *stop = Stop::Due(now);
        }
    }

    /// Rejects all starts that were not sent, as the worker drains.
    pub(crate) fn reject_unsent(&mut self) {
        let unsent: Vec<TaskRun> = self
            .open
            .iter()
            .filter(|(_, o)| matches!(o.progress, Progress::Due(_)))
            .map(|(run, _)| run.clone())
            .collect();
        for run in unsent {
            // One that was sent before may have been carried out without an answer; a stop tells.
            self.order_stop(Instant::now(), run);
        }
    }

    /// Drops the starts that the worker has not answered, as the fence has risen.
    ///
    /// Made again under the new fence they would take effect, though whoever raised it no longer
    /// counts on them. What was carried out under the old fence shows in the next listing.
    pub(crate) fn drop_unanswered(&mut self) {
        self.open
            .retain(|_, open| matches!(open.progress, Progress::Taken(_)));
    }

    /// Returns the starts to send now, and marks them as sent.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<StartOrder> {
        let mut due = Vec::new();
        for open in self.open.values_mut() {
            if open.is_stopping {
                continue;
            }
            if let Progress::Due(at) = open.progress
                && at <= now
            {
                open.progress = Progress::Sent;
                due.push(open.order.clone());
            }
        }
        due
    }

    /// Returns the stops to send now, and marks them as sent.
    pub(crate) fn take_due_stops(&mut self, now: Instant) -> Vec<TaskRun> {
        let mut due = Vec::new();
        for (run, stop) in &mut self.stops {
            if let Stop::Due(at) = stop
                && *at <= now
            {
                *stop = Stop::Sent;
                due.push(run.clone());
            }
        }
        due
    }

    pub(crate) fn next_due(&self) -> Option<Instant> {
        let starts = self.open.values().filter(|o| !o.is_stopping);
        let starts = starts.filter_map(|o| match o.progress {
            Progress::Due(at) => Some(at),
            _ => None,
        });
        let stops = self.stops.values().filter_map(|s| match s {
            Stop::Due(at) => Some(*at),
            _ => None,
        });
        starts.chain(stops).min()
    }

    /// The worker has the run, or had it: the next listing tells.
    pub(crate) fn taken(&mut self, run: &TaskRun, clock_ms: u64) {
        if let Some(open) = self.open.get_mut(run) {
            open.progress = Progress::Taken(clock_ms);
        }
    }

    /// The outcome of a start is not known: it is made again.
    pub(crate) fn unanswered(&mut self, now: Instant, run: &TaskRun) {
        if let Some(open) = self.open.get_mut(run) {
            open.progress = Progress::Due(now + RETRY_AFTER);
        }
    }

    pub(crate) fn reject(&mut self, run: &TaskRun, why: RejectKind) {
        if self.open.shift_remove(run).is_some() {
            self.rejected.insert(run.clone(), why);
        }
    }

    pub(crate) fn stop_answered(&mut self, now: Instant, run: &TaskRun, clock_ms: Option<u64>) {
        if let Some(stop) = self.stops.get_mut(run) {
            *stop = clock_ms.map_or(Stop::Due(now + RETRY_AFTER), Stop::Done);
        }
    }

    /// Settles starts and stops by what a worker listed at `clock_ms` of its clock.
    pub(crate) fn settle(&mut self, listing: &Listing, clock_ms: u64) {
        let is_running = |run: &TaskRun| listing.running.iter().any(|row| row.run == *run);
        let has_ended = |run: &TaskRun| listing.ends.iter().any(|row| row.run == *run);
        let mut never_there = Vec::new();
        self.open.retain(|run, open| {
            if is_running(run) || has_ended(run) {
                return false;
            }
            if let Progress::Taken(at) = open.progress
                && clock_ms > at + LISTED_WITHIN_MS
            {
                // It ended, and its end was acknowledged, before we heard of either.
                never_there.push((run.clone(), RejectKind::Old));
                return false;
            }
            true
        });
        let open = &mut self.open;
        let stop_ms = self.stop_ms;
        self.stops.retain(|run, stop| {
            let Stop::Done(at) = stop else {
                return true;
            };
            if is_running(run) || (!has_ended(run) && clock_ms <= *at + stop_ms) {
                return true;
            }
            open.shift_remove(run);
            if !has_ended(run) {
                never_there.push((run.clone(), RejectKind::Stopped));
            }
            false
        });
        self.rejected.extend(never_there);
    }

    /// Forgets rejects that the owner has taken note of, but for not starting them again.
    pub(crate) fn noted(&mut self, runs: &[TaskRun]) {
        for run in runs {
            if self.rejected.shift_remove(run).is_some() {
                self.tombstones.insert(run.clone());
            }
        }
        while self.tombstones.len() > MAX_TOMBSTONES {
            self.tombstones.shift_remove_index(0);
        }
    }

    pub(crate) fn open_runs(&self) -> Vec<TaskRun> {
        self.open.keys().cloned().collect()
    }

    pub(crate) fn rejected(&self) -> Vec<Rejected> {
        let rows = self.rejected.iter().map(|(run, why)| Rejected {
            run: run.clone(),
            why: *why,
        });
        rows.collect()
    }

    /// Tells whether some start or stop waits for a listing that shows it.
    pub(crate) fn awaits_listing(&self) -> bool {
        self.stops.values().any(|s| matches!(s, Stop::Done(_))) || self.has_unlisted()
    }

    /// Tells whether the worker took a start that no listing has shown yet.
    pub(crate) fn has_unlisted(&self) -> bool {
        self.open
            .values()
            .any(|o| matches!(o.progress, Progress::Taken(_)))
    }
}
