//! Parser for INI documents that keeps line numbers.

use ini_core::{Item, Parser};

/// A `key = value` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry<'a> {
    /// Text before the first `=`.
    pub key: &'a str,
    /// Text after the first `=`.
    pub value: &'a str,
    /// Line number, from 1.
    pub line: u32,
}

/// A section with its entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section<'a> {
    /// First word of the heading.
    pub kind: &'a str,
    /// Rest of the heading, empty if there is none.
    pub name: &'a str,
    /// Line number of the heading, from 1.
    pub line: u32,
    /// Entries in the order of the document.
    pub entries: Vec<Entry<'a>>,
}

impl<'a> Section<'a> {
    /// The first entry with this key.
    pub fn get(&self, key: &str) -> Option<Entry<'a>> {
        self.entries.iter().copied().find(|e| e.key == key)
    }
}

/// A syntax error in an INI document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// Line number, from 1.
    pub line: u32,
    /// Description of the error.
    pub text: String,
}

/// Parses a document into sections and syntax errors. Comments start with `;` or `#`.
pub fn parse(text: &str) -> (Vec<Section<'_>>, Vec<SyntaxError>) {
    let mut sections: Vec<Section<'_>> = Vec::new();
    let mut errors = Vec::new();
    let mut parser = Parser::new(text).auto_trim(true);
    let mut report = |line, text: String| errors.push(SyntaxError { line, text });
    while let Some(item) = parser.next() {
        let line = parser.line();
        match item {
            Item::Section(heading) => {
                let (kind, name) = heading.split_once(' ').unwrap_or((heading, ""));
                sections.push(Section { kind, name: name.trim(), line, entries: Vec::new() });
            }
            Item::Property(key, _) if key.starts_with('#') => {}
            Item::Property(key, Some(value)) => match sections.last_mut() {
                Some(section) => section.entries.push(Entry { key, value, line }),
                None => report(
                    line,
                    format!(
                        "The key '{key}' is not in a section; put a [section] heading before it."
                    ),
                ),
            },
            Item::Property(key, None) if !key.is_empty() => {
                report(line, format!("The line '{key}' has no '='; write 'key = value'."));
            }
            Item::Error(heading) => {
                report(line, format!("The heading '{heading}' is not closed by ']'."))
            }
            _ => {}
        }
    }
    (sections, errors)
}
