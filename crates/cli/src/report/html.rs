//! The report as one self-contained page.

use jasminestage_core::burn::{Report, Row, WINDOWS, report::ALL_WORKSPACES};
use maud::{DOCTYPE, Markup, html};

use super::{
    plot::{Plot, draw},
    text::{duration, left, level, objective, rate},
};

const STYLE: &str = include_str!("report.css");

/// The whole page; `made` is the date that it shows.
pub fn page(report: &Report, made: &str) -> String {
    let hosts = report.hosts.join(", ");
    let markup = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { "Service-level burn" }
                style { (STYLE) }
            }
            body {
                h1 { "Service-level burn" }
                p.meta {
                    (made) ". Counts of " (report.hosts.len()) " host(s) (" (hosts)
                    ") over up to " (duration(report.counted_seconds)) "."
                }
                @if report.rows.is_empty() { p { "No request was counted yet." } }
                @else { (summary(report)) (plots(report)) (legend()) }
            }
        }
    };
    markup.into_string()
}

fn summary(report: &Report) -> Markup {
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
    let all = row.counts.windows[WINDOWS.len() - 1];
    let (word, _) = level(row.level);
    html! {
        tr.all[row.counts.workspace == ALL_WORKSPACES] {
            td.name { (row.counts.route) } td.name { (row.counts.workspace) }
            td.name { (objective(row)) }
            td.number { (all.total()) } td.number { (all.bad) }
            td.number { (left(row.budget_left)) }
            @for burn in row.burn { td.number { (rate(burn)) } }
            td { span class={ "level " (word) } { (word) }
                @if let Some(reason) = &row.reason { " " small { (reason) } } }
        }
    }
}

fn plots(report: &Report) -> Markup {
    html! {
        h2 { "Burn rate over time" }
        div.cards {
            @for row in report.rows.iter().filter(|r| r.counts.windows[WINDOWS.len() - 1].bad > 0) {
                (card(row))
            }
        }
        @if report.rows.iter().all(|r| r.counts.windows[WINDOWS.len() - 1].bad == 0) {
            p { "No answer was bad, so that there is nothing to plot." }
        }
    }
}

fn card(row: &Row) -> Markup {
    let counts = &row.counts;
    let name = format!("{}, {}", counts.route, counts.workspace);
    let (minutes, days) = (format!("{name}: the last hour"), format!("{name}: the last 3 days"));
    html! {
        section.card {
            h3 { (counts.route) " " span.workspace { (counts.workspace) } }
            p.meta { (objective(row)) }
            h4 { "last hour, by minute" }
            (draw(&Plot {
                slots: &counts.minutes,
                reach: 60,
                objective_ppm: counts.objective_ppm,
                oldest: "1 h",
                title: &minutes,
            }))
            h4 { "last 3 days, by half hour" }
            (draw(&Plot {
                slots: &counts.half_hours,
                reach: 144,
                objective_ppm: counts.objective_ppm,
                oldest: "3 d",
                title: &days,
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
            "long histories belong into the operators' metrics store."
        }
    }
}
