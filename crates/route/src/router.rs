//! Decides where a request goes, and what becomes of it when an attempt ends.

use base::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tables::{Route, Tables};
use wire::{Announcement, TargetState};

use crate::step::{AttemptEnd, RequestMeta, RequestStep};

/// How many attempts a request gets at most.
const MAX_ATTEMPTS: u32 = 4;

/// How often a silent attempt is repeated at the same target.
const MAX_RESENDS: u32 = 2;

/// The shortest time that an attempt is given.
const MIN_ATTEMPT: Duration = Duration::from_millis(20);

/// When a caller that found no target may try again.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// A target as this entry sees it.
struct Target {
    announcement: Announcement,
    /// Attempts of this entry in progress there.
    in_flight: u32,
    /// Smoothed latency in seconds.
    latency: f64,
}

/// A request in progress.
struct Active {
    meta: RequestMeta,
    route: Arc<Route>,
    target: TargetId,
    attempt: u32,
    resends: u32,
    /// Whether an attempt may have run without its answer having arrived.
    may_have_run: bool,
}

/// The decisions on all requests of one entry.
pub struct Router {
    zone: ZoneName,
    rng: StdRng,
    tables: Arc<Tables>,
    targets: IndexMap<TargetId, Target>,
    active: IndexMap<RequestId, Active>,
}

impl Router {
    /// Creates a router without targets.
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            rng: StdRng::seed_from_u64(seed),
            tables: Arc::default(),
            targets: IndexMap::new(),
            active: IndexMap::new(),
        }
    }

    /// Puts tables in force.
    pub fn set_tables(&mut self, tables: Arc<Tables>) {
        self.tables = tables;
    }

    /// Takes a target's announcement.
    pub fn target(&mut self, announcement: Announcement) {
        match self.targets.get_mut(&announcement.target) {
            Some(target) => target.announcement = announcement,
            None => {
                let name = announcement.target.clone();
                self.targets.insert(
                    name,
                    Target {
                        announcement,
                        in_flight: 0,
                        latency: 0.01,
                    },
                );
            }
        }
    }

    /// Forgets a target that fell silent.
    pub fn target_gone(&mut self, target: &TargetId) {
        self.targets.swap_remove(target);
    }

    /// Forgets requests whose serving thread is gone.
    pub fn sweep(&mut self, now: Instant) {
        const GRACE: Duration = Duration::from_secs(30);
        self.active
            .retain(|_, active| now < active.meta.deadline + GRACE);
    }

    /// Admits a request or refuses it.
    pub fn admit(&mut self, now: Instant, meta: RequestMeta) -> RequestStep {
        let Some(route) = self.tables.routes.get(&meta.route).map(Arc::clone) else {
            return RequestStep::Refuse {
                reason: "no-route",
                retry_after: None,
            };
        };
        if now + MIN_ATTEMPT > meta.deadline {
            return RequestStep::Refuse {
                reason: "expired",
                retry_after: None,
            };
        }
        let Some(target) = self.choose(&route, None) else {
            return RequestStep::Refuse {
                reason: "no-target",
                retry_after: Some(NO_TARGET_RETRY),
            };
        };
        let id = meta.id.clone();
        let active = Active {
            meta,
            route,
            target,
            attempt: 1,
            resends: 0,
            may_have_run: false,
        };
        self.active.insert(id.clone(), active);
        self.send(now, &id, false)
    }

    /// Decides what follows the end of an attempt.
    pub fn ended(&mut self, now: Instant, id: &RequestId, end: &AttemptEnd) -> RequestStep {
        let Some(active) = self.active.get_mut(id) else {
            return RequestStep::Unknown {
                reason: "forgotten",
            };
        };
        let was_sent = !matches!(end, AttemptEnd::NotRun { .. } | AttemptEnd::NotSent);
        active.may_have_run |= was_sent;
        if let Some(target) = self.targets.get_mut(&active.target) {
            target.in_flight = target.in_flight.saturating_sub(1);
            if let AttemptEnd::Answered { took, .. } = end {
                target.latency = target.latency * 0.8 + took.as_secs_f64() * 0.2;
            }
        }
        let idempotent = active.route.idempotent;
        match end {
            AttemptEnd::Answered { .. } => {
                self.active.swap_remove(id);
                RequestStep::Answer
            }
            AttemptEnd::NotRun { .. } | AttemptEnd::NotSent => self.move_on(now, id),
            AttemptEnd::Lost { .. } if idempotent => self.move_on(now, id),
            AttemptEnd::Lost { .. } => self.give_up(id, "lost"),
            AttemptEnd::Silent | AttemptEnd::Short => self.resend(now, id),
        }
    }

    /// Sends the same request to the same target again, over a new connection.
    fn resend(&mut self, now: Instant, id: &RequestId) -> RequestStep {
        let Some(active) = self.active.get_mut(id) else {
            return RequestStep::Unknown {
                reason: "forgotten",
            };
        };
        let may_resend = active.resends < MAX_RESENDS && now + MIN_ATTEMPT < active.meta.deadline;
        if may_resend {
            active.resends += 1;
            return self.send(now, id, true);
        }
        if active.route.idempotent {
            return self.move_on(now, id);
        }
        self.give_up(id, "silent")
    }

    /// Moves a request to another target.
    fn move_on(&mut self, now: Instant, id: &RequestId) -> RequestStep {
        let Some(active) = self.active.get(id) else {
            return RequestStep::Unknown {
                reason: "forgotten",
            };
        };
        let route = Arc::clone(&active.route);
        let left = active.target.clone();
        let in_time = now + MIN_ATTEMPT < active.meta.deadline;
        let next = self.choose(&route, Some(&left));
        let Some(active) = self.active.get_mut(id) else {
            return RequestStep::Unknown {
                reason: "forgotten",
            };
        };
        match next {
            Some(target) if in_time && active.attempt < MAX_ATTEMPTS => {
                active.target = target;
                active.attempt += 1;
                active.resends = 0;
                self.send(now, id, false)
            }
            _ if !active.may_have_run => {
                self.active.swap_remove(id);
                RequestStep::Refuse {
                    reason: "no-target",
                    retry_after: Some(NO_TARGET_RETRY),
                }
            }
            _ => self.give_up(id, "attempts-spent"),
        }
    }

    fn give_up(&mut self, id: &RequestId, reason: &'static str) -> RequestStep {
        self.active.swap_remove(id);
        RequestStep::Unknown { reason }
    }

    fn send(&mut self, now: Instant, id: &RequestId, fresh: bool) -> RequestStep {
        let Some(active) = self.active.get(id) else {
            return RequestStep::Unknown {
                reason: "forgotten",
            };
        };
        let Some(target) = self.targets.get_mut(&active.target) else {
            return self.give_up(id, "target-gone");
        };
        target.in_flight += 1;
        let left = active.meta.deadline.saturating_duration_since(now);
        RequestStep::Send {
            addr: target.announcement.http_addr,
            target: active.target.clone(),
            incarnation: target.announcement.incarnation,
            attempt: active.attempt,
            timeout: (left / 3).max(MIN_ATTEMPT),
            fresh,
        }
    }

    /// Draws two candidates and returns the one that promises the shorter wait.
    fn choose(&mut self, route: &Route, except: Option<&TargetId>) -> Option<TargetId> {
        let pool = self.tables.pools.get(&route.pool)?;
        let candidates: Vec<&Target> = self
            .targets
            .values()
            .filter(|target| {
                let a = &target.announcement;
                a.state == TargetState::Serving
                    && Some(&a.target) != except
                    && pool.has_worker(&a.worker, &a.zone)
            })
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.rng.random_range(0..candidates.len())];
        let second = candidates[self.rng.random_range(0..candidates.len())];
        let best = if self.cost(second) < self.cost(first) {
            second
        } else {
            first
        };
        Some(best.announcement.target.clone())
    }

    fn cost(&self, target: &Target) -> f64 {
        const OTHER_ZONE_PENALTY: f64 = 1.5;
        let load = f64::from(target.in_flight.max(target.announcement.in_flight) + 1);
        let zone = if target.announcement.zone == self.zone {
            1.0
        } else {
            OTHER_ZONE_PENALTY
        };
        load * target.latency * zone
    }
}

impl std::fmt::Debug for Router {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Router")
            .field("targets", &self.targets.len())
            .finish_non_exhaustive()
    }
}
