//! Errors in an inventory, each with file, line, column, host and key.

use crate::render::render;
use crate::source_text::{SourceFiles, SourcePosition};
use serde::Serialize;
use std::fmt;

/// Errors that are kept: guards against a file of junk, whose errors would fill a log.
pub const MAX_DIAGNOSTICS: usize = 100;

/// One error. The names in its JSON are those of all releases.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Diagnostic {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 for the file as a whole.
    pub line: u32,
    /// The column in characters, from 1.
    pub column: u32,
    /// The host that it concerns, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The key that it concerns, if any.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// What is wrong.
    #[serde(rename = "why")]
    pub message: String,
    /// How it may be corrected.
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

/// All errors of an inventory, in the order of files and positions.
#[derive(Clone, Debug, Default)]
pub struct Diagnostics {
    /// The first [`MAX_DIAGNOSTICS`] that were found.
    pub list: Vec<Diagnostic>,
    /// How many more there are.
    pub omitted: usize,
    files: SourceFiles,
}

impl Diagnostics {
    /// The errors as a compiler shows them: each with its line, and a mark below it.
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
    /// One line: the first error, and how many more there are.
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

/// An error as it is found.
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

/// Collects errors while files are read.
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

    /// How many were found.
    pub(crate) fn count(&self) -> usize {
        self.list.len() + self.omitted
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// All errors in order. Those of one position stay in the order in which they were found.
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
