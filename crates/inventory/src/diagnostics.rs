//! Errors in an inventory, each with its file, line, column, host and key.

use crate::render::render;
use crate::source_text::{SourceFiles, SourcePosition};
use serde::Serialize;
use std::fmt;

/// Maximum number of errors that are kept. Protects the log against input that contains an error in nearly
/// every line.
pub const MAX_DIAGNOSTICS: usize = 100;

/// An error in an inventory. The field names of its JSON encoding are stable across releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// Name of the file that contains the error.
    pub file: String,
    /// Line number from 1; 0 if the error concerns the file as a whole.
    pub line: u32,
    /// Column in characters, from 1.
    pub column: u32,
    /// Name of the affected host, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// Name of the affected field, variable or group, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Description of the error.
    #[serde(rename = "why")]
    pub message: String,
    /// Hint on how to correct the error, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub help: Option<String>,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        if self.line > 0 {
            write!(formatter, ":{}:{}", self.line, self.column)?;
        }
        if let Some(host) = &self.host {
            write!(formatter, ": host {host}")?;
        }
        if let Some(key) = &self.key {
            write!(formatter, ": {key}")?;
        }
        write!(formatter, ": {}", self.message)?;
        match &self.help {
            Some(help) => write!(formatter, " ({help})"),
            None => Ok(()),
        }
    }
}

/// The errors of an inventory, sorted by file and position.
#[derive(Clone, Debug, Default)]
pub struct Diagnostics {
    /// The first [`MAX_DIAGNOSTICS`] errors in the order in which they were detected, sorted by position.
    pub list: Vec<Diagnostic>,
    /// Number of further errors that were not kept.
    pub omitted: usize,
    files: SourceFiles,
}

impl Diagnostics {
    /// Formats the errors in the style of a compiler, each with its source line and the invalid value
    /// underlined.
    pub fn render(&self, use_colors: bool) -> String {
        let mut parts: Vec<String> = self
            .list
            .iter()
            .map(|diagnostic| render(diagnostic, self.files.text_of(&diagnostic.file), use_colors))
            .collect();
        if self.omitted > 0 {
            parts.push(format!("and {} more", self.omitted));
        }
        parts.join("\n")
    }
}

impl fmt::Display for Diagnostics {
    /// Writes one line: the first error and the number of further errors.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.list.first() else {
            return Ok(());
        };
        write!(formatter, "{first}")?;
        match self.list.len() + self.omitted - 1 {
            0 => Ok(()),
            more => write!(formatter, "; and {more} more"),
        }
    }
}

impl std::error::Error for Diagnostics {}

/// An error whose file is still given by index.
#[derive(Debug)]
pub(crate) struct Finding {
    position: SourcePosition,
    host: Option<String>,
    key: Option<String>,
    message: String,
    help: Option<String>,
}

impl Finding {
    pub(crate) fn new(position: SourcePosition, message: impl Into<String>) -> Finding {
        Finding {
            position,
            host: None,
            key: None,
            message: message.into(),
            help: None,
        }
    }

    pub(crate) fn host(mut self, host: &str) -> Finding {
        self.host = Some(host.to_owned());
        self
    }

    pub(crate) fn key(mut self, key: &str) -> Finding {
        self.key = Some(key.to_owned());
        self
    }

    pub(crate) fn help(mut self, help: Option<String>) -> Finding {
        self.help = help;
        self
    }

    fn into_diagnostic(self, files: &SourceFiles) -> Diagnostic {
        Diagnostic {
            file: files.name(self.position.file).to_owned(),
            line: self.position.line,
            column: self.position.column,
            host: self.host,
            key: self.key,
            message: self.message,
            help: self.help,
        }
    }
}

/// Collects errors while files are read and validated.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    list: Vec<Finding>,
    omitted: usize,
}

impl Findings {
    pub(crate) fn add(&mut self, finding: Finding) {
        if self.list.len() >= MAX_DIAGNOSTICS {
            self.omitted += 1;
            return;
        }
        self.list.push(finding);
    }

    /// Returns the number of errors, including those that were not kept.
    pub(crate) fn count(&self) -> usize {
        self.list.len() + self.omitted
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Sorts the errors by position. Errors at the same position stay in the order in which they were
    /// detected.
    pub(crate) fn into_diagnostics(mut self, files: SourceFiles) -> Diagnostics {
        self.list.sort_by_key(|finding| finding.position);
        let list = self.list.into_iter();
        Diagnostics {
            list: list
                .map(|finding| finding.into_diagnostic(&files))
                .collect(),
            omitted: self.omitted,
            files,
        }
    }
}
