//! Mistakes in an inventory: each with file, line, column, host and key, shown as a compiler shows them.

use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use serde::Serialize;
use std::fmt;

/// Where something stands: a file of [`Texts`], a line and a column, both from 1. Columns count characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct At {
    /// The file's number.
    pub file: u32,
    /// The line.
    pub line: u32,
    /// The column.
    pub column: u32,
}

/// A piece of text and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scalar {
    /// What stands there.
    pub text: String,
    /// Where.
    pub at: At,
}

/// One mistake.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 for the file as a whole.
    pub line: u32,
    /// The column, from 1, in characters.
    pub column: u32,
    /// The host, where it is about one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub host: Option<String>,
    /// The key, where it is about one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// What is wrong.
    pub why: String,
    /// What may have been meant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub help: Option<String>,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if let Some(host) = &self.host {
            write!(f, ": host {host}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": {key}")?;
        }
        write!(f, ": {}", self.why)?;
        self.help.iter().try_for_each(|h| write!(f, " ({h})"))
    }
}

/// The files that were read, by their numbers.
#[derive(Clone, Debug, Default)]
pub struct Texts(Vec<(String, String)>);

impl Texts {
    /// Adds one; its number.
    pub fn add(&mut self, name: &str, text: String) -> u32 {
        self.0.push((name.to_string(), text));
        self.0.len() as u32 - 1
    }

    /// The text of one.
    pub fn text(&self, file: u32) -> &str {
        self.0.get(file as usize).map_or("", |(_, text)| text)
    }

    fn name(&self, file: u32) -> &str {
        self.0.get(file as usize).map_or("", |(name, _)| name)
    }
}

/// Most mistakes that are told: guards against a file of junk that would fill a log.
pub const MOST: usize = 100;

/// All mistakes of one reading, in the order of files and lines.
#[derive(Clone, Debug, Default)]
pub struct Problems {
    /// The mistakes.
    pub list: Vec<Problem>,
    /// How many there are beyond those.
    pub more: usize,
    texts: Texts,
}

/// Mistakes as they are found.
#[derive(Debug, Default)]
pub struct Found {
    list: Vec<(At, Problem)>,
    more: usize,
}

impl Found {
    /// A mistake at a place.
    pub fn add(
        &mut self,
        texts: &Texts,
        at: At,
        host: Option<&str>,
        key: Option<&str>,
        why: impl Into<String>,
    ) {
        self.add_with(texts, at, host, key, why, None);
    }

    /// The same, with what may have been meant.
    pub fn add_with(
        &mut self,
        texts: &Texts,
        at: At,
        host: Option<&str>,
        key: Option<&str>,
        why: impl Into<String>,
        help: Option<String>,
    ) {
        if self.list.len() >= MOST {
            self.more += 1;
            return;
        }
        let problem = Problem {
            file: texts.name(at.file).to_string(),
            line: at.line,
            column: at.column,
            host: host.map(str::to_string),
            key: key.map(str::to_string),
            why: why.into(),
            help,
        };
        self.list.push((at, problem));
    }

    /// How many were found.
    pub fn count(&self) -> usize {
        self.list.len() + self.more
    }

    /// Whether nothing was found.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// All of it, in order.
    pub fn end(mut self, texts: Texts) -> Problems {
        self.list.sort_by_key(|(at, _)| *at);
        Problems {
            list: self.list.into_iter().map(|(_, p)| p).collect(),
            more: self.more,
            texts,
        }
    }
}

impl Problems {
    /// For people: each with the line that it is in and a mark below it.
    pub fn shown(&self, colours: bool) -> String {
        let renderer = if colours {
            Renderer::styled()
        } else {
            Renderer::plain()
        };
        let mut shown: Vec<String> = Vec::new();
        for p in &self.list {
            let text = self
                .texts
                .0
                .iter()
                .find(|(name, _)| *name == p.file)
                .map_or("", |(_, text)| text);
            let label = [p.host.as_ref().map(|h| format!("host {h}")), p.key.clone()];
            let title = label
                .into_iter()
                .flatten()
                .chain([p.why.clone()])
                .collect::<Vec<_>>()
                .join(": ");
            let span = span(text, p.line, p.column);
            let snippet = Snippet::source(text).path(p.file.as_str()).annotation(
                AnnotationKind::Primary
                    .span(span)
                    .label(p.help.as_deref().unwrap_or("")),
            );
            let group = Level::ERROR.primary_title(title.as_str()).element(snippet);
            match p.line {
                0 => shown.push(format!("error: {p}")),
                _ => shown.push(renderer.render(&[group]).to_string()),
            }
        }
        if self.more > 0 {
            shown.push(format!("and {} more", self.more));
        }
        shown.join("\n")
    }
}

impl fmt::Display for Problems {
    /// One line: the first, and how many there are.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.list.first() else {
            return Ok(());
        };
        write!(f, "{first}")?;
        match self.list.len() + self.more - 1 {
            0 => Ok(()),
            n => write!(f, "; and {n} more"),
        }
    }
}

/// The bytes of the word that stands at a place, to be marked.
fn span(text: &str, line: u32, column: u32) -> std::ops::Range<usize> {
    let start: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1) as usize)
        .map(str::len)
        .sum();
    let rest = &text[start..];
    let rest = rest.split('\n').next().unwrap_or("");
    let from = rest
        .char_indices()
        .nth(column.saturating_sub(1) as usize)
        .map_or(rest.len(), |(i, _)| i);
    let word = rest[from..]
        .find([' ', ',', ';', '\t', ':', '\r', '#'])
        .unwrap_or(rest.len() - from);
    let word = if word == 0 {
        rest[from..].chars().next().map_or(0, char::len_utf8)
    } else {
        word
    };
    start + from..start + from + word
}
