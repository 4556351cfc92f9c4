//! The companion's calls: they may be lost, shed, or carried out late.

use agent::{Action, Event, IdentityDone, IdentityReply, LongPollDone};
use base::prelude::*;
use jobs::report::SyncReport;
use rand::Rng;

use super::owner::LEASE_MS;
use super::{Play, Step};

/// How long a worker's lease lasts at most, by the owner's reckoning.
const LEASE_BOUND_MS: u64 = LEASE_MS * 102 / 100 + 150;

impl Play {
    /// Sends a call; it may be lost, shed, or carried out late.
    pub(super) fn send(&mut self, action: Action) {
        let boot = self.boot;
        let action = match action {
            Action::Sync(number, report) => {
                self.report(number, report);
                return;
            }
            Action::Throttle(_) => {
                self.add(1, Step::Deliver(boot, Box::new(Event::Throttled)));
                return;
            }
            action => action,
        };
        let wait = match &action {
            Action::LongPoll(_, call) => u64::try_from(call.wait.as_millis()).unwrap_or(0),
            _ => 0,
        };
        let soon = self.rng.random_range(1..30 + wait);
        let late = self.rng.random_range(2_000..12_000);
        let failures = [
            (ErrorKind::Timeout, Some(late)),
            (ErrorKind::Timeout, Some(soon)),
            (ErrorKind::Interrupted, Some(soon)),
            (ErrorKind::Overloaded, None),
            (ErrorKind::NotListening, None),
        ];
        let failure = self.rng.random_range(0..1000) / self.faults.max(1);
        let failure = usize::try_from(failure).ok().filter(|_| self.faults > 0);
        let failure = failure.and_then(|at| failures.get(at).copied());
        let Some((kind, executed)) = failure else {
            self.add(soon, Step::Execute(boot, action, true));
            return;
        };
        let after = if kind == ErrorKind::Timeout {
            400 + wait
        } else {
            soon
        };
        let event = self.outcome(&action, Err(kind));
        self.add(after, Step::Deliver(boot, Box::new(event)));
        if let Some(after) = executed {
            self.add(after, Step::Execute(boot, action, false));
        }
    }

    fn report(&mut self, number: u64, report: Box<SyncReport>) {
        let boot = self.boot;
        let Some(index) = self.followed else {
            return;
        };
        if self.rng.random_ratio(1, 10) {
            let e = Error::new(ErrorKind::Timeout, "sync", "owner", "no answer");
            self.add(
                1200,
                Step::Deliver(boot, Box::new(Event::Synced(number, Err(e)))),
            );
            let after = self.rng.random_range(1..5_000);
            if self.rng.random_ratio(1, 2) {
                self.add(after, Step::Report(boot, index, number, report));
            }
            return;
        }
        let after = self.rng.random_range(1..60);
        self.add(after, Step::Report(boot, index, number, report));
    }

    pub(super) fn execute(&mut self, boot: u64, action: Action, is_answered: bool) {
        let event = self.outcome(&action, Ok(()));
        let bound = self.owners.iter().map(|o| o.lease_from).max().unwrap_or(0) + LEASE_BOUND_MS;
        assert!(
            self.worker.lease_ends_at() <= bound,
            "lease until {} of {bound} by {action:?}",
            self.worker.lease_ends_at()
        );
        if is_answered {
            let after = self.rng.random_range(0..200);
            self.add(after, Step::Deliver(boot, Box::new(event)));
        }
    }

    /// Returns the event that ends a call: with an error, or as the worker carries it out now.
    fn outcome(&mut self, action: &Action, result: Result<(), ErrorKind>) -> Event {
        let error = |kind| Error::new(kind, "call", "worker", "random");
        let at = self.at;
        match action {
            Action::Identify(incarnation, call) => Event::Identified(IdentityDone {
                worker: call.worker.clone(),
                incarnation: *incarnation,
                reply: result.map_err(error).map(|()| IdentityReply::Expected {
                    incarnation: (call.fence >= self.worker.fence).then_some(Incarnation(1)),
                    clock_ms: self.worker.clock_ms(at),
                }),
            }),
            Action::LongPoll(incarnation, call) => {
                let reply = result.map_err(error);
                Event::LongPolled(LongPollDone {
                    incarnation: *incarnation,
                    fence: call.fence,
                    is_waiting: !call.wait.is_zero(),
                    reply: reply.and_then(|()| self.worker.hold(at, call, &mut self.rng)),
                })
            }
            Action::Start(incarnation, call) => {
                let has_room = !self.rng.random_ratio(1, 15);
                let was_there = self.worker.presence.contains_key(&call.run);
                let reply = result.map_err(error);
                let reply = reply.map(|()| self.worker.start(at, call, has_room));
                self.note(|| format!("start of {}: {reply:?}", call.run));
                let has_started = !was_there && self.worker.presence.contains_key(&call.run);
                assert!(
                    !has_started || !self.rejected.contains(&call.run),
                    "{} starts after its rejection",
                    call.run
                );
                Event::Started(*incarnation, call.run.clone(), reply)
            }
            Action::Stop(incarnation, call) => {
                let reply = result.map_err(error);
                let reply = reply.and_then(|()| self.worker.stop(at, call, &mut self.rng));
                self.note(|| format!("stop of {}: {reply:?}", call.run));
                Event::Stopped(*incarnation, call.run.clone(), reply)
            }
            Action::Throttle(_) | Action::Sync(..) => Event::Throttled,
        }
    }
}
