//! Options of the tool: arguments go before the environment, the settings file and the defaults.

use std::{fs, net::SocketAddr, path::Path};

use jasminestage_core::ini;

use crate::{
    CliError,
    cli::{Args, OutputFormat},
};

/// What every command needs.
#[derive(Clone, Debug)]
pub struct Options {
    /// URL of the platform's store.
    pub store: String,
    /// Form of the output.
    pub output: OutputFormat,
    /// Operators' addresses of hosts.
    pub admin: Vec<SocketAddr>,
    /// Whether the addresses were given as an argument or in the environment.
    pub admin_given: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            store: "http://127.0.0.1:2379".to_owned(),
            output: OutputFormat::Text,
            admin: Vec::new(),
            admin_given: false,
        }
    }
}

/// Sets one setting from its text; the error says what is allowed.
type Setter = fn(&mut Options, &str) -> Result<(), &'static str>;

/// The settings of section `[tool]`.
const SETTINGS: &[(&str, Setter)] = &[
    ("store", |o, t| {
        t.starts_with("http://").then(|| o.store = t.to_owned()).ok_or("an http:// URL is allowed")
    }),
    ("admin", |o, t| {
        let parsed: Result<_, _> = t.split(',').map(|a| a.trim().parse()).collect();
        o.admin =
            parsed.map_err(|_| "IP addresses with ports, separated by commas, are allowed")?;
        Ok(())
    }),
    ("output", |o, t| {
        o.output = match t {
            "text" => OutputFormat::Text,
            "json" => OutputFormat::Json,
            _ => return Err("text and json are allowed"),
        };
        Ok(())
    }),
];

impl Options {
    /// Resolves the options of a run.
    pub fn resolve(args: &Args) -> Result<Self, CliError> {
        let mut cfg = Options::default();
        if let Some(path) = &args.config {
            cfg.read(path)?;
        }
        if let Some(store) = &args.store {
            cfg.store.clone_from(store);
        }
        if !args.admin.is_empty() {
            cfg.admin.clone_from(&args.admin);
            cfg.admin_given = true;
        }
        cfg.output = args.output.unwrap_or(cfg.output);
        cfg.store.truncate(cfg.store.trim_end_matches('/').len());
        Ok(cfg)
    }

    /// The addresses of hosts, of which a command needs at least one.
    pub fn hosts(&self) -> Result<&[SocketAddr], CliError> {
        if self.admin.is_empty() { Err(CliError::NoHosts) } else { Ok(&self.admin) }
    }

    fn read(&mut self, path: &Path) -> Result<(), CliError> {
        let text = fs::read_to_string(path)
            .map_err(|source| CliError::Read { path: path.to_owned(), source })?;
        let wrong = |line: u32, text: String| CliError::Setting {
            path: path.to_owned(),
            line,
            text: text.trim_end_matches('.').to_owned(),
        };
        let (sections, faults) = ini::parse(&text);
        if let Some(fault) = faults.first() {
            return Err(wrong(fault.line, fault.text.clone()));
        }
        for section in &sections {
            if section.kind != "tool" {
                let text = format!("there is no section [{}]; [tool] is known", section.kind);
                return Err(wrong(section.line, text));
            }
            for entry in &section.entries {
                let Some((_, set)) = SETTINGS.iter().find(|(key, _)| *key == entry.key) else {
                    let known: Vec<_> = SETTINGS.iter().map(|(key, _)| *key).collect();
                    let (key, known) = (entry.key, known.join(", "));
                    let text = format!("there is no setting '{key}'; known are {known}");
                    return Err(wrong(entry.line, text));
                };
                set(self, entry.value).map_err(|allowed| {
                    wrong(entry.line, format!("{} = '{}': {allowed}", entry.key, entry.value))
                })?;
            }
        }
        Ok(())
    }
}
