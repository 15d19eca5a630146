//! Edits of a declaration change only the line that they name and keep comments and order.

use jasminestage_cli::edit::{remove_item, set_key};
use test_case::test_case;

const DECLARATION: &str = "\
; A comment.
[server a]
route = r ; not a comment
state = serving

[server b]
route = r

; The key of w.
[workspace w]
keys = sha256:aa, sha256:bb
rate = 1
";

struct Case {
    edit: fn(&str) -> Option<String>,
    /// A part of the document and its replacement; `None` when the edit is refused.
    replacement: Option<(&'static str, &'static str)>,
}

#[test_case(&Case {
    edit: |t| set_key(t, ("server", "a"), "state", "leaving", false),
    replacement: Some(("state = serving", "state = leaving")),
}; "a key is changed")]
#[test_case(&Case {
    edit: |t| set_key(t, ("server", "b"), "state", "leaving", false),
    replacement: Some(("[server b]\n", "[server b]\nstate = leaving\n")),
}; "a key is added")]
#[test_case(&Case {
    edit: |t| set_key(t, ("server", "c"), "state", "leaving", false),
    replacement: None,
}; "an unknown section")]
#[test_case(&Case {
    edit: |t| set_key(t, ("host", "h"), "state", "leaving", true),
    replacement: Some(("rate = 1\n", "rate = 1\n\n[host h]\nstate = leaving\n")),
}; "a section is added")]
#[test_case(&Case {
    edit: |t| remove_item(t, ("workspace", "w"), "keys", "sha256:AA"),
    replacement: Some(("sha256:aa, sha256:bb", "sha256:bb")),
}; "an item is removed")]
#[test_case(&Case {
    edit: |t| remove_item(t, ("workspace", "w"), "keys", "sha256:cc"),
    replacement: None,
}; "an unknown item")]
#[test_case(&Case {
    edit: |t| remove_item(&t.replace("sha256:aa, ", ""), ("workspace", "w"), "keys", "sha256:bb"),
    replacement: Some(("keys = sha256:aa, sha256:bb\n", "")),
}; "the last item")]
fn an_edit_changes_its_line_only(case: &Case) {
    let expected = case.replacement.map(|(old, new)| DECLARATION.replacen(old, new, 1));
    assert_eq!((case.edit)(DECLARATION), expected);
}

/// Line numbers of the parser do not match the lines of a document with bare carriage returns, so
/// that an edit by line number would change the wrong line.
#[test]
fn a_document_with_other_line_endings_is_not_edited() {
    let carriage_returns = DECLARATION.replace('\n', "\r");
    for edited in [
        set_key(&carriage_returns, ("server", "a"), "state", "leaving", false),
        remove_item(&carriage_returns, ("workspace", "w"), "keys", "sha256:aa"),
    ] {
        assert_eq!(edited, None);
    }
}
