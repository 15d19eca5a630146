//! `completions` and `man`: generated from the definition of the arguments.

use std::io::{self, Write};

use clap::CommandFactory;
use clap_complete::Shell;

use crate::{CliError, cli::Args};

/// Prints a completion script for `shell`.
pub fn completions(shell: Shell) -> Result<(), CliError> {
    let mut buf = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "jasminestage", &mut buf);
    write_stdout(&buf)
}

/// Prints the manual page, with a section for each command.
pub fn man() -> Result<(), CliError> {
    let mut command = Args::command();
    command.build();
    let mut buf = Vec::new();
    let page = clap_mangen::Man::new(command.clone());
    page.render(&mut buf).map_err(CliError::WriteOutput)?;
    for sub in command.get_subcommands().filter(|c| c.get_name() != "help") {
        let heading = format!(".SH COMMAND {}\n", sub.get_name().to_uppercase());
        buf.extend_from_slice(heading.as_bytes());
        let page = clap_mangen::Man::new(sub.clone());
        page.render_description_section(&mut buf).map_err(CliError::WriteOutput)?;
        page.render_synopsis_section(&mut buf).map_err(CliError::WriteOutput)?;
        page.render_options_section(&mut buf).map_err(CliError::WriteOutput)?;
    }
    write_stdout(&buf)
}

/// Writes to standard output; a closed pipe is no error.
fn write_stdout(buf: &[u8]) -> Result<(), CliError> {
    match io::stdout().lock().write_all(buf) {
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        result => result.map_err(CliError::WriteOutput),
    }
}
