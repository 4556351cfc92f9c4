//! The interface of models of the interference between tasks on a worker.

use std::fmt;

use base::prelude::*;

/// A workload on a worker: a task, or the service of the worker's VM.
#[derive(Clone, Debug, PartialEq)]
pub struct Workload {
    /// The class.
    pub class: ClassName,
    /// The granted resources; zero for the service.
    pub granted: Resources,
    /// The share of its granted processor time that it may use, 0 to 1.
    pub throttle: f64,
    /// The load of the service, 0 to 1; 1 for tasks.
    pub load: f64,
}

/// A model of how much co-located workloads slow each other down.
pub trait Interference: Send + fmt::Debug {
    /// Returns the speed of `workload` next to `others`, as a share of its undisturbed speed.
    fn speed(&self, workload: &Workload, others: &[Workload]) -> f64;
}

/// A model without interference: only its own throttle slows a workload down.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoInterference;

impl Interference for NoInterference {
    fn speed(&self, workload: &Workload, _others: &[Workload]) -> f64 {
        workload.throttle
    }
}
