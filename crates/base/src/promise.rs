//! The promises of the system, checked inside the program where each would break.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Something that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Promise {
    /// No worker is given more than its processors, memory and accelerators hold.
    Capacity,
    /// No task runs in two places at once.
    OnePlace,
    /// Evicted work resumes exactly once.
    ResumeOnce,
    /// A caller gets the whole answer to their own request.
    WholeAnswer,
    /// A request refused as not run was not run.
    RefusedNotRun,
    /// A non-idempotent request runs at most once.
    AtMostOnce,
    /// A leaving target gets no new work after a few seconds.
    LeavingIdle,
    /// A planned stop cuts off no request in progress.
    GracefulStop,
    /// An accepted configuration never reverts.
    NoRevert,
}

/// How many promises there are.
const COUNT: usize = 9;

static CHECKED: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];
static BROKEN: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];
static PANICS: AtomicBool = AtomicBool::new(false);

/// How often a promise was checked and found broken in this process.
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
    /// Every promise, in the order of the declaration.
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

    /// Counts a check of the promise and, where `held` is false, its breach.
    ///
    /// A breach is written to standard error, since it must be seen even where
    /// no logger is at hand. Returns `held`, so that a caller can refuse to go on.
    ///
    /// # Panics
    ///
    /// Panics on a breach once [`Promise::panic_on_breach`] was called.
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

    /// Makes every later breach in this process panic, for tests.
    pub fn panic_on_breach() {
        PANICS.store(true, Ordering::Relaxed);
    }

    /// Returns the counts of every promise in this process.
    pub fn counts() -> [PromiseCounts; COUNT] {
        Self::ALL.map(|promise| PromiseCounts {
            promise,
            checked: CHECKED[promise as usize].load(Ordering::Relaxed),
            broken: BROKEN[promise as usize].load(Ordering::Relaxed),
        })
    }

    /// Returns how many breaches of any promise this process has seen.
    pub fn total_broken() -> u64 {
        BROKEN.iter().map(|n| n.load(Ordering::Relaxed)).sum()
    }
}
