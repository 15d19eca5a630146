//! Edits of a declaration: what changes and what stays.

use jasminestage_cli::edit::{remove_item, set};
use test_case::test_case;

const TEXT: &str = "\
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
    /// A text of the document and what stands in its place, or nothing when it is not edited.
    change: Option<(&'static str, &'static str)>,
}

#[test_case(&Case {
    edit: |t| set(t, ("server", "a"), "state", "leaving", false),
    change: Some(("state = serving", "state = leaving")),
}; "a key is changed")]
#[test_case(&Case {
    edit: |t| set(t, ("server", "b"), "state", "leaving", false),
    change: Some(("[server b]\n", "[server b]\nstate = leaving\n")),
}; "a key is added")]
#[test_case(&Case {
    edit: |t| set(t, ("server", "c"), "state", "leaving", false),
    change: None,
}; "an unknown section")]
#[test_case(&Case {
    edit: |t| set(t, ("host", "h"), "state", "leaving", true),
    change: Some(("rate = 1\n", "rate = 1\n\n[host h]\nstate = leaving\n")),
}; "a section is added")]
#[test_case(&Case {
    edit: |t| remove_item(t, ("workspace", "w"), "keys", "sha256:AA"),
    change: Some(("sha256:aa, sha256:bb", "sha256:bb")),
}; "an item is removed")]
#[test_case(&Case {
    edit: |t| remove_item(t, ("workspace", "w"), "keys", "sha256:cc"),
    change: None,
}; "an unknown item")]
#[test_case(&Case {
    edit: |t| remove_item(&t.replace("sha256:aa, ", ""), ("workspace", "w"), "keys", "sha256:bb"),
    change: Some(("keys = sha256:aa, sha256:bb\n", "")),
}; "the last item")]
fn an_edit_changes_its_line_only(case: &Case) {
    let wanted = case.change.map(|(old, new)| TEXT.replacen(old, new, 1));
    assert_eq!((case.edit)(TEXT), wanted);
}

#[test]
fn a_document_with_other_line_ends_is_not_damaged() {
    let other = TEXT.replace('\n', "\r");
    for edited in [
        set(&other, ("server", "a"), "state", "leaving", false),
        remove_item(&other, ("workspace", "w"), "keys", "sha256:aa"),
    ] {
        assert_eq!(edited, None);
    }
}
