//! Reads the lines that processes log.

use std::io::Read;
use std::path::PathBuf;

use serde_json::{Map, Value};

use crate::{Exit, Failure};

/// The log of one process, or of several if each line begins with the name of its process.
#[derive(Clone, Debug)]
pub struct LogText {
    /// The name of the process, for lines that do not begin with one.
    pub source: String,
    /// The lines.
    pub text: String,
}

/// One line of a log.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub at: String,
    pub unix_ms: i128,
    pub source: String,
    pub msg: String,
    pub fields: Map<String, Value>,
}

impl Line {
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    pub fn is_true(&self, field: &str) -> bool {
        self.fields.get(field).and_then(Value::as_bool) == Some(true)
    }

    pub fn number(&self, field: &str) -> Option<i128> {
        self.fields.get(field)?.as_i64().map(i128::from)
    }
}

/// Reads logs; standard input if there are no files.
pub(crate) fn read_logs(files: &[PathBuf]) -> Result<Vec<LogText>, Failure> {
    let failed = |name: &str, e: std::io::Error| Failure::new(Exit::Usage, format!("{name}: {e}"));
    if files.is_empty() {
        let mut bytes = Vec::new();
        std::io::stdin()
            .read_to_end(&mut bytes)
            .map_err(|e| failed("standard input", e))?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let source = "-".to_owned();
        return Ok(vec![LogText { source, text }]);
    }
    let read = |file: &PathBuf| {
        let name = file.display().to_string();
        let bytes = std::fs::read(file).map_err(|e| failed(&name, e))?;
        let text = String::from_utf8_lossy(&bytes).into_owned();
        let source = file.file_stem().unwrap_or_default().to_string_lossy();
        Ok(LogText {
            source: source.into_owned(),
            text,
        })
    };
    files.iter().map(read).collect()
}

/// Returns the lines of a log that tell a time and an event.
pub(crate) fn parse(log: &LogText) -> impl Iterator<Item = Line> {
    log.text.lines().filter_map(|text| {
        let (head, json) = text.split_at(text.find('{')?);
        let mut fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let at = fields.remove("ts")?.as_str()?.to_owned();
        let msg = fields.remove("msg")?.as_str()?.to_owned();
        fields.remove("level");
        let source = head.split_whitespace().next_back().unwrap_or(&log.source);
        Some(Line {
            unix_ms: unix_ms(&at)?,
            source: source.to_owned(),
            at,
            msg,
            fields,
        })
    })
}

fn unix_ms(at: &str) -> Option<i128> {
    let time = humantime::parse_rfc3339(at).ok()?;
    let since = time.duration_since(std::time::UNIX_EPOCH).ok()?;
    i128::try_from(since.as_millis()).ok()
}
