//! Owners of one shard on one in-memory store; the test controls the time and injects faults.

#![allow(dead_code, reason = "each test file uses a part of it")]

use base::prelude::*;
use fakes::store::MemStore;
use journal::{Change, Effect, LossReason, Owner, OwnerCfg, Ticket};
use ports::store::{StoreCall, StoreReply};
use tables::Priority;
use wire::JobSpec;

pub const STEP: Duration = Duration::from_millis(50);

/// The outcome of a store call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call takes effect and its reply arrives.
    Answered,
    /// The call takes effect, but its reply is lost.
    ReplyLost,
    /// The call is lost.
    CallLost,
}

/// A store call that has not been made yet.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub id: u64,
    pub call: StoreCall,
}

/// One owner and the effects that it emitted.
#[derive(Debug)]
pub struct Node {
    pub owner: Owner,
    pub waiting: Vec<Waiting>,
    pub committed: Vec<(Ticket, Change)>,
    pub unknown: Vec<Ticket>,
    pub dropped: Vec<Ticket>,
    pub losses: Vec<LossReason>,
    pub activations: usize,
}

/// Several owners on one store.
#[derive(Debug)]
pub struct Harness {
    pub now: Instant,
    pub store: MemStore,
    pub nodes: Vec<Node>,
    pub writes: usize,
}

pub fn cfg(entry: &str) -> OwnerCfg {
    OwnerCfg {
        shard: ShardId(7),
        pool: "proofs".into(),
        entry: entry.into(),
        rpc_addr: ([127, 0, 0, 1], 1).into(),
        lease_ttl: OwnerCfg::LEASE_TTL,
        drift: OwnerCfg::DRIFT,
        commit_window: OwnerCfg::COMMIT_WINDOW,
        retry_after: OwnerCfg::RETRY_AFTER,
        snapshot_bytes: OwnerCfg::SNAPSHOT_BYTES,
    }
}

impl Harness {
    pub fn new(count: usize) -> Self {
        Self::with(count, OwnerCfg::SNAPSHOT_BYTES)
    }

    pub fn with(count: usize, snapshot_bytes: u64) -> Self {
        let now = Instant::now();
        let nodes = (0..count).map(|n| node(now, n, snapshot_bytes)).collect();
        Self {
            now,
            store: MemStore::new(),
            nodes,
            writes: 0,
        }
    }

    /// Ticks one owner and queues its calls.
    pub fn tick(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        node.owner.tick(self.now);
        node.collect();
    }

    /// Makes the queued calls; `outcome` decides the outcome of each from the number of writes
    /// before it and the call itself.
    pub fn serve(&mut self, at: usize, outcome: &mut impl FnMut(usize, &StoreCall) -> CallOutcome) {
        while !self.nodes[at].waiting.is_empty() {
            let waiting = self.nodes[at].waiting.remove(0);
            let is_write = waiting.call.is_write();
            let outcome = outcome(self.writes, &waiting.call);
            self.writes += usize::from(is_write);
            self.make_call(at, &waiting, outcome);
        }
    }

    pub fn make_call(&mut self, at: usize, waiting: &Waiting, outcome: CallOutcome) {
        let reply = match outcome {
            CallOutcome::CallLost => Err(lost()),
            CallOutcome::Answered => self.store.call(self.now, &waiting.call),
            CallOutcome::ReplyLost => self
                .store
                .call(self.now, &waiting.call)
                .and_then(|_| Err(lost())),
        };
        self.reply(at, waiting.id, reply);
    }

    pub fn reply(&mut self, at: usize, id: u64, reply: Result<StoreReply>) {
        let node = &mut self.nodes[at];
        node.owner.reply(self.now, id, reply);
        node.collect();
    }

    /// Runs all owners for `time`.
    pub fn run(
        &mut self,
        time: Duration,
        mut outcome: impl FnMut(usize, &StoreCall) -> CallOutcome,
    ) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            for at in 0..self.nodes.len() {
                self.tick(at);
                self.serve(at, &mut outcome);
            }
        }
    }

    pub fn run_without_faults(&mut self, time: Duration) {
        self.run(time, |_, _| CallOutcome::Answered);
    }

    /// Runs one owner for `time`; the others are paused.
    pub fn run_one(&mut self, at: usize, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.tick(at);
            self.serve(at, &mut |_, _| CallOutcome::Answered);
        }
    }

    pub fn submit(&mut self, at: usize, job: &str) -> Ticket {
        let now = self.now;
        let ticket = self.nodes[at].owner.propose(now, submitted(job));
        self.nodes[at].collect();
        ticket
    }

    pub fn owners(&self) -> Vec<usize> {
        let acts = |at: &usize| self.nodes[*at].owner.may_act(self.now);
        (0..self.nodes.len()).filter(acts).collect()
    }
}

impl Node {
    fn collect(&mut self) {
        for effect in self.owner.take_effects() {
            match effect {
                Effect::Store { id, call, .. } => self.waiting.push(Waiting { id, call }),
                Effect::Activated(_) => self.activations += 1,
                Effect::Committed(ticket, change) => self.committed.push((ticket, change)),
                Effect::Unknown(ticket) => self.unknown.push(ticket),
                Effect::Dropped(ticket) => self.dropped.push(ticket),
                Effect::OwnershipLost(reason) => self.losses.push(reason),
                Effect::OwnedElsewhere(_) | Effect::Stuck(_) => {}
            }
        }
    }

    pub fn has_committed(&self, ticket: Ticket) -> bool {
        self.committed.iter().any(|(t, _)| *t == ticket)
    }

    pub fn has_job(&self, job: &str) -> bool {
        self.owner.state().job(&job.into()).is_some()
    }
}

fn node(now: Instant, number: usize, snapshot_bytes: u64) -> Node {
    let cfg = OwnerCfg {
        snapshot_bytes,
        ..cfg(&format!("entry-{number}"))
    };
    Node {
        owner: Owner::new(cfg, now, number as u64),
        waiting: Vec::new(),
        committed: Vec::new(),
        unknown: Vec::new(),
        dropped: Vec::new(),
        losses: Vec::new(),
        activations: 0,
    }
}

pub fn submitted(job: &str) -> Change {
    let spec = JobSpec {
        key: job.into(),
        route: "proof".into(),
        pool: "proofs".into(),
        team: "press".into(),
        class: "proof".into(),
        priority: Priority::Normal,
        resources: Resources::new(4, 1_024, 0),
        run_time: Some(Duration::from_secs(60)),
        finish_within: None,
        max_failures: 3,
        after: None,
        payload: "manuscript".into(),
    };
    Change::Submitted {
        job: job.into(),
        spec: Box::new(spec),
        at_ms: 0,
    }
}

fn lost() -> Error {
    Error::new(ErrorKind::Timeout, "call", "store", "lost")
}
