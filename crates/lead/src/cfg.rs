//! The settings of an entry.

use std::net::SocketAddr;

use base::prelude::*;
use report::METRICS_PORT;

/// How many callers are served at once: some tens of clients share an entry.
const FRONT_THREADS: usize = 48;

/// How long the owner's key outlives its last renewal: twice the longest answer of a slow store,
/// several times over.
const OWNER_LEASE: Duration = Duration::from_secs(2);

/// How long the owner goes on, beyond its lease, while the store does not answer. With the
/// workers' leases it outlasts the store's usual outages of four to five seconds twice over.
const OUTAGE_GRACE: Duration = Duration::from_secs(3);

/// How long workers run tasks after a report that was answered: outlasts an election.
const WORKER_LEASE: Duration = Duration::from_millis(4500);

/// The share of the longest lease that workers grant which is used at most, in percent.
const WORKER_LEASE_SHARE: u32 = 75;

/// The share of a core below which an entry leaves ownership to others, where there are any: the
/// owner of sixty workers uses about a tenth of a core.
const SMALL_CPU_SHARE: f64 = 0.2;

/// The speed of the link, in megabits a second, below which an entry does so: a new owner reads
/// some megabytes.
const SLOW_LINK_MBPS: f64 = 50.0;

/// How long an entry that has little leaves a claim to others: several times an election.
const CLAIM_DELAY: Duration = Duration::from_millis(400);

/// What an entry needs to know.
#[derive(Clone, Debug)]
pub struct LeadCfg {
    /// The entry's name.
    pub name: Name,
    /// Where callers are served.
    pub front_addr: SocketAddr,
    /// Where readiness is told.
    pub ready_addr: SocketAddr,
    /// Where companions and other entries are served.
    pub rpc_addr: SocketAddr,
    /// Where metrics are served.
    pub metrics_addr: SocketAddr,
    /// How many callers are served at once.
    pub threads: usize,
    /// How long the owner's key outlives its last renewal.
    pub owner_lease: Duration,
    /// How long the owner goes on, beyond its lease, while the store does not answer.
    pub outage_grace: Duration,
    /// How long this entry leaves a claim to others that could do more as the owner.
    pub claim_delay: Duration,
    /// How long workers run tasks after a report that was answered.
    pub worker_lease: Duration,
    /// How long states of ended jobs are told.
    pub retention: Duration,
}

impl LeadCfg {
    /// Creates settings with the usual times.
    pub fn new(
        name: Name,
        front_addr: SocketAddr,
        ready_addr: SocketAddr,
        rpc_addr: SocketAddr,
        retention: Duration,
    ) -> Self {
        Self {
            name,
            front_addr,
            ready_addr,
            rpc_addr,
            metrics_addr: SocketAddr::new(rpc_addr.ip(), METRICS_PORT),
            threads: FRONT_THREADS,
            owner_lease: OWNER_LEASE,
            outage_grace: OUTAGE_GRACE,
            claim_delay: Duration::ZERO,
            worker_lease: WORKER_LEASE,
            retention,
        }
    }

    /// Keeps within what the store and the workers grant.
    #[must_use]
    pub fn within(mut self, min_store_lease: Duration, max_worker_lease: Duration) -> Self {
        self.owner_lease = self.owner_lease.max(min_store_lease);
        let longest = max_worker_lease * WORKER_LEASE_SHARE / 100;
        self.worker_lease = self.worker_lease.min(longest);
        self
    }

    /// Leaves ownership to others if the VM has little; what is not known counts as enough.
    #[must_use]
    pub fn on_vm(mut self, cpu_share: Option<f64>, link_mbps: Option<f64>) -> Self {
        let is_small = cpu_share.is_some_and(|share| share < SMALL_CPU_SHARE)
            || link_mbps.is_some_and(|speed| speed < SLOW_LINK_MBPS);
        if is_small {
            self.claim_delay = CLAIM_DELAY;
        }
        self
    }
}
