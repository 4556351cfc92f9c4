//! The agent's actor in a deterministic runtime; the caller passes in the time.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use host::KeyUpdate;
use jobs::owner::OwnerRecord;
use jobs::report::SyncReport;
use slog::{Logger, warn};
use stakker::{ActorOwn, CX, FixedTimerKey, Stakker, actor, call, ret_nop};

use crate::event::Event;
use crate::ports::{IdentityCall, LongPollCall, StartCall, StopCall, ThrottleCall};
use crate::state::{Action, AgentState};

/// The calls that the agent's actor makes.
///
/// They return at once; their outcome is delivered as an [`Event`].
pub trait OutboundCalls: Send + Sync + fmt::Debug {
    /// Asks the worker whether it is the expected incarnation; [`Event::Identified`] follows.
    fn identify(&self, incarnation: Incarnation, call: IdentityCall);
    /// Makes a long poll to the worker; [`Event::LongPolled`] follows.
    fn long_poll(&self, incarnation: Incarnation, call: LongPollCall);
    /// Starts a run; [`Event::Started`] follows.
    fn start(&self, incarnation: Incarnation, call: StartCall);
    /// Stops a run; [`Event::Stopped`] follows.
    fn stop(&self, incarnation: Incarnation, call: StopCall);
    /// Throttles a run; [`Event::Throttled`] follows.
    fn throttle(&self, call: ThrottleCall);
    /// Reports to the owner; [`Event::Synced`] follows.
    fn sync(&self, to: SocketAddr, number: u64, report: SyncReport);
}

struct Agent {
    state: AgentState,
    calls: Arc<dyn OutboundCalls>,
    log: Logger,
    timer: FixedTimerKey,
}

impl Agent {
    fn init(
        cx: CX![],
        state: AgentState,
        calls: Arc<dyn OutboundCalls>,
        log: Logger,
    ) -> Option<Self> {
        call!([cx], run());
        Some(Self {
            state,
            calls,
            log,
            timer: FixedTimerKey::default(),
        })
    }

    fn event(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Worker(message) => self.state.worker_message(now, message),
            Event::Identified(done) => self.state.identified(now, done),
            Event::LongPolled(done) => self.state.long_polled(now, done),
            Event::Started(incarnation, run, reply) => {
                self.state.started(now, incarnation, &run, reply)
            }
            Event::Stopped(incarnation, run, reply) => {
                self.state.stopped(now, incarnation, &run, reply)
            }
            Event::Throttled => self.state.throttled(),
            Event::Synced(number, reply) => self.state.synced(now, number, reply),
            Event::OwnerKey(seen) => self.owner_seen(seen),
        }
        self.run(cx);
    }

    fn owner_seen(&mut self, seen: KeyUpdate) {
        match seen {
            KeyUpdate::Current(Some(kv)) => match OwnerRecord::decode(&kv.value) {
                Ok(record) => self.state.owner_seen(&record),
                Err(e) => warn!(self.log, "companion: invalid owner key"; "error" => %e),
            },
            KeyUpdate::Current(None) => {}
            KeyUpdate::Unreachable(e) => {
                warn!(self.log, "companion: owner key cannot be read"; "error" => %e);
            }
        }
    }

    fn run(&mut self, cx: CX![]) {
        let now = cx.now();
        for action in self.state.run(now) {
            self.carry_out(action);
        }
        cx.timer_del(self.timer);
        if let Some(due) = self.state.next_due(now) {
            // Wait at least 1 ms, so that a due time in the past cannot cause a busy loop.
            let due = due.max(now + Duration::from_millis(1));
            self.timer = stakker::at!(due, [cx], run());
        }
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Identify(incarnation, call) => self.calls.identify(incarnation, call),
            Action::LongPoll(incarnation, call) => self.calls.long_poll(incarnation, call),
            Action::Start(incarnation, call) => self.calls.start(incarnation, call),
            Action::Stop(incarnation, call) => self.calls.stop(incarnation, call),
            Action::Throttle(call) => self.calls.throttle(call),
            Action::Sync(number, report) => {
                if let Some(to) = self.state.owner_addr() {
                    self.calls.sync(to, number, *report);
                }
            }
        }
    }
}

/// The runtime with the actor of one companion.
pub struct Node {
    stakker: Stakker,
    agent: ActorOwn<Agent>,
}

impl Node {
    /// Creates the actor.
    pub fn new(
        state: AgentState,
        calls: Arc<dyn OutboundCalls>,
        log: Logger,
        now: Instant,
    ) -> Self {
        let mut stakker = Stakker::new(now);
        let s = &mut stakker;
        let agent = actor!(s, Agent::init(state, calls, log), ret_nop!());
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
