//! A request in progress at this entry.

use base::prelude::*;
use tables::Route;
use wire::{Claim, shard_of_pool};

use crate::fleet::Destination;
use crate::step::{NextAction, RequestMeta};

/// A request in progress.
pub(crate) struct Active {
    pub(crate) meta: RequestMeta,
    pub(crate) route: Arc<Route>,
    /// The id that companions see: the request's own, or that of the run it joined.
    pub(crate) sent_as: RequestId,
    /// Where the current attempt is sent.
    pub(crate) destination: Destination,
    /// The targets of earlier attempts.
    pub(crate) tried: Vec<TargetId>,
    pub(crate) attempt: u32,
    pub(crate) resends: u32,
    /// How many targets ended or lost it without a response.
    pub(crate) losses: u32,
    /// Whether a copy may have reached the current target, with no proof that it did not run there.
    pub(crate) may_have_arrived: bool,
    /// Whether it may have run at an earlier target, or as the run of another caller that it
    /// joined.
    pub(crate) may_have_run: bool,
    /// Whether the companion confirmed that the request is running there or has finished.
    pub(crate) is_confirmed: bool,
    /// Whether an attempt is in flight.
    pub(crate) is_in_flight: bool,
    /// The claim on the caller's key, once granted.
    pub(crate) claim: Option<Box<Claim>>,
}

impl Active {
    pub(crate) fn new(meta: RequestMeta, route: Arc<Route>, destination: Destination) -> Self {
        Self {
            sent_as: meta.id.clone(),
            meta,
            route,
            destination,
            tried: Vec::new(),
            attempt: 1,
            resends: 0,
            losses: 0,
            may_have_arrived: false,
            may_have_run: false,
            is_confirmed: false,
            is_in_flight: false,
            claim: None,
        }
    }

    /// Returns true if the caller's idempotency key makes the request run at most once.
    pub(crate) fn is_keyed(&self) -> bool {
        !self.route.idempotent && self.meta.key.is_some()
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.meta.deadline.saturating_duration_since(now)
    }

    /// Moves the request to another target.
    pub(crate) fn move_to(&mut self, destination: Destination) {
        let left = std::mem::replace(&mut self.destination, destination);
        self.tried.push(left.target);
        self.may_have_run |= self.may_have_arrived;
        self.may_have_arrived = false;
        self.is_confirmed = false;
        self.attempt += 1;
        self.resends = 0;
    }

    /// Joins the run that another request with the same key started.
    pub(crate) fn join(&mut self, held: Claim) {
        self.sent_as = held.request.clone();
        self.destination = Destination {
            target: held.target.clone(),
            incarnation: held.incarnation,
            uptime: held.uptime,
            http_addr: held.http_addr,
            rpc_addr: None,
        };
        self.may_have_arrived = true;
        self.claim = Some(Box::new(held));
    }

    /// Returns the call that claims the caller's key for the current target; `None` if there is no
    /// key.
    pub(crate) fn claim_call(&self, timeout: Duration) -> Option<NextAction> {
        let key = self.meta.key.clone()?;
        let claim = Claim {
            route: RouteAddress::of("", &self.route.path),
            key,
            request: self.sent_as.clone(),
            target: self.destination.target.clone(),
            incarnation: self.destination.incarnation,
            uptime: self.destination.uptime,
            http_addr: self.destination.http_addr,
        };
        Some(NextAction::Claim {
            shard: shard_of_pool(&self.route.pool),
            claim: Box::new(claim),
            replaces: self.claim.clone(),
            timeout,
        })
    }
}
