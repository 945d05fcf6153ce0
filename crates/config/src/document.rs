//! Error-tolerant parsing of a TOML file into entries with line numbers.
//!
//! A plain deserializer stops at the first error. Here each entry is parsed
//! separately, and an entry with an invalid field is parsed again without that
//! field, so that one check reports every error.

use crate::finding::{Finding, Severity};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::ops::Range;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

/// A parsed entry and the lines of its fields.
pub(crate) struct Located<T> {
    pub(crate) value: T,
    pub(crate) location: EntryLocation,
}

/// The lines of one entry and of its fields.
pub(crate) struct EntryLocation {
    section: &'static str,
    line: usize,
    fields: BTreeMap<String, usize>,
}

impl EntryLocation {
    /// Returns whether the file sets the field explicitly.
    pub(crate) fn has_field(&self, field: &str) -> bool {
        self.fields.contains_key(field)
    }
}

/// A file being checked, with the findings so far.
pub(crate) struct Document<'a> {
    file: &'a str,
    text: &'a str,
    table: DeTable<'a>,
    findings: Vec<Finding>,
}

impl<'a> Document<'a> {
    /// Parses the file as TOML; `sections` are the allowed top-level tables.
    pub(crate) fn parse(file: &'a str, text: &'a str, sections: &[&str]) -> Self {
        let (table, errors) = DeTable::parse_recoverable(text);
        let mut document = Self {
            file,
            text,
            table: table.into_inner(),
            findings: Vec::new(),
        };
        for err in errors {
            let offset = err.span().map_or(0, |span| span.start);
            document.push_at_offset(
                offset,
                "syntax",
                err.message(),
                "correct the TOML at this place",
            );
        }
        document.report_unknown_sections(sections);
        document
    }

    fn report_unknown_sections(&mut self, sections: &[&str]) {
        let unknown: Vec<_> = self
            .table
            .iter()
            .filter(|(key, _)| !sections.contains(&key.get_ref().as_ref()))
            .map(|(key, _)| (key.span().start, key.get_ref().to_string()))
            .collect();
        for (offset, key) in unknown {
            let remedy = format!("use one of {}", sections.join(", "));
            self.push_at_offset(offset, &key, "no such table", &remedy);
        }
    }

    /// Returns the entries of one section, except those that cannot be parsed.
    pub(crate) fn entries<T: DeserializeOwned>(
        &mut self,
        section: &'static str,
    ) -> Vec<Located<T>> {
        let Some(value) = self.table.get(section).cloned() else {
            return Vec::new();
        };
        let offset = value.span().start;
        let DeValue::Array(entries) = value.into_inner() else {
            let remedy = format!("write [[{section}]] before each entry");
            self.push_at_offset(offset, section, "not a list of tables", &remedy);
            return Vec::new();
        };
        let entries = entries.into_iter();
        entries
            .filter_map(|entry| self.parse_entry(section, entry))
            .collect()
    }

    fn parse_entry<T: DeserializeOwned>(
        &mut self,
        section: &'static str,
        entry: Spanned<DeValue<'a>>,
    ) -> Option<Located<T>> {
        let span = entry.span();
        let DeValue::Table(mut table) = entry.into_inner() else {
            self.push_at_offset(span.start, section, "not a table", "write field = value");
            return None;
        };
        let location = self.locate(section, span.start, &table);
        let mut removed = Vec::new();
        loop {
            let value = Spanned::new(span.clone(), DeValue::Table(table.clone()));
            let err = match T::deserialize(ValueDeserializer::from(value)) {
                Ok(value) => return Some(Located { value, location }),
                Err(err) => err,
            };
            let Some(field) = field_at(&table, err.span()) else {
                self.report_missing_field(&location, err.message(), &removed);
                return None;
            };
            let remedy = if err.message().starts_with("unknown field") {
                "remove it or correct its name"
            } else {
                "give a value of the expected type"
            };
            self.push(Severity::Error, &location, &field, err.message(), remedy);
            table.remove(field.as_str());
            removed.push(field);
        }
    }

    /// Reports a missing field, unless it was removed as invalid before.
    fn report_missing_field(
        &mut self,
        location: &EntryLocation,
        message: &str,
        removed: &[String],
    ) {
        let field = message.split('`').nth(1).unwrap_or_default();
        if !removed.iter().any(|r| r == field) {
            self.push(Severity::Error, location, field, message, "add the field");
        }
    }

    fn locate(&self, section: &'static str, offset: usize, table: &DeTable<'a>) -> EntryLocation {
        let fields = table.iter();
        EntryLocation {
            section,
            line: self.line_at(offset),
            fields: fields
                .map(|(key, _)| (key.get_ref().to_string(), self.line_at(key.span().start)))
                .collect(),
        }
    }

    fn line_at(&self, offset: usize) -> usize {
        let before = &self.text.as_bytes()[..offset.min(self.text.len())];
        before.iter().filter(|byte| **byte == b'\n').count() + 1
    }

    /// Adds a finding about a field of an entry.
    pub(crate) fn push(
        &mut self,
        severity: Severity,
        location: &EntryLocation,
        field: &str,
        problem: &str,
        remedy: &str,
    ) {
        let line = location.fields.get(field).copied().unwrap_or(location.line);
        let field = match field {
            "" => location.section.to_owned(),
            field => format!("{}.{field}", location.section),
        };
        self.findings.push(Finding {
            severity,
            file: self.file.to_owned(),
            line,
            field,
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }

    fn push_at_offset(&mut self, offset: usize, field: &str, problem: &str, remedy: &str) {
        self.findings.push(Finding {
            severity: Severity::Error,
            file: self.file.to_owned(),
            line: self.line_at(offset),
            field: field.to_owned(),
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
        });
    }

    /// Returns all findings in line order.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.findings
            .sort_by(|a, b| (a.line, &a.field).cmp(&(b.line, &b.field)));
        self.findings
    }
}

/// Returns the field of a table that contains the start of a span.
fn field_at(table: &DeTable<'_>, span: Option<Range<usize>>) -> Option<String> {
    let offset = span?.start;
    table
        .iter()
        .find(|(key, value)| {
            (key.span().start..value.span().end.max(key.span().end)).contains(&offset)
        })
        .map(|(key, _)| key.get_ref().to_string())
}
