//! A VM: a companion and its worker, between which no call is lost.

use base::prelude::*;
use jobs::owner::OwnerRecord;
use jobs::report::{
    EndKind, FinishedRun, RejectKind, Rejected, RunningRow, StartOrder, SyncReply, SyncReport,
    WorkerReport, WorkerStatus,
};
use jobs::{TaskId, TaskRun};

/// How long after the last report the next one is due, if none is in flight.
const REPORT_EVERY: Duration = Duration::from_millis(250);

/// How many reports may be in flight.
const MAX_IN_FLIGHT: usize = 2;

/// The delay before the next report after one without a use.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// How long a stop takes; meanwhile the run is neither listed as running nor as ended.
const STOP_TIME: Duration = Duration::from_millis(900);

pub const POOL: &str = "desk";

/// What happened to a run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Happening {
    Started(TaskRun),
    Ended(TaskRun, EndKind),
    /// The end of a run that was done is stored, and the lease has not lapsed since.
    Noted(TaskRun, Duration),
}

struct Live {
    run: TaskRun,
    /// When it will be done.
    done_at: Duration,
    since: Duration,
}

struct Ended {
    row: FinishedRun,
    at: Duration,
}

struct Sent {
    at: Duration,
    incarnation: u64,
}

pub struct Vm {
    name: Name,
    cores: u64,
    /// How fast the worker's clock is; a worker measures its lease by it.
    clock_rate: f64,
    pub boot: u64,
    number: u64,
    epoch: Epoch,
    owner: Option<(Name, Epoch)>,
    fence: u64,
    in_flight: IndexMap<u64, Sent>,
    last_report: Duration,
    not_before: Duration,
    has_changes: bool,
    /// When this process of the companion first saw a status of the incarnation.
    first_status: Option<Duration>,
    /// The starts that it has refused and that the owner has not recorded.
    rejected: Vec<TaskRun>,
    pub worker: u64,
    incarnation: u64,
    pub is_draining: bool,
    is_gone: bool,
    /// Whether this process of the companion has heard the worker.
    knows_worker: bool,
    worker_fence: u64,
    lease_until: Duration,
    lapsed_at: Option<Duration>,
    running: Vec<Live>,
    /// The runs that are being stopped, and until when.
    stopping: Vec<(Live, Duration)>,
    finished: Vec<Ended>,
    last_end: u64,
    stored_ends: u64,
    /// The highest attempt of each task that has run here.
    attempts: IndexMap<TaskId, Attempt>,
    pub happenings: Vec<Happening>,
}

impl Vm {
    pub fn new(name: &str, cores: u64, clock_rate: f64) -> Self {
        Self {
            name: name.into(),
            cores,
            clock_rate,
            boot: 1,
            number: 0,
            epoch: Epoch(0),
            owner: None,
            fence: 0,
            in_flight: IndexMap::new(),
            last_report: Duration::ZERO,
            not_before: Duration::ZERO,
            has_changes: false,
            first_status: None,
            rejected: Vec::new(),
            worker: 1,
            incarnation: 1,
            is_draining: false,
            is_gone: false,
            knows_worker: true,
            worker_fence: 0,
            lease_until: Duration::ZERO,
            lapsed_at: None,
            running: Vec::new(),
            stopping: Vec::new(),
            finished: Vec::new(),
            last_end: 0,
            stored_ends: 0,
            attempts: IndexMap::new(),
            happenings: Vec::new(),
        }
    }

    pub fn running(&self) -> impl Iterator<Item = &TaskRun> {
        let stopping = self.stopping.iter().map(|(live, _)| live);
        self.running.iter().chain(stopping).map(|live| &live.run)
    }

    pub fn owner_seen(&mut self, record: &OwnerRecord) {
        if self.owner.as_ref().is_none_or(|(_, e)| *e < record.epoch) {
            self.owner = Some((Arc::clone(&record.name), record.epoch));
            self.in_flight.clear();
            self.not_before = Duration::ZERO;
        }
    }

    /// Begins another process of the companion, which knows nothing.
    pub fn restart_companion(&mut self) {
        self.boot += 1;
        (self.number, self.epoch, self.fence) = (0, Epoch(0), 0);
        self.owner = None;
        self.knows_worker = !self.is_gone;
        self.first_status = None;
        self.rejected.clear();
        self.in_flight.clear();
        self.not_before = Duration::ZERO;
    }

    /// Begins another life of the worker; what ran there has ended.
    pub fn restart_worker(&mut self) {
        self.incarnation += 1;
        (self.is_draining, self.is_gone) = (false, false);
        self.knows_worker = true;
        (self.worker_fence, self.fence) = (0, 0);
        self.lease_until = Duration::ZERO;
        self.first_status = None;
        self.rejected.clear();
        self.running.clear();
        self.stopping.clear();
        self.finished.clear();
        (self.last_end, self.stored_ends) = (0, 0);
        self.attempts.clear();
        self.has_changes = true;
    }

    pub fn is_gone(&self) -> bool {
        self.is_gone
    }

    /// Lets the worker leave for good; what ran there has ended.
    pub fn leave(&mut self) {
        self.is_gone = true;
        self.running.clear();
        self.stopping.clear();
        self.has_changes = true;
    }

    /// Ends the runs that are done, and all when the lease has lapsed.
    pub fn work(&mut self, now: Duration) {
        if self.lease_until <= now {
            self.lapsed_at = Some(now);
            self.end_where(now, EndKind::Lapsed, |_| true);
            for (live, _) in std::mem::take(&mut self.stopping) {
                self.end(now, live.run, EndKind::Lapsed);
            }
        }
        let stopped: Vec<_> = self.stopping.extract_if(.., |(_, at)| *at <= now).collect();
        for (live, _) in stopped {
            self.end(now, live.run, EndKind::Stopped);
        }
        self.end_where(now, EndKind::Done, |live| live.done_at <= now);
    }

    fn end_where(&mut self, now: Duration, how: EndKind, is_over: impl Fn(&Live) -> bool) {
        let over: Vec<Live> = self.running.extract_if(.., |live| is_over(live)).collect();
        for live in over {
            self.end(now, live.run, how);
        }
    }

    fn end(&mut self, now: Duration, run: TaskRun, how: EndKind) {
        self.last_end += 1;
        self.happenings.push(Happening::Ended(run.clone(), how));
        let row = FinishedRun {
            number: self.last_end,
            run,
            how,
            checkpoint: None,
        };
        self.finished.push(Ended { row, at: now });
        self.has_changes = true;
    }

    /// Returns the owner and the report for it if one is due.
    pub fn report(&mut self, now: Duration) -> Option<(Name, SyncReport)> {
        let (owner, _) = self.owner.clone()?;
        let is_idle = self.in_flight.is_empty() && self.last_report + REPORT_EVERY <= now;
        let has_news = self.has_changes && self.in_flight.len() < MAX_IN_FLIGHT;
        if self.not_before > now || !(is_idle || has_news) {
            return None;
        }
        self.number += 1;
        self.last_report = now;
        self.has_changes = false;
        let incarnation = self.incarnation;
        let sent = Sent {
            at: now,
            incarnation,
        };
        self.in_flight.insert(self.number, sent);
        let report = SyncReport {
            vm: Arc::clone(&self.name),
            boot: self.boot,
            number: self.number,
            epoch: self.epoch,
            worker: self.knows_worker.then(|| self.worker_report(now)),
        };
        Some((owner, report))
    }

    fn worker_report(&mut self, now: Duration) -> WorkerReport {
        let percent = |live: &Live| (now - live.since).as_secs_f64().min(99.0);
        let rows = self.running.iter().map(|live| RunningRow {
            run: live.run.clone(),
            checkpoint: None,
            percent: percent(live),
            gauge: 0.0,
        });
        let ends = self.finished.iter().map(|ended| ended.row.clone());
        // A worker does nothing for a fencing token that is lower than the highest it has seen.
        let is_known = self.fence > 0 && self.fence >= self.worker_fence;
        if is_known {
            self.first_status.get_or_insert(now);
        }
        let is_settled =
            self.stopping.is_empty() && self.first_status.is_some_and(|at| now > at + STOP_TIME);
        let status = is_known.then(|| WorkerStatus {
            fence: self.fence,
            clock_ms: base::whole_ms(now.mul_f64(self.clock_rate)),
            is_settled,
            running: rows.collect(),
            finished: ends.collect(),
        });
        let rejected = self.rejected.iter().map(|run| Rejected {
            run: run.clone(),
            why: RejectKind::Draining,
        });
        WorkerReport {
            id: WorkerId::from(format!("{}, worker {}", self.name, self.worker).as_str()),
            incarnation: Incarnation(self.incarnation),
            pool: POOL.into(),
            zone: "north".into(),
            labels: Vec::new(),
            capacity: Resources::new(self.cores, self.cores * 4096, 0),
            draining_ms: self.is_draining.then_some(1000),
            is_gone: self.is_gone,
            is_unresponsive: false,
            is_shedding: false,
            status,
            changes: None,
            open: Vec::new(),
            rejected: rejected.collect(),
            crashes: Vec::new(),
        }
    }

    /// Handles the owner's reply to a report, `None` if there is none; new runs last for `lasts`.
    pub fn replied(
        &mut self,
        now: Duration,
        (boot, number): (u64, u64),
        reply: Option<SyncReply>,
        lasts: impl Fn(&TaskId) -> Duration,
    ) {
        let is_current = boot == self.boot;
        let Some(sent) = self.in_flight.swap_remove(&number).filter(|_| is_current) else {
            return;
        };
        let Some(reply) = reply.filter(|r| r.is_owner && r.epoch >= self.epoch) else {
            self.not_before = now + RETRY_AFTER;
            return;
        };
        self.epoch = reply.epoch;
        let is_for_this =
            sent.incarnation == self.incarnation && reply.incarnation.0 == self.incarnation;
        if !is_for_this || self.is_gone || reply.fence < self.fence {
            return;
        }
        self.has_changes |= reply.fence > self.fence;
        self.fence = reply.fence;
        if self.fence < self.worker_fence {
            return;
        }
        self.worker_fence = self.fence;
        if let Some(lease_ms) = reply.lease_ms {
            let lease = Duration::from_millis(lease_ms).div_f64(self.clock_rate);
            self.lease_until = self.lease_until.max(sent.at + lease);
        }
        self.acknowledge(reply.stored_ends);
        self.rejected
            .retain(|run| !reply.noted_rejects.contains(run));
        for run in &reply.stops {
            let stopped = self.running.extract_if(.., |live| live.run == *run);
            self.stopping
                .extend(stopped.map(|live| (live, now + STOP_TIME)));
        }
        for order in reply.starts {
            self.start(now, order, &lasts);
        }
    }

    fn acknowledge(&mut self, stored_ends: u64) {
        self.stored_ends = self.stored_ends.max(stored_ends);
        let stored = self.stored_ends;
        let lapsed_at = self.lapsed_at;
        for ended in self
            .finished
            .extract_if(.., |ended| ended.row.number <= stored)
        {
            let has_lapsed = lapsed_at.is_some_and(|at| at >= ended.at);
            if ended.row.how == EndKind::Done && !has_lapsed {
                let noted = Happening::Noted(ended.row.run, ended.at);
                self.happenings.push(noted);
            }
        }
    }

    fn start(&mut self, now: Duration, order: StartOrder, lasts: impl Fn(&TaskId) -> Duration) {
        let run = order.run;
        let is_old = self
            .attempts
            .get(&run.task)
            .is_some_and(|a| *a >= run.attempt);
        if is_old || self.lease_until <= now || self.is_gone || self.rejected.contains(&run) {
            return;
        }
        if self.is_draining {
            self.rejected.push(run);
            self.has_changes = true;
            return;
        }
        self.attempts.insert(run.task.clone(), run.attempt);
        self.happenings.push(Happening::Started(run.clone()));
        let done_at = now + lasts(&run.task);
        let since = now;
        self.running.push(Live {
            run,
            done_at,
            since,
        });
        self.has_changes = true;
    }
}
