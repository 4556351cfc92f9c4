//! The size, habits and faults of a worker.

use base::prelude::*;

use super::interference::{Interference, NoInterference, Subject};

/// The size and habits of a worker.
#[derive(Debug)]
pub struct WorkerSettings {
    /// The size.
    pub capacity: Resources,
    /// How old usage samples are when they can be read.
    pub usage_lag: Duration,
    /// How often usage is sampled.
    pub sample_every: Duration,
    /// How long a checkpoint takes.
    pub checkpoint_time: Duration,
    /// How long a task runs before its first renewal.
    pub first_ttl: Duration,
    /// How long a task runs that is made to fail.
    pub fail_after: Duration,
    /// How many forgotten keys are remembered.
    pub remembered_keys: usize,
    /// How classes differ from what they declare.
    pub profiles: IndexMap<ClassName, ClassProfile>,
    /// The service beside the tasks.
    pub service: Option<Subject>,
    /// The model of harm.
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
pub struct WorkerSwitches {
    /// Every task that is started fails.
    pub fail_all: bool,
    /// Every task of these classes that is started fails.
    pub fail_classes: IndexSet<ClassName>,
    /// How many times slower tasks run; 0 and 1 for not at all.
    pub slow_factor: f64,
    /// Calls do not reach the worker.
    pub unreachable: bool,
    /// How many answers of starts are lost after the effect.
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
