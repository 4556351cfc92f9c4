//! Errors and warnings about the tables, with their positions.

use std::fmt;

use base::prelude::*;

use crate::parse::Source;

/// An error or a warning at a position in a table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The path of the file.
    pub path: Name,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What was expected, and what was found instead.
    pub message: String,
}

/// All errors of both tables, in file order, those of the routes first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problems(pub Vec<Problem>);

impl Problem {
    /// Creates a problem at a byte offset of a source.
    pub(crate) fn at(source: &Source, offset: usize, message: impl Into<String>) -> Self {
        let before = text_before(&source.text, offset);
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        Self {
            path: Arc::clone(&source.path),
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
            message: message.into(),
        }
    }
}

/// Returns the text before an offset, moved back to a character boundary.
fn text_before(text: &str, offset: usize) -> &str {
    let mut end = offset.min(text.len());
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.path, self.line, self.column, self.message
        )
    }
}

impl fmt::Display for Problems {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.0.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            problem.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Problems {}
