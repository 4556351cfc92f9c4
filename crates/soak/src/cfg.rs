//! The settings of a run.

use std::time::Duration;

/// How long the system has to drain the queue after an hour of faults.
///
/// Jobs take up to four times their declared run time, so the load at times exceeds the
/// capacity of the workers, and the queue may be long when the faults end.
const QUIET: Duration = Duration::from_secs(3_600);

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct SoakCfg {
    /// The seed of all random decisions.
    pub seed: u64,
    /// How long faults are injected, in virtual time.
    pub span: Duration,
    /// How long the system then runs without faults, to become idle.
    pub quiet: Duration,
    /// The mean time between faults.
    pub fault_every: Duration,
    /// The mean time between jobs.
    pub job_every: Duration,
    /// The mean time between requests.
    pub request_every: Duration,
    /// Whether the trace and the logs are written to standard error.
    pub prints: bool,
}

impl SoakCfg {
    /// Creates the settings of a run of the given length.
    pub fn new(seed: u64, span: Duration) -> Self {
        Self {
            seed,
            span,
            quiet: QUIET,
            fault_every: Duration::from_secs(20),
            job_every: Duration::from_secs(4),
            request_every: Duration::from_millis(700),
            prints: false,
        }
    }
}
