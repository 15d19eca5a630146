//! Options of the tool. Arguments override environment variables, which override the settings file,
//! which overrides the defaults.

use std::{fs, net::SocketAddr, path::Path};

use jasminestage_core::ini;

use crate::{
    CliError,
    cli::{Args, OutputFormat},
};

/// Options that all commands share.
#[derive(Clone, Debug)]
pub struct Options {
    /// URL of the platform's store.
    pub store: String,
    /// Output format.
    pub output: OutputFormat,
    /// Admin addresses of the hosts.
    pub admin: Vec<SocketAddr>,
    /// Whether the admin addresses come from an argument or an environment variable.
    pub is_admin_overridden: bool,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            store: "http://127.0.0.1:2379".to_owned(),
            output: OutputFormat::Text,
            admin: Vec::new(),
            is_admin_overridden: false,
        }
    }
}

/// Parses a value and stores it in the options; the error describes the expected value.
type Setter = fn(&mut Options, &str) -> Result<(), &'static str>;

/// Keys of section `[tool]` with their setters.
const SETTINGS: &[(&str, Setter)] = &[
    ("store", |options, value| {
        value
            .starts_with("http://")
            .then(|| options.store = value.to_owned())
            .ok_or("expected an http:// URL")
    }),
    ("admin", |options, value| {
        let parsed: Result<_, _> = value.split(',').map(|a| a.trim().parse()).collect();
        options.admin =
            parsed.map_err(|_| "expected IP addresses with ports, separated by commas")?;
        Ok(())
    }),
    ("output", |options, value| {
        options.output = match value {
            "text" => OutputFormat::Text,
            "json" => OutputFormat::Json,
            _ => return Err("expected text or json"),
        };
        Ok(())
    }),
];

impl Options {
    /// Combines the defaults, the settings file, the environment variables and the arguments.
    pub fn resolve(args: &Args) -> Result<Self, CliError> {
        let mut cfg = Options::default();
        if let Some(path) = &args.config {
            cfg.read_file(path)?;
        }
        if let Some(store) = &args.store {
            cfg.store.clone_from(store);
        }
        if !args.admin.is_empty() {
            cfg.admin.clone_from(&args.admin);
            cfg.is_admin_overridden = true;
        }
        cfg.output = args.output.unwrap_or(cfg.output);
        cfg.store.truncate(cfg.store.trim_end_matches('/').len());
        Ok(cfg)
    }

    /// Returns the admin addresses, or an error when none is given.
    pub fn admin_addresses(&self) -> Result<&[SocketAddr], CliError> {
        if self.admin.is_empty() { Err(CliError::NoAdminAddress) } else { Ok(&self.admin) }
    }

    fn read_file(&mut self, path: &Path) -> Result<(), CliError> {
        let text = fs::read_to_string(path)
            .map_err(|source| CliError::ReadFile { path: path.to_owned(), source })?;
        let invalid_setting = |line: u32, text: String| CliError::InvalidSetting {
            path: path.to_owned(),
            line,
            text: text.trim_end_matches('.').to_owned(),
        };
        let (sections, faults) = ini::parse(&text);
        if let Some(fault) = faults.first() {
            return Err(invalid_setting(fault.line, fault.text.clone()));
        }
        for section in &sections {
            if section.kind != "tool" {
                let text =
                    format!("unknown section [{}]; the only known section is [tool]", section.kind);
                return Err(invalid_setting(section.line, text));
            }
            for entry in &section.entries {
                let Some((_, set)) = SETTINGS.iter().find(|(key, _)| *key == entry.key) else {
                    let known: Vec<_> = SETTINGS.iter().map(|(key, _)| *key).collect();
                    let (key, known) = (entry.key, known.join(", "));
                    let text = format!("unknown setting '{key}'; known are {known}");
                    return Err(invalid_setting(entry.line, text));
                };
                set(self, entry.value).map_err(|expected| {
                    invalid_setting(
                        entry.line,
                        format!("{} = '{}': {expected}", entry.key, entry.value),
                    )
                })?;
            }
        }
        Ok(())
    }
}
