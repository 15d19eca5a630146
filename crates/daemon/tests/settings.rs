//! Settings: the error for an invalid setting names its line and the allowed values, and the
//! operators' documentation lists every setting with its default.

use jasminestage_daemon::{Options, options::setting_reference};
use proptest::prelude::*;

const PAGE: &str = include_str!("../../../docs/OPERATING.md");

const VALID: &str = "\
[host]
name = z1
domain = zurich-1
caller_address = 127.0.0.1:8080
peer_address = 127.0.0.1:7000
admin_address = 127.0.0.1:9000
[fleet]
secret = a secret of some length
[platform]
store = http://127.0.0.1:2379
";

struct Case {
    /// A line of the valid file and its replacement; with an empty line the replacement is appended.
    line: &'static str,
    replacement: &'static str,
    /// Part of the expected message.
    error: &'static str,
}

const fn case(line: &'static str, replacement: &'static str, error: &'static str) -> Case {
    Case { line, replacement, error }
}

const CASES: &[Case] = &[
    case("name = z1", "name = z 1", "2: [host] name = 'z 1': "),
    case("name = z1", "", "[host] name = '': this setting is required"),
    case("caller_address = 127.0.0.1:8080", "caller_address = here", "4: [host] caller_address"),
    case("peer_address = 127.0.0.1:7000", "peer_address = 1.2.3.4", "an IP address with a port"),
    case("secret = a secret of some length", "secret = short", "'(hidden)': a secret of at least"),
    case("", "[fleet]\nold_secret = short", "old_secret = '(hidden)': a secret of at least 16"),
    case("", "[fleet]\nseeds = 1.2.3.4:5, there", "seeds = '1.2.3.4:5, there'"),
    case("store = http://127.0.0.1:2379", "store = ftp://x", "an http:// URL is allowed"),
    case("", "[platform]\ntimeout = soon", "12: [platform] timeout = 'soon'"),
    case("", "[traffic]\nthreads = 0", "threads = '0': a whole number from 1 to 256 is allowed"),
    case("", "[traffic]\nmax_body_bytes = -1", "a whole number from 1 to 67108864 is allowed"),
    case("", "[traffic]\nstop_limit = 1 week", "stop_limit = '1 week'"),
    case("", "[traffic]\nstop_delay = 1 s", "stop_delay = '1 s'"),
    case("", "[limits]\nmemory_mb = 1", "a whole number from 16 to 1048576 is allowed"),
    case("", "[limits]\nmax_descriptors = 3", "a whole number from 64 to 1048576 is allowed"),
    case("", "[limits]\nheader_timeout = 1 ms", "a time of at least 1000 ms is allowed"),
    case("", "[log]\nformat = xml", "format = 'xml'"),
    case("", "[log]\nfilter = a=b=c", "filter = 'a=b=c': a filter such as 'info'"),
    case("", "[log]\nlevel = info", "there is no such setting; known are format, filter"),
    case("", "[shop]\nx = 1", "11: [shop]: there is no such section; known are host, fleet"),
    case("", "[shop]", "[shop]: there is no such section"),
    case("", "[host z2]\nname = z2", "[host z2]: there is no such section"),
    case("", "[host]\nname = z2", "12: [host] name = 'z2': a setting may be given only once"),
    case("", "just words", "11: The line 'just words' has no '='"),
    case("", "[host", "11: The heading"),
    case("[host]", "", "The key 'name' is not in a section"),
];

#[test]
fn the_error_for_an_invalid_setting_names_its_line_and_the_allowed_values() {
    for case in CASES {
        let text = match case.line {
            "" => format!("{VALID}{}\n", case.replacement),
            line => VALID.replacen(line, case.replacement, 1),
        };
        let e = Options::parse(&text, "z1.ini").expect_err(case.error).to_string();
        assert!(e.starts_with("z1.ini:") && e.contains(case.error), "{e}\n{}", case.error);
        assert!(!e.contains("a secret of some length"), "{e}");
    }
    assert!(Options::parse(VALID, "z1.ini").is_ok());
}

#[test]
fn the_error_for_an_unreadable_file_names_it() {
    let e = Options::load("/nowhere/z1.ini".as_ref()).expect_err("there is no such file");
    assert!(e.to_string().starts_with("The settings file '/nowhere/z1.ini' cannot be read: "));
}

#[test]
fn the_debug_output_contains_no_secrets() {
    let text = format!("{VALID}[fleet]\nold_secret = another secret of old\n");
    let shown = format!("{:?}", Options::parse(&text, "z1.ini").expect("the settings are valid"));
    assert!(!shown.contains("secret of"), "{shown}");
}

#[test]
fn the_documentation_lists_every_setting_with_its_default() {
    let listed: Vec<_> = PAGE
        .lines()
        .skip_while(|l| !l.starts_with("| Section"))
        .skip(2)
        .take_while(|l| l.starts_with('|'))
        .map(|l| l.trim_matches('|').split('|').take(3).map(str::trim).collect::<Vec<_>>())
        .collect();
    let code: Vec<_> = setting_reference()
        .into_iter()
        .map(|s| {
            let default = match s.default {
                None => "required".to_owned(),
                Some(text) if text.is_empty() => "none".to_owned(),
                Some(text) => format!("`{text}`"),
            };
            vec![s.section.to_owned(), format!("`{}`", s.key), default]
        })
        .collect();
    assert_eq!(listed, code);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parsing_random_settings_does_not_panic(text in "(\\[?[a-z_]{0,9}\\]?( ?= ?.{0,12})?\n){0,12}") {
        let _ = Options::parse(&text, "x");
        let _ = Options::parse(&format!("{VALID}{text}"), "x");
    }
}
