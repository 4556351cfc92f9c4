//! The settings of the placer.

use base::prelude::*;

/// The settings of a [`Placer`](crate::Placer).
#[derive(Clone, Debug)]
pub struct PlacerCfg {
    /// How many waiting jobs of one priority one call looks at before it gives up.
    pub scan_limit: usize,
    /// How long a worker may be silent before it counts as lost to new work.
    pub worker_silence: Duration,
}

impl Default for PlacerCfg {
    fn default() -> Self {
        Self {
            scan_limit: 256,
            worker_silence: Duration::from_secs(3),
        }
    }
}
