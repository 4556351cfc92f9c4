//! The settings of an entry.

use std::net::SocketAddr;

use base::prelude::*;
use report::METRICS_PORT;

/// The number of callers served concurrently: some tens of clients share an entry.
const FRONT_THREADS: usize = 48;

/// The time to live of the owner's lease: several times as long as two of the slowest responses of
/// the store.
const OWNER_LEASE: Duration = Duration::from_secs(2);

/// How long the owner continues after its lease expired while the store does not respond. Together
/// with the workers' leases it covers twice the length of the store's usual outages, which last
/// four to five seconds.
const OUTAGE_GRACE: Duration = Duration::from_secs(3);

/// The workers' lease: how long they run tasks after their last acknowledged report. It is longer
/// than an election.
const WORKER_LEASE: Duration = Duration::from_millis(4500);

/// The part of the longest lease that workers grant which is used at most, in percent.
const WORKER_LEASE_SHARE: u32 = 75;

/// The share of a core below which an entry delays its claim: the owner of sixty workers uses about
/// a tenth of a core.
const SMALL_CPU_SHARE: f64 = 0.2;

/// The link speed, in megabits per second, below which an entry delays its claim: a new owner reads
/// some megabytes.
const SLOW_LINK_MBPS: f64 = 50.0;

/// The claim delay of an entry with few resources: several times an election.
const CLAIM_DELAY: Duration = Duration::from_millis(400);

/// How operators cordon availability zones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CordonCfg {
    /// The prefix of the store keys that each name a cordoned zone.
    pub prefix: Name,
    /// How long after such a key is stored tasks may still start in the zone.
    pub bound: Duration,
    /// The zones that exist.
    pub zones: IndexSet<ZoneName>,
}

/// The settings of an entry.
#[derive(Clone, Debug)]
pub struct ControllerCfg {
    /// The entry's name.
    pub name: Name,
    /// The address that serves callers.
    pub front_addr: SocketAddr,
    /// The address that serves readiness probes.
    pub ready_addr: SocketAddr,
    /// The address that serves control calls from companions and other entries.
    pub rpc_addr: SocketAddr,
    /// The address that serves metrics.
    pub metrics_addr: SocketAddr,
    /// The number of callers served concurrently.
    pub threads: usize,
    /// The time to live of the owner's lease.
    pub owner_lease: Duration,
    /// How long the owner continues after its lease expired while the store does not respond.
    pub outage_grace: Duration,
    /// How long this entry delays a claim in favour of entries with more resources.
    pub claim_delay: Duration,
    /// The workers' lease: how long they run tasks after their last acknowledged report.
    pub worker_lease: Duration,
    /// How long the states of ended jobs can be queried.
    pub retention: Duration,
    /// How operators cordon availability zones; `None` if they can't.
    pub cordon: Option<CordonCfg>,
}

impl ControllerCfg {
    /// Creates settings with default times and thread counts.
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
            cordon: None,
        }
    }

    /// Lets operators cordon availability zones.
    #[must_use]
    pub fn with_cordon(mut self, cordon: Option<CordonCfg>) -> Self {
        self.cordon = cordon;
        self
    }

    /// Adjusts the leases to what the store and the workers grant.
    #[must_use]
    pub fn within(mut self, min_store_lease: Duration, max_worker_lease: Duration) -> Self {
        self.owner_lease = self.owner_lease.max(min_store_lease);
        let longest = max_worker_lease * WORKER_LEASE_SHARE / 100;
        self.worker_lease = self.worker_lease.min(longest);
        self
    }

    /// Delays claims if the VM has little CPU or a slow link; an unknown value counts as enough.
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
