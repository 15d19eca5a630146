//! `why`: shows the outcome of a request and its cause, from the logs of the hosts.

use std::{
    fs::File,
    io::{self, BufReader},
    path::{Path, PathBuf},
};

use crate::{
    CliError, Options, output,
    why::{Diagnosis, LogLine, diagnose, read_log},
};

/// Greatest number of lines of each kind in text output.
const MAX_TEXT_LINES: usize = 12;

/// Finds the cause of a request's outcome in the log files, or in standard input when none is
/// given.
pub fn run(cfg: &Options, request: &str, logs: &[PathBuf]) -> Result<(), CliError> {
    let mut lines = Vec::new();
    if logs.is_empty() {
        let input = read_log("standard input", io::stdin().lock());
        lines.extend(input.map_err(|e| read_error(Path::new("standard input"), e))?);
    }
    for path in logs {
        lines.extend(read_file(path)?);
    }
    let diagnosis =
        diagnose(&lines, request).ok_or_else(|| CliError::RequestNotLogged(request.to_owned()))?;
    output::print_value(cfg.output, &diagnosis, format_text);
    Ok(())
}

fn read_file(path: &Path) -> Result<Vec<LogLine>, CliError> {
    let name = path.file_stem().unwrap_or(path.as_os_str()).to_string_lossy();
    let file = File::open(path).map_err(|e| read_error(path, e))?;
    read_log(&name, BufReader::new(file)).map_err(|e| read_error(path, e))
}

fn read_error(path: &Path, source: io::Error) -> CliError {
    CliError::ReadFile { path: path.to_owned(), source }
}

fn format_text(diagnosis: &Diagnosis) -> String {
    let describe = |lines: &[LogLine]| {
        let shown = lines.iter().take(MAX_TEXT_LINES);
        shown.map(|line| format!("  {}\n", line.describe())).collect::<String>()
    };
    let mut text =
        format!("{}\n\nAbout the request:\n{}", diagnosis.cause, describe(&diagnosis.lines));
    if !diagnosis.context.is_empty() {
        text.push_str(&format!("\nAt that time:\n{}", describe(&diagnosis.context)));
    }
    if let Some(more) = diagnosis.context.len().checked_sub(MAX_TEXT_LINES + 1) {
        text.push_str(&format!("  and {} more lines; --output json shows all\n", more + 1));
    }
    text.trim_end().to_owned()
}
