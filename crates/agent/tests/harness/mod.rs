//! A companion whose calls the test answers.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use agent::{
    Action, AgentState, Heartbeat, IdentityCall, IdentityDone, IdentityReply, LongPollCall,
    LongPollDone, LongPollReply, StartCall, StartReply, WorkerMessage,
};
use base::prelude::*;
use jobs::owner::OwnerRecord;
use jobs::report::{FinishedRun, RunningRow, StartOrder, SyncReply, SyncReport, WorkerReport};
use jobs::{TaskId, TaskRun};
use slog::{Logger, o};

pub const STOP_TIME: Duration = Duration::from_millis(200);
pub const LEASE_MS: u64 = 4000;
pub const CAPACITY: Resources = Resources::new(16, 1000, 0);

/// A companion and the time, with replies to its calls made by the test.
pub struct Harness {
    pub now: Instant,
    pub state: AgentState,
    pub actions: Vec<Action>,
    pub clock_ms: u64,
    /// The incarnation that answers at the worker's address, if one does.
    pub live: Option<(WorkerId, Incarnation)>,
    /// The fencing token that it has seen.
    pub seen_fence: u64,
}

impl Harness {
    /// Creates an agent that has received a heartbeat and knows the owner.
    pub fn new() -> Self {
        let now = Instant::now();
        let log = Logger::root(slog::Discard, o!());
        let mut harness = Self {
            now,
            state: AgentState::new("vm".into(), 1, STOP_TIME, log),
            actions: Vec::new(),
            clock_ms: 10_000,
            live: None,
            seen_fence: 0,
        };
        harness.send_heartbeat(1, 1);
        harness.see_owner();
        harness.run();
        harness
    }

    /// Creates an agent that has received a fencing token and a lease from the owner.
    pub fn fenced() -> Self {
        let mut harness = Self::new();
        harness.reply_to_report(|reply| reply.fence = 7);
        harness.run();
        harness
    }

    /// Replaces the companion by another process, which knows nothing.
    pub fn restart(&mut self) {
        let log = Logger::root(slog::Discard, o!());
        self.state = AgentState::new("vm".into(), 2, STOP_TIME, log);
        self.see_owner();
        self.actions.clear();
        self.run();
    }

    fn see_owner(&mut self) {
        self.state.owner_seen(&OwnerRecord {
            name: "entry".into(),
            addr: "127.0.0.1:1".parse().expect("an address"),
            epoch: Epoch(1),
            nonce: Nonce(1),
        });
    }

    /// Sends a heartbeat of the incarnation that answers from now on.
    pub fn send_heartbeat(&mut self, incarnation: u64, number: u64) {
        self.live = Some(("worker".into(), Incarnation(incarnation)));
        self.deliver_heartbeat(incarnation, number, CAPACITY, None);
    }

    /// Sends a heartbeat that another writer made, or that arrives late.
    pub fn send_stray_heartbeat(&mut self, heartbeat: Heartbeat) {
        let message = WorkerMessage::Heartbeat(heartbeat);
        self.state.worker_message(self.now, message);
        self.answer_checks();
    }

    /// Sends a heartbeat with another capacity.
    pub fn send_capacity(&mut self, number: u64, capacity: Resources) {
        self.deliver_heartbeat(1, number, capacity, None);
        self.run();
    }

    pub fn send_draining(&mut self, number: u64) {
        self.deliver_heartbeat(1, number, CAPACITY, Some(Duration::from_secs(5)));
        self.run();
    }

    fn deliver_heartbeat(
        &mut self,
        incarnation: u64,
        number: u64,
        capacity: Resources,
        draining: Option<Duration>,
    ) {
        let heartbeat = Heartbeat {
            capacity,
            draining,
            ..self.heartbeat(incarnation, number)
        };
        self.send_stray_heartbeat(heartbeat);
    }

    /// Ends the worker's process, which has said that it leaves.
    pub fn leave(&mut self, incarnation: Option<Incarnation>) {
        self.live = None;
        self.send_leave(incarnation);
    }

    /// Sends a message that the worker leaves.
    pub fn send_leave(&mut self, incarnation: Option<Incarnation>) {
        let leave = WorkerMessage::Leave("worker".into(), incarnation);
        self.state.worker_message(self.now, leave);
        self.answer_checks();
    }

    /// Sends a message that the worker leaves; the first check of it fails.
    pub fn send_leave_with_reply_lost(&mut self, kind: ErrorKind) {
        let leave = WorkerMessage::Leave("worker".into(), None);
        self.state.worker_message(self.now, leave);
        for action in self.state.run(self.now) {
            if let Action::Identify(incarnation, call) = &action {
                let done = IdentityDone {
                    worker: call.worker.clone(),
                    incarnation: *incarnation,
                    reply: Err(Error::new(kind, "identify", "worker", "lost")),
                };
                self.state.identified(self.now, done);
            }
            self.actions.push(action);
        }
    }

    /// Returns a heartbeat of an incarnation of the worker.
    pub fn heartbeat(&self, incarnation: u64, number: u64) -> Heartbeat {
        Heartbeat {
            id: "worker".into(),
            incarnation: Incarnation(incarnation),
            number,
            pool: "desk".into(),
            zone: "north".into(),
            labels: Vec::new(),
            capacity: CAPACITY,
            draining: None,
            clock_ms: Some(self.clock_ms),
        }
    }

    /// Answers the calls that ask the worker for its identity, as the incarnation that is up.
    pub fn answer_checks(&mut self) {
        loop {
            let actions = self.state.run(self.now);
            let checks = actions.iter().filter_map(|action| match action {
                Action::Identify(incarnation, call) => Some((*incarnation, call.clone())),
                _ => None,
            });
            let checks: Vec<_> = checks.collect();
            self.actions.extend(actions);
            if checks.is_empty() {
                return;
            }
            for (incarnation, call) in checks {
                let reply = self.identity_reply(&call);
                let done = IdentityDone {
                    worker: call.worker,
                    incarnation,
                    reply,
                };
                self.state.identified(self.now, done);
            }
        }
    }

    fn identity_reply(&self, call: &IdentityCall) -> Result<IdentityReply> {
        let nobody = || Error::new(ErrorKind::NotListening, "identify", "worker", "refused");
        let (id, incarnation) = self.live.as_ref().ok_or_else(nobody)?;
        if *id != call.worker {
            return Ok(IdentityReply::Other);
        }
        // A rejection for a low fencing token does not say when the worker was born.
        let incarnation = (call.fence >= self.seen_fence).then_some(*incarnation);
        Ok(IdentityReply::Expected {
            incarnation,
            clock_ms: self.clock_ms,
        })
    }

    pub fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.clock_ms += ms;
    }

    pub fn run(&mut self) {
        self.answer_checks();
    }

    pub fn last_sync(&self) -> (u64, SyncReport) {
        let syncs = self.actions.iter().rev().filter_map(|action| match action {
            Action::Sync(number, report) => Some((*number, (**report).clone())),
            _ => None,
        });
        syncs.into_iter().next().expect("a report was sent")
    }

    pub fn last_report(&self) -> WorkerReport {
        self.last_sync().1.worker.expect("the worker is known")
    }

    pub fn reply_to_report(&mut self, change: impl FnOnce(&mut SyncReply)) {
        let (number, _) = self.last_sync();
        self.reply_to(number, change);
    }

    pub fn reply_to(&mut self, number: u64, change: impl FnOnce(&mut SyncReply)) {
        let mut reply = SyncReply {
            epoch: Epoch(1),
            is_owner: true,
            fence: 7,
            incarnation: Incarnation(1),
            lease_ms: Some(LEASE_MS),
            ..SyncReply::default()
        };
        change(&mut reply);
        self.state.synced(self.now, number, Ok(reply));
        self.run();
    }

    /// Replies to all reports so far, each for the incarnation that it names.
    pub fn reply_to_reports(&mut self) {
        let syncs = self.actions.iter().filter_map(|action| match action {
            Action::Sync(number, report) => Some((*number, report.worker.clone())),
            _ => None,
        });
        for (number, worker) in syncs.collect::<Vec<_>>() {
            let incarnation = worker.map(|w| w.incarnation).unwrap_or_default();
            self.reply_to(number, |reply| reply.incarnation = incarnation);
        }
    }

    pub fn order(&mut self, run: &TaskRun) {
        let (number, _) = self.last_sync();
        self.order_in_reply_to(number, run);
    }

    pub fn order_in_reply_to(&mut self, number: u64, run: &TaskRun) {
        let order = StartOrder {
            run: run.clone(),
            payload: "payload".into(),
            checkpoint: None,
            ticket: None,
        };
        self.reply_to(number, |reply| reply.starts = vec![order]);
    }

    pub fn starts(&self) -> Vec<StartCall> {
        let starts = self.actions.iter().filter_map(|action| match action {
            Action::Start(_, call) => Some(call.clone()),
            _ => None,
        });
        starts.collect()
    }

    pub fn long_polls(&self) -> Vec<LongPollCall> {
        let long_polls = self.actions.iter().filter_map(|action| match action {
            Action::LongPoll(_, call) => Some(call.clone()),
            _ => None,
        });
        long_polls.collect()
    }

    /// Completes a long poll with a status of these runs.
    pub fn complete_long_poll(&mut self, running: &[TaskRun], ends: &[FinishedRun]) {
        self.deliver_status(running, ends, false);
    }

    /// Completes a long poll with a status that may lack runs.
    pub fn complete_partially(&mut self, running: &[TaskRun]) {
        self.deliver_status(running, &[], true);
    }

    fn deliver_status(&mut self, running: &[TaskRun], ends: &[FinishedRun], is_partial: bool) {
        let row = |run: &TaskRun| RunningRow {
            run: run.clone(),
            checkpoint: None,
            percent: 0.0,
            gauge: 0.0,
        };
        self.state.long_polled(
            self.now,
            LongPollDone {
                incarnation: Incarnation(1),
                fence: 7,
                is_waiting: true,
                reply: Ok(LongPollReply {
                    clock_ms: self.clock_ms,
                    incarnation: Some(Incarnation(1)),
                    running: running.iter().map(row).collect(),
                    ends: ends.to_vec(),
                    is_partial,
                }),
            },
        );
        self.run();
    }

    pub fn fail_long_poll(&mut self, kind: ErrorKind) {
        let e = Error::new(kind, "hold", "worker", "no answer");
        self.state.long_polled(
            self.now,
            LongPollDone {
                incarnation: Incarnation(1),
                fence: 7,
                is_waiting: true,
                reply: Err(e),
            },
        );
        self.run();
    }

    pub fn started(&mut self, run: &TaskRun, reply: Result<StartReply>) {
        self.state.started(self.now, Incarnation(1), run, reply);
        self.run();
    }

    pub fn stopped(&mut self, run: &TaskRun) {
        self.state
            .stopped(self.now, Incarnation(1), run, Ok(Some(self.clock_ms)));
        self.run();
    }

    pub fn fail_stop(&mut self, run: &TaskRun) {
        self.state
            .stopped(self.now, Incarnation(1), run, Err(no_reply()));
        self.run();
    }

    /// Replies to the last report without orders, and returns the next report.
    pub fn next_report(&mut self) -> WorkerReport {
        self.reply_to_report(|_| ());
        self.last_report()
    }
}

pub fn run_of(index: u32) -> TaskRun {
    TaskRun {
        task: TaskId {
            job: "0123456789abcdef".into(),
            occurrence: 0,
            stage: 0,
            index,
        },
        attempt: Attempt(1),
    }
}

pub fn no_reply() -> Error {
    Error::new(ErrorKind::Timeout, "start", "worker", "no answer")
}
