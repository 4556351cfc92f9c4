//! Headers of requests between callers, entries and companions.

use std::fmt;
use std::str::FromStr;

use tables::Priority;

/// How a request ended, as told to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The whole answer of the target is in the body.
    Answered,
    /// The request was refused and has not run, and will not.
    RefusedNotRun,
    /// The request may have run; no answer is known.
    Unknown,
}

impl Outcome {
    /// Returns the text used in [`header::OUTCOME`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::RefusedNotRun => "refused-not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Outcome {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "answered" => Ok(Self::Answered),
            "refused-not-run" => Ok(Self::RefusedNotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err(()),
        }
    }
}

/// Names of headers.
pub mod header {
    /// Caller and entry: how the request ended.
    pub const OUTCOME: &str = "Monsoontrestle-Outcome";
    /// Caller and entry: why a request was refused or is unknown, a short token.
    pub const REASON: &str = "Monsoontrestle-Reason";
    /// The id of the request, drawn by the entry.
    pub const REQUEST_ID: &str = "Monsoontrestle-Request-Id";
    /// From the caller: the time left, in milliseconds.
    pub const DEADLINE_MS: &str = "Monsoontrestle-Deadline-Ms";
    /// The attempt, from 1.
    pub const ATTEMPT: &str = "Monsoontrestle-Attempt";
    /// Entry to companion: the incarnation that the request is meant for.
    pub const INCARNATION: &str = "Monsoontrestle-Incarnation";
    /// Entry to companion: set where other copies may arrive, so that a refusal has to last.
    pub const REPEAT: &str = "Monsoontrestle-Repeat";
    /// Entry to companion: who goes first.
    pub const PRIORITY: &str = "Monsoontrestle-Priority";
    /// Entry to companion: the companion's uptime as known when the target was chosen, in
    /// milliseconds; a request that it does not know starts only soon after.
    pub const UPTIME_MS: &str = "Monsoontrestle-Uptime-Ms";
    /// Entry to companion: the route.
    pub const ROUTE: &str = "Monsoontrestle-Route";
    /// From the caller: the team that the work counts against.
    pub const TEAM: &str = "Monsoontrestle-Team";
    /// From the caller: the same key is the same work.
    pub const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
    /// Companion to entry: requests in progress at the target when it answered.
    pub const LOAD: &str = "Monsoontrestle-Load";
    /// Between our processes and on operator calls: the shared secret.
    pub const TOKEN: &str = "Monsoontrestle-Token";
}

/// Returns the text of a priority in [`header::PRIORITY`].
pub fn priority_text(priority: Priority) -> &'static str {
    match priority {
        Priority::Low => "low",
        Priority::Normal => "normal",
        Priority::Urgent => "urgent",
    }
}

/// Reads the text of a priority; anything else is normal.
pub fn priority_of(text: &str) -> Priority {
    match text {
        "low" => Priority::Low,
        "urgent" => Priority::Urgent,
        _ => Priority::Normal,
    }
}
