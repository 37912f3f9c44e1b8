//! The INI form: `[group]`, `[group:children]`, `[group:vars]`, and hosts with `key=value` behind them.

use super::{expand, Inventory, Vars};
use crate::problem::{At, Found, Scalar, Texts};

enum Section {
    Hosts,
    Children,
    Vars,
}

/// Reads an inventory.
pub fn read(texts: &Texts, file: u32, found: &mut Found) -> Inventory {
    let mut inventory = Inventory::default();
    let (mut group, mut section) = ("ungrouped".to_string(), Section::Hosts);
    let text = texts.text(file);
    for (n, whole) in text
        .strip_prefix('\u{feff}')
        .unwrap_or(text)
        .lines()
        .enumerate()
    {
        let indent = whole.len() - whole.trim_start().len();
        let at = |offset: usize| {
            let column = whole
                .get(..indent + offset)
                .map_or(1, |before| before.chars().count() + 1);
            At {
                file,
                line: n as u32 + 1,
                column: column as u32,
            }
        };
        let line = whole.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        if let Some(head) = line.strip_prefix('[') {
            let head = head.split(['#', ';']).next().unwrap_or("").trim();
            let Some(head) = head.strip_suffix(']') else {
                found.add(texts, at(0), None, None, "a heading without its ']'");
                continue;
            };
            let (name, kind) = head.split_once(':').unwrap_or((head, ""));
            section = match kind {
                "" => Section::Hosts,
                "children" => Section::Children,
                "vars" => Section::Vars,
                _ => {
                    let why = format!("neither :children nor :vars: {kind:?}");
                    found.add(texts, at(0), None, Some(name), why);
                    Section::Vars
                }
            };
            group = name.trim().to_string();
            inventory.group(&group, at(0));
            continue;
        }
        match section {
            Section::Children => {
                let child = line.split(['#', ';']).next().unwrap_or("").trim();
                inventory
                    .group(&group, at(0))
                    .children
                    .insert(child.to_string());
                inventory.group(child, at(0));
            }
            Section::Vars => match line.split_once('=') {
                Some((key, value)) => {
                    let offset = line.len() - value.trim_start().len();
                    let value = unquoted(value.trim()).to_string();
                    let scalar = Scalar {
                        text: value,
                        at: at(offset),
                    };
                    inventory
                        .group(&group, at(0))
                        .vars
                        .insert(key.trim().to_string(), scalar);
                }
                None => found.add(texts, at(0), None, Some(&group), "not key=value"),
            },
            Section::Hosts => host(&mut inventory, &group, line, &at, texts, found),
        }
    }
    inventory
}

fn host(
    inventory: &mut Inventory,
    group: &str,
    line: &str,
    at: &impl Fn(usize) -> At,
    texts: &Texts,
    found: &mut Found,
) {
    let words = match words(line) {
        Ok(words) => words,
        Err(offset) => return found.add(texts, at(offset), None, None, "a quote without its end"),
    };
    let Some(((start, pattern), rest)) = words.split_first() else {
        return;
    };
    let mut vars = Vars::new();
    for (offset, word) in rest {
        match word.split_once('=') {
            Some((key, value)) => {
                let value = Scalar {
                    text: value.to_string(),
                    at: at(offset + key.len() + 1),
                };
                vars.insert(key.to_string(), value);
            }
            None => found.add(
                texts,
                at(*offset),
                Some(pattern),
                None,
                format!("not key=value: {word:?}"),
            ),
        }
    }
    match expand(pattern) {
        Ok(names) => names
            .iter()
            .for_each(|name| inventory.host(group, name, at(*start), &vars)),
        Err(why) => found.add(texts, at(*start), Some(pattern), None, why),
    }
}

/// The words of a line, as a shell splits them, each with its offset. The error is where a quote begins that does not
/// end.
fn words(line: &str) -> Result<Vec<(usize, String)>, usize> {
    let mut words: Vec<(usize, String)> = Vec::new();
    let (mut open, mut within) = (false, None::<(char, usize)>);
    for (i, c) in line.char_indices() {
        match (within, c) {
            (Some((quote, _)), _) if c == quote => within = None,
            (Some(_), _) => words
                .last_mut()
                .expect("a quote stands in a word")
                .1
                .push(c),
            (None, '#') if !open => break,
            (None, _) if c.is_whitespace() => open = false,
            (None, _) => {
                if !std::mem::replace(&mut open, true) {
                    words.push((i, String::new()));
                }
                match c {
                    '"' | '\'' => within = Some((c, i)),
                    _ => words.last_mut().expect("a word is open").1.push(c),
                }
            }
        }
    }
    within.map_or(Ok(words), |(_, at)| Err(at))
}

fn unquoted(text: &str) -> &str {
    let inner = |q: char| text.strip_prefix(q).and_then(|t| t.strip_suffix(q));
    inner('"').or_else(|| inner('\'')).unwrap_or(text)
}
