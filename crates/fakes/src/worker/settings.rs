//! The settings and faults of a worker.

use base::prelude::*;

use super::interference::{Interference, NoInterference, Workload};

/// The capacity and behaviour of a worker.
#[derive(Debug)]
pub struct WorkerSettings {
    /// The capacity.
    pub capacity: Resources,
    /// The age at which usage samples become readable.
    pub usage_lag: Duration,
    /// The interval between usage samples.
    pub sample_every: Duration,
    /// How long a checkpoint takes.
    pub checkpoint_time: Duration,
    /// The lease of a task from its start to its first renewal, unless the start sets one.
    pub first_ttl: Duration,
    /// The time after which a task that is made to fail does so.
    pub fail_after: Duration,
    /// How many keys of tasks removed by a forget call are kept, so that a repeated start does not
    /// run them again; the oldest is dropped first.
    pub remembered_keys: usize,
    /// How the real demand of classes differs from what they declare.
    pub profiles: IndexMap<ClassName, ClassProfile>,
    /// The service that shares the VM with the tasks.
    pub service: Option<Workload>,
    /// The interference model.
    pub interference: Box<dyn Interference>,
}

/// How the tasks of a class differ from what they declare.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassProfile {
    /// The processors used, as a share of the grant.
    pub cpu: f64,
    /// The memory used, as a share of the grant.
    pub memory: f64,
    /// The real work, as a multiple of the work declared.
    pub work: f64,
}

/// The faults of a worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerFaults {
    /// Every task that is started fails.
    pub fail_all: bool,
    /// Every task of these classes that is started fails.
    pub fail_classes: IndexSet<ClassName>,
    /// The factor by which tasks run slower; values up to 1 have no effect.
    pub slow_factor: f64,
    /// Calls fail without an effect.
    pub unreachable: bool,
    /// The number of next starts whose replies are lost after the effect.
    pub lose_next_starts: u32,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            capacity: Resources::new(64, 250 * 1024, 0),
            usage_lag: Duration::from_secs(5),
            sample_every: Duration::from_secs(1),
            checkpoint_time: Duration::from_millis(200),
            first_ttl: Duration::from_secs(10),
            fail_after: Duration::from_millis(50),
            remembered_keys: 100_000,
            profiles: IndexMap::new(),
            service: None,
            interference: Box::new(NoInterference),
        }
    }
}

impl Default for ClassProfile {
    fn default() -> Self {
        Self {
            cpu: 1.0,
            memory: 1.0,
            work: 1.0,
        }
    }
}
