//! The companion process beside each target and worker.
