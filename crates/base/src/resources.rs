//! Amounts of processors, memory and accelerators.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of each resource: a worker's capacity or a task's demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Resources {
    /// No resources.
    pub const ZERO: Self = Self {
        cpu_milli: 0,
        memory_mib: 0,
        accelerators: 0,
    };

    /// Creates an amount from cores, mebibytes of memory and accelerators.
    pub const fn new(cores: u64, memory_mib: u64, accelerators: u32) -> Self {
        Self {
            cpu_milli: cores * 1000,
            memory_mib,
            accelerators,
        }
    }

    /// Returns true if this amount fits into `free` in every resource.
    pub const fn fits(&self, free: &Self) -> bool {
        self.cpu_milli <= free.cpu_milli
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
    }

    /// Returns how many times this amount fits into `free`; [`u64::MAX`] if it is nothing.
    pub fn times_in(&self, free: &Self) -> u64 {
        let times = |need: u64, free: u64| free.checked_div(need).unwrap_or(u64::MAX);
        times(self.cpu_milli, free.cpu_milli)
            .min(times(self.memory_mib, free.memory_mib))
            .min(times(self.accelerators.into(), free.accelerators.into()))
    }

    /// Subtracts `other`, saturating at zero in each resource.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.saturating_add(rhs.cpu_milli),
            memory_mib: self.memory_mib.saturating_add(rhs.memory_mib),
            accelerators: self.accelerators.saturating_add(rhs.accelerators),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        *self = *self + rhs;
    }
}

impl Sub for Resources {
    type Output = Self;

    fn sub(self, rhs: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli - rhs.cpu_milli,
            memory_mib: self.memory_mib - rhs.memory_mib,
            accelerators: self.accelerators - rhs.accelerators,
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, rhs: Self) {
        *self = *self - rhs;
    }
}

impl fmt::Display for Resources {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03} cores, {} MiB, {} accelerators",
            self.cpu_milli / 1000,
            self.cpu_milli % 1000,
            self.memory_mib,
            self.accelerators
        )
    }
}
