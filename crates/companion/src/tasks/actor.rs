//! The actor around the tasks of the worker.

use std::net::SocketAddr;

use base::prelude::*;
use ports::worker::{UsageSample, WorkerCall, WorkerReply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use slog::debug;
use stakker::{CX, after};
use wire::timing::{GRANT_WINDOW, POLL_WAIT};
use wire::{Answer, Call, CallToken, DoneReport, Part, Poll, PollAnswer, PollReply};

use super::{KeeperCfg, TaskKeeper, TimedCall};
use crate::CompanionCfg;
use crate::ports::Ports;

/// How often the worker is asked for its list and its tasks are renewed.
const LIST_EVERY: Duration = Duration::from_millis(200);

/// How often the worker's samples are read, counted in lists.
const LISTS_PER_USAGE: u64 = 5;

/// How long a report of ends may take before it is repeated.
const DONE_TIMEOUT: Duration = Duration::from_secs(3);

/// What an awaited call was for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Purpose {
    Poll(Nonce),
    Done,
}

/// Polls the owner of the worker's shard and carries out its orders.
pub(crate) struct TaskActor {
    cfg: Arc<CompanionCfg>,
    ports: Ports,
    keeper: TaskKeeper,
    rng: StdRng,
    shard: ShardId,
    owner: Option<SocketAddr>,
    samples: Vec<UsageSample>,
    calls: IndexMap<u64, Purpose>,
    next_id: u64,
    rounds: u64,
    /// The list on its way: the call's id, and its number for the keeper.
    listing: Option<(u64, u64)>,
    /// Renewals on their way.
    renewing: IndexSet<u64>,
    is_leaving: bool,
}

impl TaskActor {
    pub(crate) fn init(cx: CX![], cfg: Arc<CompanionCfg>, ports: Ports, seed: u64) -> Option<Self> {
        let mut this = Self {
            keeper: TaskKeeper::new(KeeperCfg {
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
            listing: None,
            renewing: IndexSet::new(),
            is_leaving: false,
        };
        this.round(cx);
        Some(this)
    }

    /// Renews tasks, reads the worker's list, and reports ends.
    fn round(&mut self, cx: CX![]) {
        if self.renewing.is_empty() {
            self.renew(cx.now());
        }
        if self.listing.is_none() {
            self.list();
        }
        self.rounds += 1;
        self.report_ends();
        self.poll(cx.now());
        after!(LIST_EVERY, [cx], |this, cx| this.round(cx));
    }

    fn renew(&mut self, now: Instant) {
        for call in self.keeper.renewals(now) {
            let id = self.call_worker(call);
            self.renewing.insert(id);
        }
    }

    /// Asks for the worker's list, and now and then for its samples.
    fn list(&mut self) {
        let number = self.keeper.list_issued();
        let id = self.call_worker(always(WorkerCall::List));
        self.listing = Some((id, number));
        if self.rounds.is_multiple_of(LISTS_PER_USAGE) {
            self.call_worker(always(WorkerCall::Usage));
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
        let listing = self.listing.take_if(|(of, _)| *of == id);
        match reply {
            Ok(WorkerReply::Tasks { tasks, .. }) => {
                let Some((_, number)) = listing else { return };
                self.keeper.listed(cx.now(), number, &tasks);
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
            part: Part::Batch,
            id: self.next_id,
        };
        self.ports.calls.submit(owner, token, timeout, call);
    }

    fn poll(&mut self, now: Instant) {
        if self.owner.is_none() || !self.keeper.may_poll() {
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
            running: self.keeper.running(),
            samples: std::mem::take(&mut self.samples),
        };
        self.keeper.issue(now, nonce);
        self.call_owner(
            Purpose::Poll(nonce),
            GRANT_WINDOW,
            Call::Poll(Box::new(poll)),
        );
    }

    fn report_ends(&mut self) {
        let ends = self.keeper.ends();
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

    pub(crate) fn answer(&mut self, cx: CX![], id: u64, answer: Result<Answer>) {
        let Some(purpose) = self.calls.swap_remove(&id) else {
            return;
        };
        match (purpose, answer) {
            (Purpose::Poll(_), Ok(Answer::Poll(reply))) => self.poll_answered(cx.now(), &reply),
            (Purpose::Poll(nonce), _) => self.keeper.abandon(nonce),
            (Purpose::Done, Ok(Answer::Done(ack))) => {
                let calls = self.keeper.acknowledged(cx.now(), &ack.keys);
                self.call_worker_all(calls);
            }
            (Purpose::Done, _) => {}
        }
    }

    fn poll_answered(&mut self, now: Instant, reply: &PollReply) {
        if let PollAnswer::NotOwner { owner } = reply.answer {
            // The next announcement's answer tells the owner if this entry does not.
            self.owner = owner;
            self.keeper.abandon(reply.nonce);
            return;
        }
        let calls = self.keeper.answered(now, reply);
        self.call_worker_all(calls);
        self.renew(now);
        self.poll(now);
    }

    pub(crate) fn set_shard(&mut self, cx: CX![], shard: ShardId, owner: Option<SocketAddr>) {
        self.shard = shard;
        if owner.is_none() || owner == self.owner {
            return;
        }
        // The poll on its way may wait for an owner that is gone.
        self.keeper.abandon_all();
        self.owner = owner;
        self.poll(cx.now());
    }

    pub(crate) fn leave(&mut self, _cx: CX![]) {
        self.is_leaving = true;
    }
}

/// Wraps a call that is safe at any time.
fn always(call: WorkerCall) -> TimedCall {
    TimedCall { call, until: None }
}
