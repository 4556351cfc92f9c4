//! What is wrong or odd in a table, and where.

use std::fmt;

use base::prelude::*;

use crate::parse::Source;

/// One fault or oddity in a table.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Problem {
    /// The file.
    pub path: Name,
    /// The line, from 1.
    pub line: usize,
    /// The column, from 1, in characters.
    pub column: usize,
    /// What was expected.
    pub message: String,
}

/// Every fault found in both tables, in the order of the files.
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

/// Returns the text before an offset, moved back to a character border.
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
