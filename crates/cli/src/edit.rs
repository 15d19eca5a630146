//! Edits of a declaration that keep its comments and order.

use jasminestage_core::ini;

/// Sets `key` of section `[kind name]`; without the key it is added, without the section, too, when
/// `adds` says so. `None` when there is no such section to change.
pub fn set(
    text: &str,
    (kind, name): (&str, &str),
    key: &str,
    value: &str,
    adds: bool,
) -> Option<String> {
    let (sections, _) = ini::parse(text);
    let line = format!("{key} = {value}");
    let Some(section) = sections.iter().find(|s| s.kind == kind && s.name == name) else {
        return adds.then(|| format!("{}\n\n[{kind} {name}]\n{line}\n", text.trim_end()));
    };
    let mut lines: Vec<&str> = text.lines().collect();
    match section.entries.iter().find(|e| e.key == key) {
        Some(entry) => {
            let at = index(&lines, entry.line, key)?;
            lines[at] = &line;
        }
        None => {
            let at = index(&lines, section.line, "[")?;
            lines.insert(at + 1, &line);
        }
    }
    Some(lines.join("\n") + "\n")
}

/// Removes `item` from the list that `key` of section `[kind name]` holds; an empty list goes as a
/// whole. `None` when it is not there.
pub fn remove_item(
    text: &str,
    (kind, name): (&str, &str),
    key: &str,
    item: &str,
) -> Option<String> {
    let (sections, _) = ini::parse(text);
    let section = sections.iter().find(|s| s.kind == kind && s.name == name)?;
    let entry = section.entries.iter().find(|e| e.key == key)?;
    let items: Vec<_> = entry.value.split(',').map(str::trim).collect();
    let kept: Vec<_> = items.iter().copied().filter(|i| !i.eq_ignore_ascii_case(item)).collect();
    if kept.len() == items.len() {
        return None;
    }
    let line = format!("{key} = {}", kept.join(", "));
    let mut lines: Vec<&str> = text.lines().collect();
    let at = index(&lines, entry.line, key)?;
    if kept.is_empty() {
        lines.remove(at);
    } else {
        lines[at] = &line;
    }
    Some(lines.join("\n") + "\n")
}

/// Index of a line, if it is the one that begins with `start`: a document whose lines are not ended
/// by line feeds is not edited.
fn index(lines: &[&str], line: u32, start: &str) -> Option<usize> {
    let index = (line as usize).checked_sub(1)?;
    lines.get(index)?.trim_start().starts_with(start).then_some(index)
}
