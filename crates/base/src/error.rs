//! The error of every fallible step, with the step and the peer at which it arose.

use std::fmt;

use crate::Name;

/// The result of a fallible step.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// What went wrong, as far as a caller may act on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The peer could not be reached; the call had no effect.
    Unreachable,
    /// Nothing listens at the address: the peer's process does not run, and did nothing.
    NotListening,
    /// No answer came in time; the call may have taken effect.
    Timeout,
    /// The connection broke after the call was sent; it may have taken effect.
    Interrupted,
    /// The peer is over its limit; the call had no effect.
    Overloaded,
    /// The peer refused the call; it had no effect.
    Refused,
    /// The thing asked for does not exist.
    NotFound,
    /// Something else changed the thing first; the call had no effect.
    Conflict,
    /// The data is malformed or of an unknown version.
    Malformed,
    /// The caller's settings or arguments are wrong.
    Invalid,
    /// A fault of this program.
    Internal,
}

impl ErrorKind {
    /// Tells whether the failed call may have taken effect all the same.
    pub fn is_outcome_unknown(self) -> bool {
        matches!(self, Self::Timeout | Self::Interrupted)
    }
}

/// An error with its kind, the step that failed and the peer it failed with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    step: &'static str,
    peer: Name,
    message: String,
}

impl Error {
    /// Creates an error of `step`, e.g. `"swap key"`, with `peer`, e.g. the store's address.
    pub fn new(
        kind: ErrorKind,
        step: &'static str,
        peer: impl Into<Name>,
        message: impl Into<String>,
    ) -> Self {
        Self {
            kind,
            step,
            peer: peer.into(),
            message: message.into(),
        }
    }

    /// Returns what went wrong.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Returns the peer that the step failed with.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns the message for a person.
    pub fn message(&self) -> &str {
        &self.message
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} with {}: {}", self.step, self.peer, self.message)
    }
}

impl std::error::Error for Error {}
