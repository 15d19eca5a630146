//! Text tables of at most 100 columns.

use comfy_table::{Cell, CellAlignment, Color, ContentArrangement, LineStyle, Table, TableStyle};

/// Space between two cells, in columns of the terminal.
const PADDING_COLUMNS: u16 = 2;
/// Greatest width of a table, in columns of the terminal.
const MAX_COLUMNS: u16 = 100;

/// Table style with a line under the headings as its only border.
const STYLE: TableStyle =
    TableStyle::new().header_separator(LineStyle::none().fill('─').junction('─'));

/// Severity of a state, shown as the colour of its cell on a terminal.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Severity {
    /// No colour.
    #[default]
    Neutral,
    /// Shown in green.
    Good,
    /// Shown in yellow.
    Warning,
    /// Shown in red.
    Critical,
}

/// A table with headings; its rows are added one by one.
pub struct TextTable {
    table: Table,
}

impl TextTable {
    /// Creates a table without rows.
    pub fn new(headings: &[&str]) -> Self {
        let mut table = Table::new();
        table
            .load_style(STYLE)
            .set_content_arrangement(ContentArrangement::Dynamic)
            .set_width(MAX_COLUMNS)
            .set_header(headings.iter().copied());
        for column in table.column_iter_mut() {
            column.set_padding((0, PADDING_COLUMNS));
        }
        TextTable { table }
    }

    /// Aligns the given columns to the right, as is usual for numbers.
    #[must_use]
    pub fn align_right(mut self, columns: &[usize]) -> Self {
        for column in columns {
            if let Some(column) = self.table.column_mut(*column) {
                column.set_cell_alignment(CellAlignment::Right);
            }
        }
        self
    }

    /// Adds a row without colours.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.table.add_row(cells.into_iter().collect::<Vec<_>>());
    }

    /// Adds a row whose last cell has the colour of `severity`.
    pub fn push_with_severity(
        &mut self,
        cells: impl IntoIterator<Item = String>,
        last_cell: &str,
        severity: Severity,
    ) {
        let cell = match severity {
            Severity::Neutral => Cell::new(last_cell),
            Severity::Good => Cell::new(last_cell).fg(Color::Green),
            Severity::Warning => Cell::new(last_cell).fg(Color::Yellow),
            Severity::Critical => Cell::new(last_cell).fg(Color::Red),
        };
        let mut row: Vec<_> = cells.into_iter().map(Cell::new).collect();
        row.push(cell);
        self.table.add_row(row);
    }
}

impl std::fmt::Display for TextTable {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = self.table.to_string();
        let lines: Vec<_> = text.lines().map(str::trim_end).collect();
        f.write_str(&lines.join("\n"))
    }
}
