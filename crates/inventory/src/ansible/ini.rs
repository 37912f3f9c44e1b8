//! Reads Ansible's INI format: `[group]`, `[group:children]` and `[group:vars]` sections, and hosts followed
//! by `key=value` variables.

use super::host_range::expand_host_range;
use super::inventory::{AnsibleInventory, Vars};
use crate::diagnostics::{Finding, Findings};
use crate::source_text::{Scalar, SourcePosition, SourceText};

/// Group of the hosts that precede the first heading.
const UNGROUPED: &str = "ungrouped";

/// Characters that start a comment.
const COMMENT_STARTS: [char; 2] = ['#', ';'];

/// Reads an inventory in INI format.
pub(crate) fn read_ini(source: SourceText<'_>, findings: &mut Findings) -> AnsibleInventory {
    let mut reader = IniReader {
        findings,
        inventory: AnsibleInventory::default(),
        group: UNGROUPED.to_owned(),
        section: Section::Hosts,
    };
    for (line_number, line) in (1..).zip(source.without_byte_order_mark().lines()) {
        reader.read_line(&Line::new(source, line_number, line));
    }
    reader.inventory
}

/// Kind of the lines below a heading.
enum Section {
    Hosts,
    Children,
    Vars,
}

/// A line, with and without surrounding whitespace.
struct Line<'a> {
    source: SourceText<'a>,
    number: u32,
    untrimmed: &'a str,
    /// Number of bytes of whitespace before the text.
    indent: usize,
    text: &'a str,
}

impl<'a> Line<'a> {
    fn new(source: SourceText<'a>, number: u32, untrimmed: &'a str) -> Line<'a> {
        Line {
            source,
            number,
            untrimmed,
            indent: untrimmed.len() - untrimmed.trim_start().len(),
            text: untrimmed.trim(),
        }
    }

    /// Returns the position at a byte offset in the trimmed text.
    fn position(&self, offset: usize) -> SourcePosition {
        let before = self.untrimmed.get(..self.indent + offset);
        let column = before.map_or(1, |before| before.chars().count() + 1);
        let column = u32::try_from(column).unwrap_or(u32::MAX);
        self.source.position(self.number, column)
    }

    /// Returns the text before the first comment character.
    fn without_comment(&self) -> &'a str {
        without_comment(self.text)
    }
}

struct IniReader<'a> {
    findings: &'a mut Findings,
    inventory: AnsibleInventory,
    group: String,
    section: Section,
}

impl IniReader<'_> {
    fn read_line(&mut self, line: &Line<'_>) {
        if line.text.is_empty() || line.text.starts_with(COMMENT_STARTS) {
            return;
        }
        if let Some(heading) = line.text.strip_prefix('[') {
            return self.read_heading(line, heading);
        }
        match self.section {
            Section::Hosts => self.read_host(line),
            Section::Children => self.read_child(line),
            Section::Vars => self.read_var(line),
        }
    }

    fn read_heading(&mut self, line: &Line<'_>, heading: &str) {
        let position = line.position(0);
        let Some(heading) = without_comment(heading).strip_suffix(']') else {
            let finding = Finding::new(position, "a heading without its ']'");
            return self.findings.add(finding);
        };
        let (name, kind) = heading.split_once(':').unwrap_or((heading, ""));
        self.section = match kind {
            "" => Section::Hosts,
            "children" => Section::Children,
            "vars" => Section::Vars,
            _ => {
                let message = format!("neither :children nor :vars: {kind:?}");
                self.findings.add(Finding::new(position, message).key(name));
                Section::Vars
            }
        };
        name.trim().clone_into(&mut self.group);
        self.inventory.group(&self.group, position);
    }

    fn read_child(&mut self, line: &Line<'_>) {
        let child = line.without_comment();
        let position = line.position(0);
        let group = self.inventory.group(&self.group, position);
        group.children.insert(child.to_owned());
        self.inventory.group(child, position);
    }

    fn read_var(&mut self, line: &Line<'_>) {
        let Some((key, value)) = line.text.split_once('=') else {
            let finding = Finding::new(line.position(0), "not key=value");
            return self.findings.add(finding.key(&self.group));
        };
        let offset = line.text.len() - value.trim_start().len();
        let value = Scalar {
            text: unquoted(value.trim()).to_owned(),
            position: line.position(offset),
        };
        let group = self.inventory.group(&self.group, line.position(0));
        group.vars.insert(key.trim().to_owned(), value);
    }

    fn read_host(&mut self, line: &Line<'_>) {
        let words = match split_words(line.text) {
            Ok(words) => words,
            Err(UnterminatedQuote { offset }) => {
                let position = line.position(offset);
                let finding = Finding::new(position, "a quote without its end");
                return self.findings.add(finding);
            }
        };
        let Some((pattern, rest)) = words.split_first() else {
            return;
        };
        let vars = self.read_host_vars(line, &pattern.text, rest);
        let position = line.position(pattern.offset);
        match expand_host_range(&pattern.text) {
            Ok(names) => {
                for name in &names {
                    self.inventory.add_host(&self.group, name, position, &vars);
                }
            }
            Err(error) => {
                let finding = Finding::new(position, error.to_string());
                self.findings.add(finding.host(&pattern.text));
            }
        }
    }

    fn read_host_vars(&mut self, line: &Line<'_>, pattern: &str, words: &[Word]) -> Vars {
        let mut vars = Vars::new();
        for word in words {
            let Some((key, value)) = word.text.split_once('=') else {
                let message = format!("not key=value: {:?}", word.text);
                let finding = Finding::new(line.position(word.offset), message);
                self.findings.add(finding.host(pattern));
                continue;
            };
            let value = Scalar {
                text: value.to_owned(),
                position: line.position(word.offset + key.len() + 1),
            };
            vars.insert(key.to_owned(), value);
        }
        vars
    }
}

/// A word of a line, after splitting.
struct Word {
    /// Byte offset of the word in the line.
    offset: usize,
    /// Text of the word without quotes.
    text: String,
}

/// Error: a quote is not closed.
struct UnterminatedQuote {
    /// Byte offset of the opening quote in the line.
    offset: usize,
}

/// The opening quote of the text that is being read.
#[derive(Clone, Copy)]
struct Quote {
    character: char,
    offset: usize,
}

/// Splits a line into words as a shell does, and stops at a comment.
fn split_words(line: &str) -> Result<Vec<Word>, UnterminatedQuote> {
    let mut words = Vec::new();
    let mut current: Option<Word> = None;
    let mut open_quote: Option<Quote> = None;
    for (offset, character) in line.char_indices() {
        if let Some(quote) = open_quote {
            if character == quote.character {
                open_quote = None;
            } else if let Some(word) = &mut current {
                word.text.push(character);
            }
            continue;
        }
        if character == '#' && current.is_none() {
            break;
        }
        if character.is_whitespace() {
            words.extend(current.take());
            continue;
        }
        let word = current.get_or_insert_with(|| Word {
            offset,
            text: String::new(),
        });
        match character {
            '"' | '\'' => open_quote = Some(Quote { character, offset }),
            _ => word.text.push(character),
        }
    }
    words.extend(current);
    match open_quote {
        Some(Quote { offset, .. }) => Err(UnterminatedQuote { offset }),
        None => Ok(words),
    }
}

fn without_comment(text: &str) -> &str {
    text.split(COMMENT_STARTS).next().unwrap_or("").trim()
}

fn unquoted(text: &str) -> &str {
    let inner = |quote: char| text.strip_prefix(quote)?.strip_suffix(quote);
    inner('"').or_else(|| inner('\'')).unwrap_or(text)
}
