//! The guarantees that the system makes, checked at run time where each could be violated.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// A guarantee that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Promise {
    /// No worker is allocated more processors, memory or accelerators than it has.
    Capacity,
    /// No task runs on two workers at once.
    OnePlace,
    /// Evicted work resumes exactly once.
    ResumeOnce,
    /// A caller receives the complete response to their own request.
    WholeAnswer,
    /// A request refused as "not run" was not run.
    RefusedNotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target receives no new work after a few seconds.
    LeavingIdle,
    /// A planned stop interrupts no request in progress.
    GracefulStop,
    /// An accepted configuration never reverts.
    NoRevert,
}

/// The number of promises.
const COUNT: usize = 9;

static CHECKED: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];
static BROKEN: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];
static PANICS: AtomicBool = AtomicBool::new(false);

/// How often a promise was checked and how often it was broken, in this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromiseCounts {
    /// The promise.
    pub promise: Promise,
    /// How often it was checked.
    pub checked: u64,
    /// How often it was found broken.
    pub broken: u64,
}

impl Promise {
    /// All promises, in declaration order.
    pub const ALL: [Self; COUNT] = [
        Self::Capacity,
        Self::OnePlace,
        Self::ResumeOnce,
        Self::WholeAnswer,
        Self::RefusedNotRun,
        Self::AtMostOnce,
        Self::LeavingIdle,
        Self::GracefulStop,
        Self::NoRevert,
    ];

    /// Returns the name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Capacity => "capacity",
            Self::OnePlace => "one_place",
            Self::ResumeOnce => "resume_once",
            Self::WholeAnswer => "whole_answer",
            Self::RefusedNotRun => "refused_not_run",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingIdle => "leaving_idle",
            Self::GracefulStop => "graceful_stop",
            Self::NoRevert => "no_revert",
        }
    }

    /// Counts a check of the promise and, if `held` is false, a breach.
    ///
    /// A breach is written to standard error, so that it is visible even where no logger is
    /// available. Returns `held`, so that a caller can refuse to continue.
    ///
    /// # Panics
    ///
    /// Panics on a breach if [`Promise::panic_on_breach`] was called before.
    pub fn check(self, held: bool, detail: impl FnOnce() -> String) -> bool {
        CHECKED[self as usize].fetch_add(1, Ordering::Relaxed);
        if held {
            return true;
        }
        BROKEN[self as usize].fetch_add(1, Ordering::Relaxed);
        let detail = detail();
        eprintln!("promise: broken {}: {detail}", self.as_str());
        assert!(
            !PANICS.load(Ordering::Relaxed),
            "promise broken: {}: {detail}",
            self.as_str()
        );
        false
    }

    /// Makes every later breach in this process panic. Meant for tests.
    pub fn panic_on_breach() {
        PANICS.store(true, Ordering::Relaxed);
    }

    /// Returns the counts of all promises in this process.
    pub fn counts() -> [PromiseCounts; COUNT] {
        Self::ALL.map(|promise| PromiseCounts {
            promise,
            checked: CHECKED[promise as usize].load(Ordering::Relaxed),
            broken: BROKEN[promise as usize].load(Ordering::Relaxed),
        })
    }

    /// Returns the total number of breaches of all promises in this process.
    pub fn total_broken() -> u64 {
        BROKEN.iter().map(|n| n.load(Ordering::Relaxed)).sum()
    }
}
