//! The results of commands: text for people, JSON for scripts, and an exit code.

use std::fmt;

use base::prelude::*;
use serde_json::{Value, json};
use tables::{Problem, Problems};

use crate::Exit;

/// The result of a command that ran to its end.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    /// The output for people.
    pub text: String,
    /// The output for scripts.
    pub json: Value,
    /// The exit code.
    pub exit: Exit,
}

/// The error of a command that failed.
#[derive(Clone, Debug)]
pub struct Failure {
    exit: Exit,
    text: String,
    json: Value,
}

impl Outcome {
    /// Creates an outcome with the exit code [`Exit::Done`].
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            exit: Exit::Done,
        }
    }

    /// Replaces the exit code.
    #[must_use]
    pub fn with_exit(mut self, exit: Exit) -> Self {
        self.exit = exit;
        self
    }
}

impl Failure {
    /// Creates a failure.
    pub fn new(exit: Exit, text: impl Into<String>) -> Self {
        let text = text.into();
        Self {
            exit,
            json: json!({ "error": text }),
            text,
        }
    }

    /// Sets the JSON output, to which the message is added as `error`.
    #[must_use]
    pub fn with_json(mut self, json: Value) -> Self {
        let error = Value::String(self.text.clone());
        self.json = json;
        self.json["error"] = error;
        self
    }

    /// Returns the exit code.
    pub fn exit(&self) -> Exit {
        self.exit
    }

    /// Returns the output for scripts.
    pub fn json(&self) -> &Value {
        &self.json
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl std::error::Error for Failure {}

impl From<Error> for Failure {
    fn from(error: Error) -> Self {
        let exit = match error.kind() {
            ErrorKind::Unreachable | ErrorKind::Overloaded => Exit::Unreachable,
            ErrorKind::Timeout | ErrorKind::Interrupted => Exit::Unknown,
            ErrorKind::NotFound | ErrorKind::Refused => Exit::Refused,
            ErrorKind::Conflict => Exit::Conflict,
            ErrorKind::Invalid => Exit::Usage,
            _ => Exit::Fault,
        };
        Self::new(exit, error.to_string())
    }
}

impl From<Problems> for Failure {
    fn from(problems: Problems) -> Self {
        let json = json!({ "problems": problems_json(&problems.0) });
        Self::new(Exit::Faulty, problems.to_string()).with_json(json)
    }
}

/// Returns problems as JSON.
pub(crate) fn problems_json(problems: &[Problem]) -> Value {
    let rows = problems.iter().map(|problem| {
        json!({
            "path": &*problem.path,
            "line": problem.line,
            "column": problem.column,
            "message": problem.message,
        })
    });
    Value::Array(rows.collect())
}
