//! The trace of a run, of which only a hash is kept.

use std::fmt;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

/// A hash over the lines of the trace, which can also be printed.
pub struct Trace {
    hasher: Xxh3,
    prints: bool,
    lines: u64,
}

impl Trace {
    /// Creates an empty trace; `prints` writes each line to standard error.
    pub fn new(prints: bool) -> Self {
        Self {
            hasher: Xxh3::new(),
            prints,
            lines: 0,
        }
    }

    /// Adds a line, which must be the same in every run of one seed.
    pub fn line(&mut self, at: Duration, what: fmt::Arguments<'_>) {
        let line = format!("{:>12.6} {what}\n", at.as_secs_f64());
        self.hasher.update(line.as_bytes());
        self.lines += 1;
        if self.prints {
            eprint!("{line}");
        }
    }

    /// Returns how many lines were added.
    pub fn lines(&self) -> u64 {
        self.lines
    }

    /// Returns the hash of all lines.
    pub fn hash(&self) -> u64 {
        self.hasher.digest()
    }
}

impl fmt::Debug for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Trace")
            .field("lines", &self.lines)
            .finish_non_exhaustive()
    }
}
