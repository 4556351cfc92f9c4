//! The project's error type, which carries the failed step and the peer involved.

use std::fmt;

use crate::Name;

/// The result of an operation that fails with [`Error`] by default.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// The category of an error, by which callers decide how to react.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum ErrorKind {
    /// The peer could not be reached; the call had no effect.
    Unreachable,
    /// Connections to the address are refused; the call had no effect.
    NotListening,
    /// No response arrived in time; the call may have taken effect.
    Timeout,
    /// The connection broke after the call was sent; it may have taken effect.
    Interrupted,
    /// The peer rejected the call because it is over its limit; the call had no effect.
    Overloaded,
    /// The peer refused the call; it had no effect.
    Refused,
    /// The requested item does not exist.
    NotFound,
    /// The item was changed concurrently; the call had no effect.
    Conflict,
    /// The data is malformed or of an unknown version.
    Malformed,
    /// The caller's settings or arguments are wrong.
    Invalid,
    /// A bug or an unexpected failure in this process.
    Internal,
}

impl ErrorKind {
    /// Returns true if the failed call may still have taken effect.
    pub fn is_outcome_unknown(self) -> bool {
        matches!(self, Self::Timeout | Self::Interrupted)
    }
}

/// An error with its kind, the failed step and the peer involved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    kind: ErrorKind,
    step: &'static str,
    peer: Name,
    message: String,
}

impl Error {
    /// Creates an error for a failed `step`, e.g. `"read token"`, and the `peer` involved, e.g. the
    /// store's address.
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

    /// Returns the category of the error.
    pub fn kind(&self) -> ErrorKind {
        self.kind
    }

    /// Returns the step that failed.
    pub fn step(&self) -> &'static str {
        self.step
    }

    /// Returns the peer that was involved in the failed step.
    pub fn peer(&self) -> &str {
        &self.peer
    }

    /// Returns the human-readable message.
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
