//! `completions` and `man`: generated from the arguments.

use std::io::{self, Write};

use clap::CommandFactory;
use clap_complete::Shell;

use crate::{CliError, cli::Args};

/// Prints a completion script.
pub fn completions(shell: Shell) -> Result<(), CliError> {
    let mut buf = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "jasminestage", &mut buf);
    write(&buf)
}

/// Prints the manual page, with a section for each command.
pub fn man() -> Result<(), CliError> {
    let mut command = Args::command();
    command.build();
    let mut buf = Vec::new();
    let page = clap_mangen::Man::new(command.clone());
    page.render(&mut buf).map_err(CliError::Write)?;
    for sub in command.get_subcommands().filter(|c| c.get_name() != "help") {
        let heading = format!(".SH COMMAND {}\n", sub.get_name().to_uppercase());
        buf.extend_from_slice(heading.as_bytes());
        let page = clap_mangen::Man::new(sub.clone());
        page.render_description_section(&mut buf).map_err(CliError::Write)?;
        page.render_synopsis_section(&mut buf).map_err(CliError::Write)?;
        page.render_options_section(&mut buf).map_err(CliError::Write)?;
    }
    write(&buf)
}

fn write(buf: &[u8]) -> Result<(), CliError> {
    match io::stdout().lock().write_all(buf) {
        Err(e) if e.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.map_err(CliError::Write),
    }
}
