//! The seam at which a model of harm between tasks is plugged in.

use std::fmt;

use base::prelude::*;

/// Something that runs on a worker: a task, or the service beside the tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct Subject {
    /// The class.
    pub class: ClassName,
    /// What it was granted; nothing for the service.
    pub granted: Resources,
    /// The share of its processor grant that it may use, 0 to 1.
    pub throttle: f64,
    /// The load of the service, 0 to 1; 1 for tasks.
    pub load: f64,
}

/// A model of how much what runs together slows each other down.
pub trait Interference: Send + fmt::Debug {
    /// Returns the speed of `subject` beside `others`, where 1 is an undisturbed run.
    fn speed(&self, subject: &Subject, others: &[Subject]) -> f64;
}

/// A model without harm: a task is slowed by its own throttle alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoInterference;

impl Interference for NoInterference {
    fn speed(&self, subject: &Subject, _others: &[Subject]) -> f64 {
        subject.throttle
    }
}
