//! Tables that fit a terminal of 100 columns.

use comfy_table::{Cell, CellAlignment, Color, ContentArrangement, LineStyle, Table, TableStyle};

/// Columns between two cells.
const PADDING: u16 = 2;
/// Widest line of a table.
const MAX_COLUMNS: u16 = 100;

/// A line under the headings and no other.
const STYLE: TableStyle =
    TableStyle::new().header_separator(LineStyle::none().fill('─').junction('─'));

/// How a cell is shown: colour appears on a terminal only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Tone {
    /// As it is.
    #[default]
    Plain,
    /// Needs no attention.
    Good,
    /// Needs some attention.
    Warn,
    /// Needs attention at once.
    Bad,
}

/// A table under construction.
pub struct Rows {
    table: Table,
}

impl Rows {
    /// A table with these headings.
    pub fn new(headings: &[&str]) -> Self {
        let mut table = Table::new();
        table
            .load_style(STYLE)
            .set_content_arrangement(ContentArrangement::Dynamic)
            .set_width(MAX_COLUMNS)
            .set_header(headings.iter().copied());
        for column in table.column_iter_mut() {
            column.set_padding((0, PADDING));
        }
        Rows { table }
    }

    /// Aligns columns of numbers to the right.
    #[must_use]
    pub fn numbers(mut self, columns: &[usize]) -> Self {
        for column in columns {
            if let Some(column) = self.table.column_mut(*column) {
                column.set_cell_alignment(CellAlignment::Right);
            }
        }
        self
    }

    /// Adds a row without emphasis.
    pub fn push(&mut self, cells: impl IntoIterator<Item = String>) {
        self.table.add_row(cells.into_iter().collect::<Vec<_>>());
    }

    /// Adds a row whose last cell is emphasised.
    pub fn push_toned(&mut self, cells: impl IntoIterator<Item = String>, last: &str, tone: Tone) {
        let cell = match tone {
            Tone::Plain => Cell::new(last),
            Tone::Good => Cell::new(last).fg(Color::Green),
            Tone::Warn => Cell::new(last).fg(Color::Yellow),
            Tone::Bad => Cell::new(last).fg(Color::Red),
        };
        let mut row: Vec<_> = cells.into_iter().map(Cell::new).collect();
        row.push(cell);
        self.table.add_row(row);
    }
}

impl std::fmt::Display for Rows {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let text = self.table.to_string();
        let lines: Vec<_> = text.lines().map(str::trim_end).collect();
        f.write_str(&lines.join("\n"))
    }
}
