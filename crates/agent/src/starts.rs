//! Start and stop orders in progress, and starts that will never take effect.

use base::prelude::*;
use jobs::TaskRun;
use jobs::report::{RejectKind, Rejected, StartOrder, WorkerStatus};

use crate::concluded::{Concluded, Conclusion};
use crate::provenance::{Conclusions, Proof, Source};

/// Delay before a start or stop without a reply is retried; that of a start doubles with each retry.
const RETRY_AFTER: Duration = Duration::from_millis(60);

/// The maximum delay before a start is retried.
const MAX_START_RETRY: Duration = Duration::from_millis(480);

/// How long an accepted run may be missing from the worker's status, in milliseconds of its clock.
///
/// The worker may reply to a start before its status shows the run.
pub(crate) const MAX_STATUS_LAG_MS: u64 = 1000;

/// The progress of a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// To be sent at this time or later.
    Due(Instant),
    /// Sent; no reply yet.
    Sent,
    /// The worker has or had the run at this time of its clock, in milliseconds; the next status
    /// shows which.
    Accepted(u64),
}

/// A start order whose outcome is not known.
#[derive(Clone, Debug)]
struct OpenStart {
    order: StartOrder,
    source: Source,
    progress: Progress,
    /// When the first call was made.
    sent_at: Option<Instant>,
    /// How often the call was to be retried.
    retries: u32,
    /// Calls without a reply: the worker may still carry them out, also after later calls.
    unanswered: u32,
    /// Set once the run is to be stopped; the reason to report if it proves not to have started.
    stopping: Option<RejectKind>,
}

impl OpenStart {
    /// Returns when the run was started, unless a call without a reply may have started it later.
    fn started_at(&self) -> Option<Instant> {
        self.sent_at.filter(|_| self.unanswered == 0)
    }

    /// Returns when the start is to be sent, if it is.
    fn due(&self) -> Option<Instant> {
        match self.progress {
            Progress::Due(at) if self.stopping.is_none() => Some(at),
            _ => None,
        }
    }
}

/// What becomes of an order to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Ordered {
    /// It is carried out.
    New,
    /// It is in progress or rejected already, as the next report tells.
    InProgress,
    /// It was concluded before and is not carried out; a report will tell the outcome again.
    Repeated,
}

/// The progress of a stop order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stop {
    /// To be sent at this time or later.
    Due(Instant),
    /// Sent; no reply yet.
    Sent,
    /// The worker replied at this time of its clock, in milliseconds.
    Done(u64),
}

/// The start and stop orders in progress, and rejected starts.
#[derive(Debug)]
pub(crate) struct Starts {
    /// The longest time that a stop takes, in milliseconds; until then the worker's status may show
    /// the run neither as running nor as finished.
    stop_ms: u64,
    open: IndexMap<TaskRun, OpenStart>,
    stops: IndexMap<TaskRun, Stop>,
    /// Starts that will never take effect and whose rejection the owner has not recorded.
    rejected: IndexMap<TaskRun, RejectKind>,
    /// Runs that a status has shown, and starts whose rejection the owner has recorded.
    concluded: Concluded,
    /// For the log.
    pub(crate) conclusions: Conclusions,
}

impl Starts {
    pub(crate) fn new(stop_time: Duration) -> Self {
        Self {
            stop_ms: base::whole_ms(stop_time),
            open: IndexMap::new(),
            stops: IndexMap::new(),
            rejected: IndexMap::new(),
            concluded: Concluded::default(),
            conclusions: Conclusions::default(),
        }
    }

    /// Adds an order to start, unless the run is known. The owner waits for an answer to each order, so
    /// one that is concluded is answered again.
    pub(crate) fn order(&mut self, now: Instant, order: StartOrder, source: &Source) -> Ordered {
        let run = &order.run;
        if self.open.contains_key(run)
            || self.rejected.contains_key(run)
            || self.stops.contains_key(run)
        {
            return Ordered::InProgress;
        }
        match self.concluded.get(run) {
            Some(Conclusion::Rejected(why)) => {
                self.rejected.insert(run.clone(), why);
                return Ordered::Repeated;
            }
            Some(Conclusion::Listed) => {
                self.concluded.repeat(run);
                return Ordered::Repeated;
            }
            None => {}
        }
        let open = OpenStart {
            order,
            source: source.clone(),
            progress: Progress::Due(now),
            sent_at: None,
            retries: 0,
            unanswered: 0,
            stopping: None,
        };
        self.open.insert(open.order.run.clone(), open);
        Ordered::New
    }

    /// Adds an order to stop; returns true unless one is in progress.
    pub(crate) fn order_stop(&mut self, now: Instant, run: TaskRun) -> bool {
        if let Some(open) = self.open.get_mut(&run) {
            open.stopping.get_or_insert(RejectKind::Stopped);
        }
        let is_new = !self.stops.contains_key(&run);
        let stop = self.stops.entry(run).or_insert(Stop::Due(now));
        if matches!(stop, Stop::Done(_)) {
            *stop = Stop::Due(now);
        }
        is_new
    }

    /// Rejects the starts that are to be sent.
    ///
    /// One whose earlier call had no reply is stopped instead. Returns true if any was rejected.
    pub(crate) fn reject_unsent(&mut self, now: Instant, why: RejectKind) -> bool {
        let is_unsent = |o: &OpenStart| matches!(o.progress, Progress::Due(_));
        let unsent = self
            .open
            .iter()
            .filter(|(_, o)| is_unsent(o) && o.stopping.is_none());
        let unsent: Vec<TaskRun> = unsent.map(|(run, _)| run.clone()).collect();
        let before = self.rejected.len();
        for run in unsent {
            self.reject(now, &run, why);
            if self.rejected.contains_key(&run) {
                self.conclusions.add(&run, Some(why), Proof::Unsent, 0);
            }
        }
        self.rejected.len() > before
    }

    /// Drops the starts without a reply, because the fencing token has risen.
    ///
    /// Retried under the new token they would take effect, although the owner that raised it does
    /// not expect them. Runs that did start under the old token show in the next status.
    pub(crate) fn drop_unanswered(&mut self) {
        let conclusions = &mut self.conclusions;
        self.open.retain(|run, open| {
            let is_accepted = matches!(open.progress, Progress::Accepted(_));
            if !is_accepted {
                conclusions.add(run, None, Proof::Fenced, open.unanswered);
            }
            is_accepted
        });
    }

    /// Returns the start that has been due for longest, and marks it as sent; with the first call, also
    /// where the order came from.
    pub(crate) fn take_due(&mut self, now: Instant) -> Option<(StartOrder, Option<Source>)> {
        let open = self.open.values_mut();
        let due = open.filter_map(|open| Some((open.due()?, open)));
        let (at, open) = due.min_by_key(|(at, _)| *at)?;
        if at > now {
            return None;
        }
        open.progress = Progress::Sent;
        let source = open.sent_at.is_none().then(|| open.source.clone());
        open.sent_at.get_or_insert(now);
        Some((open.order.clone(), source))
    }

    /// Returns the stop that has been due for longest, and marks it as sent.
    pub(crate) fn take_due_stop(&mut self, now: Instant) -> Option<TaskRun> {
        let due = self.stops.iter_mut().filter_map(|(run, stop)| match stop {
            Stop::Due(at) if *at <= now => Some((*at, run, stop)),
            _ => None,
        });
        let (_, run, stop) = due.min_by_key(|(at, ..)| *at)?;
        *stop = Stop::Sent;
        Some(run.clone())
    }

    /// Returns how many calls to stop a run have no reply yet.
    pub(crate) fn stops_in_progress(&self) -> usize {
        let stops = self.stops.values();
        stops.filter(|stop| matches!(stop, Stop::Sent)).count()
    }

    /// Returns when the next start is to be sent.
    pub(crate) fn next_due(&self) -> Option<Instant> {
        self.open.values().filter_map(OpenStart::due).min()
    }

    /// Returns when the next stop is to be sent.
    pub(crate) fn next_stop_due(&self) -> Option<Instant> {
        let stops = self.stops.values().filter_map(|s| match s {
            Stop::Due(at) => Some(*at),
            _ => None,
        });
        stops.min()
    }

    /// Records that the worker has or had the run; the next status shows which.
    pub(crate) fn accepted(&mut self, run: &TaskRun, clock_ms: u64) {
        if let Some(open) = self.open.get_mut(run) {
            open.progress = Progress::Accepted(clock_ms);
        }
    }

    /// Records a call of unknown outcome.
    pub(crate) fn count_unanswered(&mut self, run: &TaskRun) {
        if let Some(open) = self.open.get_mut(run) {
            open.unanswered += 1;
        }
    }

    /// Returns when an open run was started, unless a call without a reply may have started it later.
    pub(crate) fn started_at(&self, run: &TaskRun) -> Option<Instant> {
        self.open.get(run)?.started_at()
    }

    /// Returns the open runs that the worker may have started, with when it did, if that is known.
    pub(crate) fn maybe_started(&self) -> impl Iterator<Item = (&TaskRun, Option<Instant>)> {
        let is_possible = |open: &OpenStart| {
            open.unanswered > 0 || matches!(open.progress, Progress::Sent | Progress::Accepted(_))
        };
        let open = self.open.iter().filter(move |(_, open)| is_possible(open));
        open.map(|(run, open)| (run, open.started_at()))
    }

    /// Returns how many calls to start the run had no reply.
    pub(crate) fn unanswered(&self, run: &TaskRun) -> u32 {
        self.open.get(run).map_or(0, |open| open.unanswered)
    }

    /// Schedules a retry of a start whose outcome is not known, later each time.
    pub(crate) fn retry(&mut self, now: Instant, run: &TaskRun) {
        if let Some(open) = self.open.get_mut(run) {
            let delay = RETRY_AFTER.saturating_mul(2_u32.saturating_pow(open.retries));
            open.retries = open.retries.saturating_add(1);
            open.progress = Progress::Due(now + delay.min(MAX_START_RETRY));
        }
    }

    /// Handles a call to start that the worker rejected.
    ///
    /// An earlier call without a reply may still take effect, so the run is then stopped: the worker
    /// starts no run that it has stopped.
    pub(crate) fn reject(&mut self, now: Instant, run: &TaskRun, why: RejectKind) {
        let Some(open) = self.open.get_mut(run) else {
            return;
        };
        if open.unanswered > 0 {
            open.stopping = Some(why);
            self.order_stop(now, run.clone());
        } else {
            self.open.shift_remove(run);
            self.rejected.insert(run.clone(), why);
        }
    }

    pub(crate) fn stop_answered(&mut self, now: Instant, run: &TaskRun, clock_ms: Option<u64>) {
        if let Some(stop) = self.stops.get_mut(run) {
            *stop = clock_ms.map_or(Stop::Due(now + RETRY_AFTER), Stop::Done);
        }
    }

    /// Completes starts and stops whose outcome shows in a status made at `clock_ms` of the
    /// worker's clock; the absence of a run from a partial status shows nothing.
    pub(crate) fn reconcile(
        &mut self,
        now: Instant,
        status: &WorkerStatus,
        clock_ms: u64,
        is_partial: bool,
    ) {
        if self.open.is_empty() && self.stops.is_empty() && !self.concluded.awaits_status() {
            return;
        }
        let running: IndexSet<&TaskRun> = status.running.iter().map(|row| &row.run).collect();
        let finished: IndexSet<&TaskRun> = status.finished.iter().map(|row| &row.run).collect();
        let is_running = |run: &TaskRun| running.contains(run);
        let has_finished = |run: &TaskRun| finished.contains(run);
        let mut never_started = Vec::new();
        let stops = &self.stops;
        let is_answered =
            |run: &TaskRun| is_running(run) || has_finished(run) || stops.contains_key(run);
        let ended = self.concluded.take_ended(clock_ms, is_partial, is_answered);
        for run in ended {
            never_started.push((run, RejectKind::Old));
        }
        let listed = Conclusion::Listed;
        let concluded = &mut self.concluded;
        let conclusions = &mut self.conclusions;
        self.open.retain(|run, open| {
            if is_running(run) || has_finished(run) {
                concluded.insert(now, run.clone(), listed);
                return false;
            }
            if let Progress::Accepted(at) = open.progress
                && clock_ms > at.saturating_add(MAX_STATUS_LAG_MS)
                && !is_partial
                && !stops.contains_key(run)
            {
                // The run finished and was acknowledged before this companion saw it.
                never_started.push((run.clone(), RejectKind::Old));
                conclusions.add(
                    run,
                    Some(RejectKind::Old),
                    Proof::Missing(at),
                    open.unanswered,
                );
                return false;
            }
            true
        });
        let open = &mut self.open;
        let stop_ms = self.stop_ms;
        self.stops.retain(|run, stop| {
            let may_be_stopping = match stop {
                Stop::Done(at) => {
                    is_partial || is_running(run) || clock_ms <= at.saturating_add(stop_ms)
                }
                Stop::Due(_) | Stop::Sent => true,
            };
            if may_be_stopping && !has_finished(run) {
                return true;
            }
            let start = open.shift_remove(run);
            if has_finished(run) {
                concluded.insert(now, run.clone(), listed);
                return false;
            }
            let unanswered = start.as_ref().map_or(0, |open| open.unanswered);
            let why = start.and_then(|open| open.stopping);
            let why = why.unwrap_or(RejectKind::Stopped);
            never_started.push((run.clone(), why));
            if let Stop::Done(at) = *stop {
                conclusions.add(run, Some(why), Proof::Stopped(at), unanswered);
            }
            false
        });
        self.rejected.extend(never_started);
        self.concluded.forget_old(now);
    }

    /// Drops rejected starts that the owner has recorded, but remembers their runs.
    pub(crate) fn acknowledge_rejects(&mut self, now: Instant, runs: &[TaskRun]) {
        for run in runs {
            if let Some(why) = self.rejected.shift_remove(run) {
                let conclusion = Conclusion::Rejected(why);
                self.concluded.insert(now, run.clone(), conclusion);
            }
        }
        self.concluded.forget_old(now);
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

    /// Returns true if the outcome of a start or stop depends on the next status.
    pub(crate) fn awaits_status(&self) -> bool {
        self.stops.values().any(|s| matches!(s, Stop::Done(_))) || self.has_unconfirmed()
    }

    /// Returns true if a status made at `clock_ms` of the worker's clock lists every run.
    ///
    /// A run that is being stopped may be in neither list. Stop calls of this process are known until
    /// their outcome shows. Those of an earlier one carry a lower fencing token, so they begin before
    /// the first status, made at `first_status_ms`.
    pub(crate) fn is_settled(&self, first_status_ms: u64, clock_ms: u64) -> bool {
        clock_ms > first_status_ms.saturating_add(self.stop_ms)
            && self.stops.is_empty()
            && !self.has_unconfirmed()
    }

    /// Returns true if the worker accepted a start that no status has shown yet.
    fn has_unconfirmed(&self) -> bool {
        self.open
            .values()
            .any(|o| matches!(o.progress, Progress::Accepted(_)))
    }
}
