//! The results of a run.

use std::fmt;

use base::PromiseCounts;
use indexmap::IndexMap;

/// The results of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed that reproduces the run.
    pub seed: u64,
    /// How often each kind of fault was injected.
    pub faults: IndexMap<String, u64>,
    /// How often each operation was performed.
    pub operations: IndexMap<&'static str, u64>,
    /// How often each promise was checked inside the actors, and how often it was broken.
    pub promises: Vec<PromiseCounts>,
    /// The violations, each with the virtual time at which it was found.
    pub violations: Vec<String>,
    /// The hash of the trace.
    pub trace_hash: u64,
    /// The number of trace lines.
    pub trace_lines: u64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        for (kind, count) in &self.faults {
            writeln!(f, "fault {kind} {count}")?;
        }
        for (kind, count) in &self.operations {
            writeln!(f, "operation {kind} {count}")?;
        }
        for counts in &self.promises {
            let name = counts.promise.as_str();
            writeln!(
                f,
                "promise {name} checked {} broken {}",
                counts.checked, counts.broken
            )?;
        }
        for violation in &self.violations {
            writeln!(f, "violation: {violation}")?;
        }
        writeln!(f, "trace lines {}", self.trace_lines)?;
        writeln!(f, "violations {}", self.violations.len())?;
        write!(f, "trace hash {:016x}", self.trace_hash)
    }
}
