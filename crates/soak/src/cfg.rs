//! The settings of a run.

use std::time::Duration;

/// The settings of a run.
#[derive(Clone, Debug)]
pub struct SoakCfg {
    /// What everything is drawn from.
    pub seed: u64,
    /// How long faults come, in virtual time.
    pub span: Duration,
    /// How long the system gets afterwards, free of faults, to come to rest.
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
            quiet: Duration::from_secs(900),
            fault_every: Duration::from_secs(20),
            job_every: Duration::from_secs(4),
            request_every: Duration::from_millis(700),
            prints: false,
        }
    }
}
