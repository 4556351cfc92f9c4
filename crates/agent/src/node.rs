//! The companion's actor in a deterministic runtime, whose time is passed in.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use host::KeySeen;
use jobs::owner::OwnerRecord;
use jobs::report::SyncReport;
use slog::{Logger, warn};
use stakker::{ActorOwn, CX, FixedTimerKey, Stakker, actor, call, ret_nop};

use crate::event::Event;
use crate::keeper::{Act, Keeper};
use crate::ports::{HoldCall, PaceCall, StartCall, StopCall};

/// The outside of a companion, as its actor sees it; calls return at once.
pub trait Outside: Send + Sync + fmt::Debug {
    /// Holds the worker; [`Event::Held`] follows.
    fn hold(&self, born: Incarnation, call: HoldCall);
    /// Starts a run; [`Event::Started`] follows.
    fn start(&self, born: Incarnation, call: StartCall);
    /// Stops a run; [`Event::Stopped`] follows.
    fn stop(&self, born: Incarnation, call: StopCall);
    /// Paces a run.
    fn pace(&self, call: PaceCall);
    /// Reports to the owner; [`Event::Synced`] follows.
    fn sync(&self, to: SocketAddr, number: u64, report: SyncReport);
}

struct Agent {
    keeper: Keeper,
    outside: Arc<dyn Outside>,
    log: Logger,
    timer: FixedTimerKey,
}

impl Agent {
    fn init(cx: CX![], keeper: Keeper, outside: Arc<dyn Outside>, log: Logger) -> Option<Self> {
        call!([cx], run());
        Some(Self {
            keeper,
            outside,
            log,
            timer: FixedTimerKey::default(),
        })
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Worker(says) => self.keeper.worker_says(now, says),
            Event::Held(done) => self.keeper.held(now, done),
            Event::Started(born, run, reply) => self.keeper.started(now, born, &run, reply),
            Event::Stopped(born, run, reply) => self.keeper.stopped(now, born, &run, reply),
            Event::Synced(number, reply) => self.keeper.synced(now, number, reply),
            Event::OwnerKey(seen) => self.owner_seen(seen),
        }
        self.run(cx);
    }

    fn owner_seen(&mut self, seen: KeySeen) {
        match seen {
            KeySeen::Is(Some(kv)) => match OwnerRecord::decode(&kv.value) {
                Ok(record) => self.keeper.owner_seen(&record),
                Err(e) => warn!(self.log, "companion: owner key not read"; "error" => %e),
            },
            KeySeen::Is(None) => {}
            KeySeen::Unreached(e) => {
                warn!(self.log, "companion: owner key not reached"; "error" => %e);
            }
        }
    }

    fn run(&mut self, cx: CX![]) {
        let now = cx.now();
        for act in self.keeper.run(now) {
            self.carry_out(act);
        }
        cx.timer_del(self.timer);
        if let Some(due) = self.keeper.next_due(now) {
            // A due time in the past must not spin the loop.
            let due = due.max(now + Duration::from_millis(1));
            self.timer = stakker::at!(due, [cx], run());
        }
    }

    fn carry_out(&self, act: Act) {
        match act {
            Act::Hold(born, call) => self.outside.hold(born, call),
            Act::Start(born, call) => self.outside.start(born, call),
            Act::Stop(born, call) => self.outside.stop(born, call),
            Act::Pace(call) => self.outside.pace(call),
            Act::Sync(number, report) => {
                if let Some(to) = self.keeper.owner_addr() {
                    self.outside.sync(to, number, *report);
                }
            }
        }
    }
}

/// The actor of one companion.
pub struct Node {
    stakker: Stakker,
    agent: ActorOwn<Agent>,
}

impl Node {
    /// Creates the actor.
    pub fn new(keeper: Keeper, outside: Arc<dyn Outside>, log: Logger, now: Instant) -> Self {
        let mut stakker = Stakker::new(now);
        let s = &mut stakker;
        let agent = actor!(s, Agent::init(keeper, outside, log), ret_nop!());
        Self { stakker, agent }
    }
}

impl fmt::Debug for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Node")
    }
}

impl host::Actors for Node {
    type Event = Event;

    fn deliver(&mut self, event: Event) {
        call!([self.agent], event(event));
    }

    fn run(&mut self, now: Instant) {
        self.stakker.run(now, false);
    }

    fn next_due(&mut self) -> Option<Instant> {
        self.stakker.next_expiry()
    }
}
