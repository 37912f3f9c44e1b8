//! Formats errors in the style of a compiler.

use crate::diagnostics::Diagnostic;
use annotate_snippets::{AnnotationKind, Level, Renderer, Snippet};
use std::ops::Range;

/// Characters that end the underlined word.
const WORD_ENDS: [char; 7] = [' ', ',', ';', '\t', ':', '\r', '#'];

/// Formats an error with its line of `text`, and the word at its position underlined.
pub(crate) fn render(diagnostic: &Diagnostic, text: &str, use_colors: bool) -> String {
    if diagnostic.line == 0 {
        return format!("error: {diagnostic}");
    }
    let renderer = if use_colors {
        Renderer::styled()
    } else {
        Renderer::plain()
    };
    let title = title(diagnostic);
    let annotation = AnnotationKind::Primary
        .span(word_at(text, diagnostic.line, diagnostic.column))
        .label(diagnostic.help.as_deref().unwrap_or(""));
    let snippet = Snippet::source(text)
        .path(diagnostic.file.as_str())
        .annotation(annotation);
    let group = Level::ERROR.primary_title(title.as_str()).element(snippet);
    renderer.render(&[group])
}

fn title(diagnostic: &Diagnostic) -> String {
    let host = diagnostic.host.as_ref().map(|host| format!("host {host}"));
    let parts: Vec<String> = host
        .into_iter()
        .chain(diagnostic.key.clone())
        .chain([diagnostic.message.clone()])
        .collect();
    parts.join(": ")
}

/// Returns the byte range of the word at a position.
fn word_at(text: &str, line: u32, column: u32) -> Range<usize> {
    let line_start: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1) as usize)
        .map(str::len)
        .sum();
    let line_text = text[line_start..].split('\n').next().unwrap_or("");
    let word_start = line_text
        .char_indices()
        .nth(column.saturating_sub(1) as usize)
        .map_or(line_text.len(), |(index, _)| index);
    let rest = &line_text[word_start..];
    let length = match rest.find(WORD_ENDS).unwrap_or(rest.len()) {
        // The position is at one of `WORD_ENDS`: underline that character.
        0 => rest.chars().next().map_or(0, char::len_utf8),
        length => length,
    };
    let start = line_start + word_start;
    start..start + length
}
