//! `why`: the cause of a request's outcome, by the logs of the hosts.

use std::{
    fs::File,
    io::{self, BufReader},
    path::{Path, PathBuf},
};

use crate::{
    CliError, Options, output,
    why::{Finding, Line, explain, read},
};

/// Lines of each kind that are shown to people.
const SHOWN_LINES: usize = 12;

/// Explains one request by log files, or by standard input when none is named.
pub fn run(cfg: &Options, request: &str, logs: &[PathBuf]) -> Result<(), CliError> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        let input = read("standard input", io::stdin().lock());
        lines.extend(input.map_err(|e| failed(Path::new("standard input"), e))?);
    }
    for path in logs {
        lines.extend(read_file(path)?);
    }
    let found = explain(&lines, request).ok_or_else(|| CliError::NotLogged(request.to_owned()))?;
    output::print(cfg.output, &found, text);
    Ok(())
}

fn read_file(path: &Path) -> Result<Vec<Line>, CliError> {
    let name = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
    let file = File::open(path).map_err(|e| failed(path, e))?;
    read(&name, BufReader::new(file)).map_err(|e| failed(path, e))
}

fn failed(path: &Path, source: io::Error) -> CliError {
    CliError::Read { path: path.to_owned(), source }
}

fn text(found: &Finding) -> String {
    let describe = |lines: &[Line]| {
        let shown = lines.iter().take(SHOWN_LINES);
        shown.map(|line| format!("  {}\n", line.describe())).collect::<String>()
    };
    let mut text = format!("{}\n\nAbout the request:\n{}", found.cause, describe(&found.lines));
    if !found.context.is_empty() {
        text.push_str(&format!("\nAt that time:\n{}", describe(&found.context)));
    }
    if let Some(more) = found.context.len().checked_sub(SHOWN_LINES + 1) {
        text.push_str(&format!("  and {} more lines; --output json shows all\n", more + 1));
    }
    text.trim_end().to_owned()
}
