//! Host ranges as Ansible writes them: `core[01:20]`, `core[a:f]`, with a step `[1:9:2]`, several in one name.

/// Most hosts that one name may stand for.
pub const MOST: usize = 20_000;

/// The names that a pattern stands for. The error says what is wrong with it.
pub fn expand(pattern: &str) -> Result<Vec<String>, String> {
    let mut names = vec![String::new()];
    let mut rest = pattern;
    while let Some(open) = rest.find('[') {
        let close = rest[open..]
            .find(']')
            .map(|n| open + n)
            .ok_or("a range without its ']'")?;
        let parts = range(&rest[open + 1..close])?;
        if names.len() * parts.len() > MOST {
            return Err(format!("more than {MOST} hosts in one name"));
        }
        let before = &rest[..open];
        names = names
            .iter()
            .flat_map(|n| parts.iter().map(move |p| format!("{n}{before}{p}")))
            .collect();
        rest = &rest[close + 1..];
    }
    if rest.contains(']') {
        return Err("a ']' without its range".into());
    }
    names.iter_mut().for_each(|n| n.push_str(rest));
    Ok(names)
}

fn range(text: &str) -> Result<Vec<String>, String> {
    let mut parts = text.split(':');
    let bad = || format!("not a range: [{text}]");
    let (from, to) = (parts.next().unwrap_or(""), parts.next().ok_or_else(bad)?);
    let step = parts
        .next()
        .map_or(Ok(1), |s| s.parse::<usize>())
        .map_err(|_| bad())?;
    if step == 0 || parts.next().is_some() {
        return Err(bad());
    }
    // Without a beginning it is 0; an end has to be there.
    let from = if from.is_empty() { "0" } else { from };
    let digits = |s: &str| !s.is_empty() && s.len() <= 9 && s.bytes().all(|b| b.is_ascii_digit());
    if digits(from) && digits(to) {
        let width = if from.len() > 1 && from.starts_with('0') {
            from.len()
        } else {
            0
        };
        if width > 0 && from.len() != to.len() {
            return Err(format!("its ends are not of one length: [{text}]"));
        }
        let (a, b) = (
            from.parse::<usize>().map_err(|_| bad())?,
            to.parse::<usize>().map_err(|_| bad())?,
        );
        if a > b {
            return Err(format!("it runs backwards: [{text}]"));
        }
        if (b - a) / step >= MOST {
            return Err(format!("more than {MOST} hosts in one name"));
        }
        return Ok((a..=b)
            .step_by(step)
            .map(|n| format!("{n:0width$}"))
            .collect());
    }
    let letter = |s: &str| s.len() == 1 && s.as_bytes()[0].is_ascii_alphabetic();
    if !letter(from) || !letter(to) {
        return Err(bad());
    }
    let (a, b) = (from.as_bytes()[0], to.as_bytes()[0]);
    if a > b || a.is_ascii_lowercase() != b.is_ascii_lowercase() {
        return Err(format!("it runs backwards: [{text}]"));
    }
    Ok((a..=b)
        .step_by(step)
        .map(|b| char::from(b).to_string())
        .collect())
}
