//! Edits the text of a declaration and keeps its comments and the order of its lines.

use jasminestage_core::ini;

/// Sets `key` in section `[kind name]` and adds the key if it is missing. A missing section is
/// added if `add_section` is set; otherwise the result is `None`.
pub fn set_key(
    text: &str,
    (kind, name): (&str, &str),
    key: &str,
    value: &str,
    add_section: bool,
) -> Option<String> {
    let (sections, _) = ini::parse(text);
    let line = format!("{key} = {value}");
    let Some(section) = sections.iter().find(|s| s.kind == kind && s.name == name) else {
        return add_section.then(|| format!("{}\n\n[{kind} {name}]\n{line}\n", text.trim_end()));
    };
    let mut lines: Vec<&str> = text.lines().collect();
    match section.entries.iter().find(|e| e.key == key) {
        Some(entry) => {
            let index = line_index(&lines, entry.line, key)?;
            lines[index] = &line;
        }
        None => {
            let index = line_index(&lines, section.line, "[")?;
            lines.insert(index + 1, &line);
        }
    }
    Some(lines.join("\n") + "\n")
}

/// Removes `item` from the comma-separated list `key` in section `[kind name]`, and the whole entry
/// when the list becomes empty. Returns `None` when the section, key or item is missing.
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
    let remaining: Vec<_> =
        items.iter().copied().filter(|i| !i.eq_ignore_ascii_case(item)).collect();
    if remaining.len() == items.len() {
        return None;
    }
    let line = format!("{key} = {}", remaining.join(", "));
    let mut lines: Vec<&str> = text.lines().collect();
    let index = line_index(&lines, entry.line, key)?;
    if remaining.is_empty() {
        lines.remove(index);
    } else {
        lines[index] = &line;
    }
    Some(lines.join("\n") + "\n")
}

/// Converts a line number from 1 to an index into `lines`, if that line begins with `prefix`.
///
/// The check fails for a document whose lines do not end with line feeds, where the numbers of the
/// parser do not match `lines`; such a document is not edited.
fn line_index(lines: &[&str], line_number: u32, prefix: &str) -> Option<usize> {
    let index = (line_number as usize).checked_sub(1)?;
    lines.get(index)?.trim_start().starts_with(prefix).then_some(index)
}
