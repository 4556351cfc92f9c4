//! The actor that manages the tasks of the worker.

use std::net::SocketAddr;

use base::prelude::*;
use ports::worker::{UsageSample, WorkerCall, WorkerReply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::debug;
use stakker::{CX, after};
use wire::timing::{GRANT_WINDOW, POLL_WAIT};
use wire::{Call, CallResponse, CallToken, Component, DoneReport, Poll, PollOutcome, PollReply};

use super::{TaskTable, TaskTableCfg, TimedCall};
use crate::CompanionCfg;
use crate::ports::Ports;

/// Interval between rounds, each of which lists the worker's tasks and renews their leases.
const LIST_EVERY: Duration = Duration::from_millis(200);

/// Usage samples are read once in this many lists.
const LISTS_PER_USAGE: u64 = 5;

/// Timeout of a report of ended tasks, after which it is repeated.
const DONE_TIMEOUT: Duration = Duration::from_secs(3);

/// The purpose of a call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Poll(Nonce),
    Done,
}

/// Long-polls the owner of the worker's shard and carries out its orders.
pub(crate) struct TaskActor {
    cfg: Arc<CompanionCfg>,
    ports: Ports,
    table: TaskTable,
    rng: StdRng,
    shard: ShardId,
    owner: Option<SocketAddr>,
    samples: Vec<UsageSample>,
    calls: IndexMap<u64, Purpose>,
    next_id: u64,
    rounds: u64,
    /// The call in flight that lists the worker's tasks: its id, and its number from
    /// [`TaskTable::list_issued`].
    pending_list: Option<(u64, u64)>,
    /// Renewal calls in flight.
    renewing: IndexSet<u64>,
    is_leaving: bool,
}

impl TaskActor {
    pub(crate) fn init(cx: CX![], cfg: Arc<CompanionCfg>, ports: Ports, seed: u64) -> Option<Self> {
        let mut this = Self {
            table: TaskTable::new(TaskTableCfg {
                capacity: cfg.capacity,
            }),
            cfg,
            ports,
            rng: StdRng::seed_from_u64(seed),
            shard: ShardId(0),
            owner: None,
            samples: Vec::new(),
            calls: IndexMap::new(),
            next_id: 0,
            rounds: 0,
            pending_list: None,
            renewing: IndexSet::new(),
            is_leaving: false,
        };
        this.round(cx);
        Some(this)
    }

    /// Renews leases, requests the worker's list, reports ended tasks and polls the owner.
    fn round(&mut self, cx: CX![]) {
        if self.renewing.is_empty() {
            self.renew(cx.now());
        }
        if self.pending_list.is_none() {
            self.request_list();
        }
        self.rounds += 1;
        self.report_ends();
        self.poll(cx.now());
        after!(LIST_EVERY, [cx], |this, cx| this.round(cx));
    }

    fn renew(&mut self, now: Instant) {
        for call in self.table.renewals(now) {
            let id = self.call_worker(call);
            self.renewing.insert(id);
        }
    }

    /// Requests the worker's list, and once in [`LISTS_PER_USAGE`] lists its usage samples.
    fn request_list(&mut self) {
        let number = self.table.list_issued();
        let id = self.call_worker(without_deadline(WorkerCall::List));
        self.pending_list = Some((id, number));
        if self.rounds.is_multiple_of(LISTS_PER_USAGE) {
            self.call_worker(without_deadline(WorkerCall::Usage));
        }
    }

    fn call_worker(&mut self, call: TimedCall) -> u64 {
        self.next_id += 1;
        match call.until {
            Some(until) => self
                .ports
                .worker
                .submit_until(self.next_id, call.call, until),
            None => self.ports.worker.submit(self.next_id, call.call),
        }
        self.next_id
    }

    fn call_worker_all(&mut self, calls: Vec<TimedCall>) {
        for call in calls {
            self.call_worker(call);
        }
    }

    pub(crate) fn worker_reply(&mut self, cx: CX![], id: u64, reply: Result<WorkerReply>) {
        self.renewing.swap_remove(&id);
        let pending_list = self.pending_list.take_if(|(of, _)| *of == id);
        match reply {
            Ok(WorkerReply::Tasks { tasks, .. }) => {
                let Some((_, number)) = pending_list else {
                    return;
                };
                self.table.listed(cx.now(), number, &tasks);
                self.report_ends();
                self.poll(cx.now());
            }
            Ok(WorkerReply::Usage(samples)) => self.samples = samples,
            Ok(_) => {}
            Err(e) => debug!(self.ports.log, "tasks: {}", e),
        }
    }

    fn call_owner(&mut self, purpose: Purpose, timeout: Duration, call: Call) {
        let Some(owner) = self.owner else { return };
        self.next_id += 1;
        self.calls.insert(self.next_id, purpose);
        let token = CallToken {
            component: Component::Batch,
            id: self.next_id,
        };
        self.ports.calls.submit(owner, token, timeout, call);
    }

    fn poll(&mut self, now: Instant) {
        if self.owner.is_none() || !self.table.may_poll() {
            return;
        }
        let nonce = Nonce(self.rng.random());
        let poll = Poll {
            worker: self.cfg.worker.clone(),
            incarnation: self.cfg.incarnation,
            shard: self.shard,
            nonce,
            wait: POLL_WAIT,
            capacity: self.cfg.capacity,
            zone: self.cfg.zone.clone(),
            rack: self.cfg.rack.clone(),
            leaving: self.is_leaving,
            running: self.table.running(),
            samples: std::mem::take(&mut self.samples),
        };
        self.table.issue(now, nonce);
        self.call_owner(
            Purpose::Poll(nonce),
            GRANT_WINDOW,
            Call::Poll(Box::new(poll)),
        );
    }

    fn report_ends(&mut self) {
        let ends = self.table.ends();
        let is_reporting = self.calls.values().any(|purpose| *purpose == Purpose::Done);
        if ends.is_empty() || is_reporting {
            return;
        }
        let report = DoneReport {
            worker: self.cfg.worker.clone(),
            shard: self.shard,
            ends,
        };
        self.call_owner(Purpose::Done, DONE_TIMEOUT, Call::Done(report));
    }

    pub(crate) fn answer(&mut self, cx: CX![], id: u64, answer: Result<CallResponse>) {
        let Some(purpose) = self.calls.swap_remove(&id) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Poll(_), Ok(CallResponse::Poll(reply))) => {
                self.poll_answered(cx.now(), &reply)
            }
            (Purpose::Poll(nonce), _) => self.table.abandon(nonce),
            (Purpose::Done, Ok(CallResponse::Done(ack))) => {
                let calls = self.table.acknowledged(cx.now(), &ack.keys);
                self.call_worker_all(calls);
            }
            (Purpose::Done, _) => {}
        }
    }

    fn poll_answered(&mut self, now: Instant, reply: &PollReply) {
        if let PollOutcome::NotOwner { owner } = reply.answer {
            // If this entry does not know the owner either, the next announcement's response names
            // it.
            self.owner = owner;
            self.table.abandon(reply.nonce);
            return;
        }
        let calls = self.table.answered(now, reply);
        self.call_worker_all(calls);
        self.renew(now);
        self.poll(now);
    }

    pub(crate) fn set_shard(&mut self, cx: CX![], shard: ShardId, owner: Option<SocketAddr>) {
        self.shard = shard;
        if owner.is_none() || owner == self.owner {
            return;
        }
        // The poll in flight may wait for an owner that is gone.
        self.table.abandon_all();
        self.owner = owner;
        self.poll(cx.now());
    }

    pub(crate) fn leave(&mut self, _cx: CX![]) {
        self.is_leaving = true;
    }
}

/// Wraps a call that may be made at any time.
fn without_deadline(call: WorkerCall) -> TimedCall {
    TimedCall { call, until: None }
}
