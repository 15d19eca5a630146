//! The report as a self-contained HTML page.

use jasminestage_core::burn::{Report, Row, WINDOWS, report::ALL_WORKSPACES};
use maud::{DOCTYPE, Markup, html};

use super::{
    plot::{Plot, draw_plot},
    text::{
        describe_level, format_budget_left, format_burn_rate, format_duration, format_objective,
    },
};

const STYLESHEET: &str = include_str!("report.css");

/// Renders the whole page; `created` is its date, shown below the title.
pub fn render_page(report: &Report, created: &str) -> String {
    let hosts = report.hosts.join(", ");
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Service-level burn" }
                style { (STYLESHEET) }
            }
            body {
                h1 { "Service-level burn" }
                p.meta {
                    (created) ". Counts of " (report.hosts.len()) " host(s) (" (hosts)
                    ") over up to " (format_duration(report.counted_seconds)) "."
                }
                @if report.rows.is_empty() { p { "No request was counted yet." } }
                @else { (summary_table(report)) (plot_cards(report)) (legend()) }
            }
        }
    };
    markup.into_string()
}

fn summary_table(report: &Report) -> Markup {
    html! {
        h2 { "Burn rates" }
        table {
            thead { tr {
                th { "route" } th { "workspace" } th { "objective" }
                th.number { "answers" } th.number { "bad" } th.number { "budget left" }
                @for window in WINDOWS { th.number { (window.name()) } }
                th { "alert" }
            } }
            tbody { @for row in &report.rows { (summary_row(row)) } }
        }
    }
}

fn summary_row(row: &Row) -> Markup {
    let longest_window = row.counts.windows[WINDOWS.len() - 1];
    let (label, _) = describe_level(row.level);
    html! {
        tr.all[row.counts.workspace == ALL_WORKSPACES] {
            td.name { (row.counts.route) } td.name { (row.counts.workspace) }
            td.name { (format_objective(row)) }
            td.number { (longest_window.total()) } td.number { (longest_window.bad) }
            td.number { (format_budget_left(row.budget_left)) }
            @for burn in row.burn { td.number { (format_burn_rate(burn)) } }
            td { span class={ "level " (label) } { (label) }
                @if let Some(reason) = &row.reason { " " small { (reason) } } }
        }
    }
}

fn plot_cards(report: &Report) -> Markup {
    html! {
        h2 { "Burn rate over time" }
        div.cards {
            @for row in report.rows.iter().filter(|r| r.counts.windows[WINDOWS.len() - 1].bad > 0) {
                (plot_card(row))
            }
        }
        @if report.rows.iter().all(|r| r.counts.windows[WINDOWS.len() - 1].bad == 0) {
            p { "No answer was bad, so that there is nothing to plot." }
        }
    }
}

fn plot_card(row: &Row) -> Markup {
    let counts = &row.counts;
    let row_name = format!("{}, {}", counts.route, counts.workspace);
    let (hour_title, days_title) =
        (format!("{row_name}: the last hour"), format!("{row_name}: the last 3 days"));
    html! {
        section.card {
            h3 { (counts.route) " " span.workspace { (counts.workspace) } }
            p.meta { (format_objective(row)) }
            h4 { "last hour, by minute" }
            (draw_plot(&Plot {
                slots: &counts.minutes,
                slot_count: 60,
                objective_ppm: counts.objective_ppm,
                oldest_label: "1 h",
                title: &hour_title,
            }))
            h4 { "last 3 days, by half hour" }
            (draw_plot(&Plot {
                slots: &counts.half_hours,
                slot_count: 144,
                objective_ppm: counts.objective_ppm,
                oldest_label: "3 d",
                title: &days_title,
            }))
        }
    }
}

fn legend() -> Markup {
    html! {
        h2 { "How to read this" }
        p {
            "A burn rate of 1 uses up the error budget of 30 days in exactly 30 days. Bad are "
            "answers that are wrong, late or missing by no fault of the caller; refusals such as a "
            "wrong key or a rate exceeded do not count. "
            b { "page" } ": at least 14.4 over 1 h and 5 min, or 6 over 6 h and 30 min. "
            b { "ticket" } ": at least 1 over 3 d and 6 h. Alerts need at least three bad answers "
            "(The Site Reliability Workbook, 2018, chapter 5). Hosts count since their start only; "
            "long histories belong in the operators' metrics store."
        }
    }
}
