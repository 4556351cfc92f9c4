//! Decides where a request is sent and what follows the end of each attempt.

use base::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tables::Tables;
use wire::{Announcement, ClaimReply, RevokeReply};

use crate::active::Active;
use crate::budget::RetryBudget;
use crate::fleet::{Evidence, Fleet};
use crate::limits::Limits;
use crate::step::{AttemptEnd, NextAction, RequestMeta, RequestStep, SendStep};

/// How many targets a request is sent to at most.
const MAX_ATTEMPTS: u32 = 4;

/// How many targets may lose a request: it may be what ends them.
const MAX_LOSSES: u32 = 2;

/// How many times an attempt without a response is repeated at the same target.
const MAX_RESENDS: u32 = 2;

/// The minimum timeout of an attempt.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(20);

/// The timeout of an attempt is the time left until the deadline divided by this.
const ATTEMPT_TIMEOUT_DIVISOR: u32 = 3;

/// The timeout of a revocation at a companion.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout of a claim at the owner of a shard.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// The retry time given to a caller when there is no target or its key cannot be claimed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long a request is kept after its deadline, since its serving thread may still report.
const KEEP_AFTER_DEADLINE: Duration = Duration::from_secs(30);

/// Decides on all requests of one entry.
pub struct Router {
    rng: StdRng,
    tables: Arc<Tables>,
    fleet: Fleet,
    budgets: IndexMap<RouteName, RetryBudget>,
    active: IndexMap<RequestId, Active>,
    limits: Limits,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(me: EntryId, zone: ZoneName, seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            tables: Arc::default(),
            fleet: Fleet::new(zone),
            budgets: IndexMap::new(),
            active: IndexMap::new(),
            limits: Limits::new(me),
        }
    }

    /// Applies new tables.
    pub fn set_tables(&mut self, tables: Arc<Tables>) {
        self.budgets
            .retain(|route, _| tables.routes.contains_key(route));
        self.limits
            .keep_routes(|route| tables.routes.contains_key(route));
        self.tables = tables;
    }

    /// Records a target's announcement.
    pub fn target_announced(&mut self, announcement: Announcement) {
        self.fleet.announced(announcement);
    }

    /// Marks an incarnation of a target as leaving: it gets no new requests.
    pub fn target_leaving(&mut self, target: &TargetId, incarnation: Incarnation) {
        self.fleet.leaving(target, incarnation);
    }

    /// Forgets a target that is unresponsive.
    pub fn target_gone(&mut self, target: &TargetId) {
        self.fleet.gone(target);
    }

    /// Returns how many requests are in progress.
    pub fn in_progress(&self) -> usize {
        self.active.len()
    }

    /// Forgets requests whose deadline passed at least `KEEP_AFTER_DEADLINE` ago and updates the
    /// smoothed demand; called once per second.
    pub fn sweep(&mut self, now: Instant) {
        let is_over = |_: &RequestId, a: &mut Active| now >= a.meta.deadline + KEEP_AFTER_DEADLINE;
        for (_, active) in self.active.extract_if(.., is_over) {
            self.limits.end(&active.route.name);
        }
        self.limits.tick(now);
    }

    /// Returns this entry's demand by route, for its peers.
    pub fn demand(&self) -> Vec<(Name, f64)> {
        self.limits.demand()
    }

    /// Records the demand reported by another entry.
    pub fn peer_demand(&mut self, now: Instant, entry: EntryId, demand: Vec<(Name, f64)>) {
        self.limits.peer_demand(now, entry, demand);
    }

    /// Forgets an entry that is stopping.
    pub fn peer_gone(&mut self, entry: &EntryId) {
        self.limits.peer_gone(entry);
    }

    /// Admits a request, or refuses it.
    pub fn admit(&mut self, now: Instant, meta: RequestMeta) -> NextAction {
        let Some(route) = self.tables.routes.get(&meta.route).map(Arc::clone) else {
            return refuse("no-route", None);
        };
        if now + MIN_ATTEMPT_TIMEOUT > meta.deadline {
            return refuse("expired", None);
        }
        let Some(pool) = self.tables.pools.get(&route.pool) else {
            return refuse("no-pool", None);
        };
        let may_probe = route.idempotent;
        let destination = self.fleet.choose(now, &mut self.rng, pool, &[], may_probe);
        let Some(destination) = destination else {
            return refuse("no-target", Some(RETRY_AFTER));
        };
        if let Err(limited) = self.limits.begin(now, &route) {
            return refuse(limited.reason, Some(limited.retry_after));
        }
        self.budgets
            .entry(route.name.clone())
            .or_insert_with(RetryBudget::new)
            .first_attempt(route.retry_budget);
        let name = route.name.clone();
        let active = Active::new(meta, route, destination);
        let next = self.dispatch(now, active);
        self.count_end(&name, &next);
        next
    }

    /// Decides what follows the end of an attempt.
    pub fn ended(&mut self, now: Instant, id: &RequestId, end: &AttemptEnd) -> NextAction {
        self.step(id, |this, active| this.after_attempt(now, active, end))
    }

    /// Applies a decision to a request, and records its end if the decision ends it.
    fn step(
        &mut self,
        id: &RequestId,
        decide: impl FnOnce(&mut Self, Active) -> NextAction,
    ) -> NextAction {
        let Some(active) = self.active.swap_remove(id) else {
            return unknown("forgotten");
        };
        let route = active.route.name.clone();
        let next = decide(self, active);
        self.count_end(&route, &next);
        next
    }

    /// Records the end of a request with its limits if `next` ends it.
    fn count_end(&mut self, route: &RouteName, next: &NextAction) {
        let goes_on = match next {
            NextAction::Step(step) => matches!(step, RequestStep::Send(_)),
            NextAction::Revoke { .. } | NextAction::Claim { .. } => true,
        };
        if !goes_on {
            self.limits.end(route);
        }
    }

    fn after_attempt(&mut self, now: Instant, mut active: Active, end: &AttemptEnd) -> NextAction {
        active.is_in_flight = false;
        self.fleet.ended(now, &active.destination, evidence_of(end));
        match end {
            AttemptEnd::Answered { .. } => NextAction::Step(RequestStep::Answer),
            AttemptEnd::NotRun { reason } => self.handle_not_run(now, active, reason),
            // Another request with the same key may have reached the target meanwhile.
            AttemptEnd::NotSent if active.may_have_arrived || active.is_keyed() => {
                self.handle_unresponsive(now, active)
            }
            AttemptEnd::NotSent => self.retry_elsewhere(now, active, "target-unreachable", true),
            AttemptEnd::Lost { .. } => self.handle_lost(now, active),
            AttemptEnd::NoResponse | AttemptEnd::Truncated => {
                active.may_have_arrived = true;
                self.resend(now, active)
            }
        }
    }

    /// Handles a companion's proof that the request has not run there and will not.
    fn handle_not_run(&mut self, now: Instant, mut active: Active, reason: &str) -> NextAction {
        active.may_have_arrived = false;
        let (reason, is_uncharged) = match reason {
            "leaving" => {
                let destination = &active.destination;
                self.fleet
                    .leaving(&destination.target, destination.incarnation);
                ("target-leaving", true)
            }
            "other-incarnation" => ("target-restarted", true),
            "expired" => ("expired", false),
            "no-slot" => ("no-slot", false),
            "revoked" => ("revoked", false),
            _ => ("target-refused", false),
        };
        self.retry_elsewhere(now, active, reason, is_uncharged)
    }

    /// Handles a companion's report that the request may have run and that no response will come.
    fn handle_lost(&mut self, now: Instant, mut active: Active) -> NextAction {
        active.may_have_arrived = true;
        active.losses += 1;
        if active.route.idempotent && active.losses < MAX_LOSSES {
            return self.retry_elsewhere(now, active, "lost", false);
        }
        unknown("lost")
    }

    /// Sends the same request to the same incarnation of the target again.
    fn resend(&mut self, now: Instant, mut active: Active) -> NextAction {
        let is_in_time = now + MIN_ATTEMPT_TIMEOUT < active.meta.deadline;
        if is_in_time && active.resends < MAX_RESENDS {
            active.resends += 1;
            return self.send(now, active);
        }
        self.handle_unresponsive(now, active)
    }

    /// Handles an unresponsive target that a copy may have reached.
    fn handle_unresponsive(&mut self, now: Instant, active: Active) -> NextAction {
        if active.route.idempotent {
            return self.retry_elsewhere(now, active, "silent", false);
        }
        let is_in_time = now + MIN_ATTEMPT_TIMEOUT < active.meta.deadline;
        let to = active
            .destination
            .rpc_addr
            .or_else(|| self.fleet.rpc_addr(&active.destination.target));
        let Some(to) = to.filter(|_| is_in_time && !active.is_confirmed) else {
            return unknown("silent");
        };
        let next = NextAction::Revoke {
            to,
            id: active.sent_as.clone(),
            incarnation: active.destination.incarnation,
            uptime: active.destination.uptime,
            timeout: active.time_left(now).min(REVOKE_TIMEOUT),
        };
        self.active.insert(active.meta.id.clone(), active);
        next
    }

    /// Decides what follows the reply to a revocation.
    pub fn revoked(
        &mut self,
        now: Instant,
        id: &RequestId,
        reply: &Result<RevokeReply>,
    ) -> NextAction {
        self.step(id, |this, active| this.after_revoke(now, active, reply))
    }

    fn after_revoke(
        &mut self,
        now: Instant,
        mut active: Active,
        reply: &Result<RevokeReply>,
    ) -> NextAction {
        match reply {
            Ok(RevokeReply::NeverStarted) => {
                active.may_have_arrived = false;
                self.retry_elsewhere(now, active, "revoked", false)
            }
            Ok(RevokeReply::Running | RevokeReply::Done) => {
                // The request runs there: wait for its response as long as the caller does.
                active.is_confirmed = true;
                active.resends += 1;
                self.send(now, active)
            }
            Ok(RevokeReply::WrongIncarnation) => unknown("target-restarted"),
            Ok(RevokeReply::Forgotten) | Err(_) => unknown("silent"),
        }
    }

    /// Moves a request to another target.
    ///
    /// If `is_uncharged` is set, the failed attempt put no load on a target, so the move is not
    /// charged to the retry budget.
    fn retry_elsewhere(
        &mut self,
        now: Instant,
        mut active: Active,
        reason: &'static str,
        is_uncharged: bool,
    ) -> NextAction {
        let proved_not_run = !active.may_have_arrived && !active.may_have_run;
        let once = active.route.idempotent || proved_not_run;
        if !Promise::AtMostOnce.check(once, || format!("{} would move", active.meta.id)) {
            return unknown("internal");
        }
        let is_in_time = now + MIN_ATTEMPT_TIMEOUT < active.meta.deadline;
        if !is_in_time || active.attempt >= MAX_ATTEMPTS {
            return end_request(&active, if is_in_time { reason } else { "expired" });
        }
        let Some(pool) = self.tables.pools.get(&active.route.pool) else {
            return end_request(&active, "no-pool");
        };
        let mut except = active.tried.clone();
        except.push(active.destination.target.clone());
        let next = self.fleet.choose(now, &mut self.rng, pool, &except, false);
        let Some(destination) = next else {
            return end_request(&active, reason);
        };
        let budget = self
            .budgets
            .entry(active.route.name.clone())
            .or_insert_with(RetryBudget::new);
        if !is_uncharged && !budget.take() {
            return end_request(&active, "retry-budget");
        }
        active.move_to(destination);
        self.dispatch(now, active)
    }

    /// Sends a request to a target for the first time, after claiming its key.
    fn dispatch(&mut self, now: Instant, active: Active) -> NextAction {
        if !active.is_keyed() {
            return self.send(now, active);
        }
        match active.claim_call(active.time_left(now).min(CLAIM_TIMEOUT)) {
            Some(next) => {
                self.active.insert(active.meta.id.clone(), active);
                next
            }
            None => refuse("internal", None),
        }
    }

    /// Decides what follows the reply to a claim.
    ///
    /// Nothing was sent under a claim that was not granted, so the request is refused as not run.
    pub fn claimed(
        &mut self,
        now: Instant,
        id: &RequestId,
        reply: Result<ClaimReply>,
    ) -> NextAction {
        self.step(id, |this, active| this.after_claim(now, active, reply))
    }

    fn after_claim(
        &mut self,
        now: Instant,
        mut active: Active,
        reply: Result<ClaimReply>,
    ) -> NextAction {
        if now + MIN_ATTEMPT_TIMEOUT > active.meta.deadline {
            return end_request(&active, "expired");
        }
        match reply {
            Ok(ClaimReply::Granted) => {
                if let Some(NextAction::Claim { claim, .. }) = active.claim_call(Duration::ZERO) {
                    active.claim = Some(claim);
                }
                self.send(now, active)
            }
            Ok(ClaimReply::Held(held)) => {
                active.join(held);
                active.resends += 1;
                self.send(now, active)
            }
            Ok(ClaimReply::NotOwner) => end_request(&active, "no-owner"),
            // Another request with this key is being dispatched and may run.
            Ok(ClaimReply::Refused { .. }) => unknown("key-in-progress"),
            Ok(ClaimReply::Unknown) | Err(_) => end_request(&active, "key-not-claimed"),
        }
    }

    fn send(&mut self, now: Instant, mut active: Active) -> NextAction {
        let left = active.time_left(now);
        let timeout = if active.is_confirmed {
            left
        } else {
            (left / ATTEMPT_TIMEOUT_DIVISOR).max(MIN_ATTEMPT_TIMEOUT)
        };
        self.fleet.started(&active.destination);
        active.is_in_flight = true;
        let step = SendStep {
            id: active.sent_as.clone(),
            addr: active.destination.http_addr,
            target: active.destination.target.clone(),
            incarnation: active.destination.incarnation,
            uptime: active.destination.uptime,
            attempt: active.attempt,
            is_repeat: active.resends > 0 || active.is_keyed(),
            timeout,
        };
        self.active.insert(active.meta.id.clone(), active);
        NextAction::Step(RequestStep::Send(step))
    }
}

/// Returns the end of an attempt as evidence about its target's health.
fn evidence_of(end: &AttemptEnd) -> Evidence {
    match end {
        AttemptEnd::Answered { took, load, .. } => Evidence::Responded(*took, *load),
        AttemptEnd::NotRun { .. } => Evidence::Refused,
        AttemptEnd::Lost { .. } | AttemptEnd::NotSent => Evidence::Failed,
        AttemptEnd::NoResponse | AttemptEnd::Truncated => Evidence::Failed,
    }
}

/// Ends a request without another attempt: as refused if it is proved not to have run, else as
/// unknown.
fn end_request(active: &Active, reason: &'static str) -> NextAction {
    if active.may_have_arrived || active.may_have_run {
        return unknown(reason);
    }
    Promise::RefusedNotRun.check(!active.is_in_flight, || {
        format!("{} is on its way", active.meta.id)
    });
    refuse(reason, Some(RETRY_AFTER))
}

fn refuse(reason: &'static str, retry_after: Option<Duration>) -> NextAction {
    NextAction::Step(RequestStep::Refuse {
        reason,
        retry_after,
    })
}

fn unknown(reason: &'static str) -> NextAction {
    NextAction::Step(RequestStep::Unknown { reason })
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router")
            .field("targets", &self.fleet.len())
            .finish_non_exhaustive()
    }
}
