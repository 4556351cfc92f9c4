//! Exit codes of every command.

use std::process::ExitCode;

/// How a command ended, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done as asked.
    Done = 0,
    /// The tables have faults.
    Faulty = 1,
    /// The flags are wrong, or a file can't be read.
    Usage = 2,
    /// Someone else changed the tables first; nothing was changed.
    Conflict = 3,
    /// The store or the entry could not be reached; nothing was changed.
    Unreachable = 4,
    /// Whether the change took effect is not known; the same command may be run again.
    Unknown = 5,
    /// Applied, but not yet in force on every process.
    NotInForce = 6,
    /// The thing asked for does not exist, or the call was refused.
    Refused = 7,
    /// `diff`: the tables differ.
    Differs = 8,
    /// A fault of this program or of what it talked to.
    Fault = 9,
}

impl Exit {
    /// Every exit code, in the order of its number.
    pub const ALL: [Self; 10] = [
        Self::Done,
        Self::Faulty,
        Self::Usage,
        Self::Conflict,
        Self::Unreachable,
        Self::Unknown,
        Self::NotInForce,
        Self::Refused,
        Self::Differs,
        Self::Fault,
    ];

    /// Returns the code.
    pub const fn code(self) -> u8 {
        self as u8
    }

    /// Returns what the code means, for help and the reference page.
    pub const fn meaning(self) -> &'static str {
        match self {
            Self::Done => "done as asked",
            Self::Faulty => "the tables have faults",
            Self::Usage => "the flags are wrong, or a file can't be read",
            Self::Conflict => "someone else changed the tables first; nothing was changed",
            Self::Unreachable => "the store or the entry can't be reached; nothing was changed",
            Self::Unknown => {
                "whether the change took effect is not known; run the same command again"
            }
            Self::NotInForce => "applied, but not yet in force on every process",
            Self::Refused => "the thing asked for does not exist, or the call was refused",
            Self::Differs => "diff: the tables differ",
            Self::Fault => "a fault of this program or of what it talked to",
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}
