//! Reads typed fields from a parsed file and collects errors with their positions.

use std::str::FromStr;

use base::prelude::*;
use bytesize::ByteSize;
use toml::Spanned;
use toml::de::{DeString, DeTable, DeValue};

use crate::parse::Source;
use crate::problem::Problem;

const MAX_NAME_BYTES: usize = 64;
const MAX_CORES: f64 = 4096.0;
const MAX_ACCELERATORS: u32 = 1024;
const MEBIBYTE: u64 = 1024 * 1024;
const MAX_MEMORY: u64 = 1024 * 1024 * MEBIBYTE;
/// The least Jaro-Winkler similarity of a word that is suggested.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.7;

/// A source with the errors and warnings found in it so far.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    source: &'a Source,
    pub(crate) problems: Vec<Problem>,
    pub(crate) warnings: Vec<Problem>,
}

/// A table in the file, read field by field.
#[derive(Debug)]
pub(crate) struct Row<'a> {
    table: &'a DeTable<'a>,
    /// The byte offset of the table in the source.
    offset: usize,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(source: &'a Source) -> Self {
        Self {
            source,
            problems: Vec::new(),
            warnings: Vec::new(),
        }
    }

    pub(crate) fn text(&self) -> &'a str {
        &self.source.text
    }

    pub(crate) fn path(&self) -> &'a str {
        &self.source.path
    }

    pub(crate) fn problem(&mut self, offset: usize, message: impl Into<String>) {
        self.problems
            .push(Problem::at(self.source, offset, message));
    }

    pub(crate) fn warning(&mut self, offset: usize, message: impl Into<String>) {
        self.warnings
            .push(Problem::at(self.source, offset, message));
    }

    /// Returns true if a name is valid, and reports an error otherwise.
    pub(crate) fn check_name(&mut self, offset: usize, name: &str) -> bool {
        let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        let is_valid =
            !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed);
        if !is_valid {
            let message = format!(
                "expected a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.', found {name:?}"
            );
            self.problem(offset, message);
        }
        is_valid
    }
}

impl<'a> Row<'a> {
    /// Wraps a table and reports each field that is not among `known`.
    pub(crate) fn new(
        reader: &mut Reader<'_>,
        table: &'a DeTable<'a>,
        offset: usize,
        known: &[&str],
    ) -> Self {
        let row = Self { table, offset };
        row.check_known_fields(reader, known);
        row
    }

    /// Wraps a table whose field names are checked later or are arbitrary.
    pub(crate) fn unchecked(table: &'a DeTable<'a>, offset: usize) -> Self {
        Self { table, offset }
    }

    pub(crate) fn check_known_fields(&self, reader: &mut Reader<'_>, known: &[&str]) {
        for (key, _) in self.table {
            let name = key.get_ref().as_ref();
            if !known.contains(&name) {
                reader.problem(key.span().start, unknown_field(name, known));
            }
        }
    }

    pub(crate) fn fields(&self) -> &'a DeTable<'a> {
        self.table
    }

    pub(crate) fn has(&self, key: &str) -> bool {
        self.table.get(key).is_some()
    }

    /// Returns the byte offset of a field's value, or that of the row if the field is absent.
    pub(crate) fn offset_of(&self, key: &str) -> usize {
        self.table
            .get(key)
            .map_or(self.offset, |value| value.span().start)
    }

    /// Reports an error if a field is absent.
    pub(crate) fn require(&self, reader: &mut Reader<'_>, key: &str, example: &str) {
        if !self.has(key) {
            reader.problem(
                self.offset,
                format!("expected the field `{key}`, such as {example}"),
            );
        }
    }

    pub(crate) fn string(&self, reader: &mut Reader<'_>, key: &str) -> Option<&'a str> {
        let value = self.table.get(key)?;
        let DeValue::String(text) = value.get_ref() else {
            reader.problem(value.span().start, format!("expected a text for `{key}`"));
            return None;
        };
        Some(text)
    }

    pub(crate) fn name(&self, reader: &mut Reader<'_>, key: &str) -> Option<Name> {
        let name = self.string(reader, key)?;
        reader
            .check_name(self.offset_of(key), name)
            .then(|| name.into())
    }

    pub(crate) fn bool(&self, reader: &mut Reader<'_>, key: &str) -> Option<bool> {
        let value = self.table.get(key)?;
        let DeValue::Boolean(flag) = value.get_ref() else {
            let message = format!("expected true or false for `{key}`");
            reader.problem(value.span().start, message);
            return None;
        };
        Some(*flag)
    }

    /// Reads a number from `min` to `max`, both included.
    pub(crate) fn number(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
        min: f64,
        max: f64,
    ) -> Option<f64> {
        let value = self.table.get(key)?;
        let number = as_number(value.get_ref()).filter(|n| (min..=max).contains(n));
        if number.is_none() {
            let message = format!("expected a number from {min} to {max} for `{key}`");
            reader.problem(value.span().start, message);
        }
        number
    }

    /// Reads an integer from `min` to `max`, both included.
    pub(crate) fn count(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
        min: u32,
        max: u32,
    ) -> Option<u32> {
        let value = self.table.get(key)?;
        let count = match value.get_ref() {
            DeValue::Integer(n) => u32::from_str_radix(n.as_str(), n.radix()).ok(),
            _ => None,
        };
        let count = count.filter(|n| (min..=max).contains(n));
        if count.is_none() {
            let message = format!("expected a whole number from {min} to {max} for `{key}`");
            reader.problem(value.span().start, message);
        }
        count
    }

    /// Reads a duration with a unit, from `min` to `max`, both included.
    pub(crate) fn duration(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
        min: Duration,
        max: Duration,
    ) -> Option<Duration> {
        let value = self.table.get(key)?;
        let duration = value
            .get_ref()
            .as_str()
            .and_then(|text| humantime::parse_duration(text).ok())
            .filter(|d| (min..=max).contains(d));
        if duration.is_none() {
            let message = format!(
                "expected a duration from {} to {} for `{key}`, such as \"2s\" or \"15m\"",
                humantime::format_duration(min),
                humantime::format_duration(max)
            );
            reader.problem(value.span().start, message);
        }
        duration
    }

    /// Reads a size with a unit, of at most `max` bytes.
    pub(crate) fn size(&self, reader: &mut Reader<'_>, key: &str, max: u64) -> Option<u64> {
        let value = self.table.get(key)?;
        let size = value
            .get_ref()
            .as_str()
            .filter(|text| text.chars().any(char::is_alphabetic))
            .and_then(|text| ByteSize::from_str(text).ok())
            .map(|size| size.as_u64())
            .filter(|&bytes| bytes <= max);
        if size.is_none() {
            let message = format!(
                "expected a size up to {} for `{key}`, such as \"8MiB\"",
                ByteSize::b(max).display().iec()
            );
            reader.problem(value.span().start, message);
        }
        size
    }

    pub(crate) fn table(&self, reader: &mut Reader<'_>, key: &str) -> Option<Row<'a>> {
        let value = self.table.get(key)?;
        let DeValue::Table(table) = value.get_ref() else {
            reader.problem(value.span().start, format!("expected a table for `{key}`"));
            return None;
        };
        Some(Row::unchecked(table, value.span().start))
    }

    /// Reads a table whose fields must be among `known`.
    pub(crate) fn typed_table(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
        known: &[&str],
    ) -> Option<Row<'a>> {
        let row = self.table(reader, key)?;
        row.check_known_fields(reader, known);
        Some(row)
    }

    /// Reads a list of strings with their byte offsets.
    pub(crate) fn strings(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
    ) -> Option<Vec<(usize, &'a str)>> {
        let value = self.table.get(key)?;
        let DeValue::Array(items) = value.get_ref() else {
            reader.problem(value.span().start, format!("expected a list for `{key}`"));
            return None;
        };
        let mut texts = Vec::with_capacity(items.len());
        for item in items {
            match item.get_ref() {
                DeValue::String(text) => texts.push((item.span().start, text.as_ref())),
                _ => reader.problem(
                    item.span().start,
                    format!("expected a text in the list `{key}`"),
                ),
            }
        }
        Some(texts)
    }

    /// Reads a string that must be one of `words`.
    pub(crate) fn word<T: Copy>(
        &self,
        reader: &mut Reader<'_>,
        key: &str,
        words: &[(&str, T)],
    ) -> Option<T> {
        let text = self.string(reader, key)?;
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let known = words.iter().map(|(word, _)| *word).collect::<Vec<_>>();
            let message = format!("expected one of {} for `{key}`", known.join(", "));
            reader.problem(self.offset_of(key), message + &suggestion(text, &known));
        }
        found.map(|(_, value)| *value)
    }

    pub(crate) fn resources(&self, reader: &mut Reader<'_>, key: &str) -> Option<Resources> {
        let row = self.typed_table(reader, key, crate::field::RESOURCES_FIELDS)?;
        let cores = row.number(reader, "cores", 0.0, MAX_CORES).unwrap_or(0.0);
        let memory = row.size(reader, "memory", MAX_MEMORY).unwrap_or(0);
        let accelerators = row
            .count(reader, "accelerators", 0, MAX_ACCELERATORS)
            .unwrap_or(0);
        Some(Resources {
            cpu_milli: (cores * 1000.0).ceil() as u64,
            memory_mib: memory.div_ceil(MEBIBYTE),
            accelerators,
        })
    }
}

/// Returns the fields of a table in the order of the file.
pub(crate) fn in_file_order<'a>(
    table: &'a DeTable<'a>,
) -> Vec<(&'a Spanned<DeString<'a>>, &'a Spanned<DeValue<'a>>)> {
    let mut fields = table.iter().collect::<Vec<_>>();
    fields.sort_by_key(|(key, _)| key.span().start);
    fields
}

/// Returns the value of an integer or a finite float.
pub(crate) fn as_number(value: &DeValue<'_>) -> Option<f64> {
    let number = match value {
        DeValue::Integer(n) => i64::from_str_radix(n.as_str(), n.radix()).ok()? as f64,
        DeValue::Float(n) => n.as_str().parse().ok()?,
        _ => return None,
    };
    number.is_finite().then_some(number)
}

fn unknown_field(name: &str, known: &[&str]) -> String {
    let hint = suggestion(name, known);
    if hint.is_empty() {
        return format!(
            "expected one of the fields {}, found `{name}`",
            known.join(", ")
        );
    }
    format!("expected a known field, found `{name}`{hint}")
}

/// Returns a hint with the word most similar to `name`, or an empty text.
pub(crate) fn suggestion(name: &str, known: &[&str]) -> String {
    known
        .iter()
        .map(|word| (strsim::jaro_winkler(name, word), word))
        .filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map_or_else(String::new, |(_, word)| format!("; did you mean `{word}`?"))
}
