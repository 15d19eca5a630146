//! Draws burn rates over time as SVG bar charts.

use jasminestage_core::burn::{Counts, alert::burn_rate};
use maud::{Markup, html};

/// Width of a plot in SVG user units.
const WIDTH: f64 = 440.0;
/// Height of a plot in SVG user units.
const HEIGHT: f64 = 130.0;
/// Left margin in SVG user units, with the labels of the vertical axis.
const LEFT_MARGIN: f64 = 40.0;
/// Bottom margin in SVG user units, with the labels of the time axis.
const BOTTOM_MARGIN: f64 = 22.0;
/// Top and right margin in SVG user units.
const TOP_RIGHT_MARGIN: f64 = 8.0;
/// Smallest burn rate at the end of the vertical axis, so that the line at 1 is inside every plot.
const MIN_AXIS_MAX: f64 = 2.0;
/// Burn rate that uses up the error budget in exactly its period.
const SUSTAINABLE_RATE: f64 = 1.0;

/// Data and labels of a plot.
#[derive(Clone, Copy, Debug)]
pub struct Plot<'a> {
    /// Counts by time slot, the current one first.
    pub slots: &'a [Counts],
    /// Length of the time axis in slots.
    pub slot_count: usize,
    /// Objective in parts per million.
    pub objective_ppm: u32,
    /// Age of the oldest end of the time axis, such as `1 h`.
    pub oldest_label: &'a str,
    /// Description of the plot, for screen readers.
    pub title: &'a str,
}

/// Draws the burn rate of each slot as a bar, with a line at [`SUSTAINABLE_RATE`].
pub fn draw_plot(plot: &Plot<'_>) -> Markup {
    let rates: Vec<f64> = plot.slots.iter().map(|c| burn_rate(*c, plot.objective_ppm)).collect();
    let axis_max = round_up_to_tick(rates.iter().copied().fold(MIN_AXIS_MAX, f64::max));
    let (plot_width, baseline) = (WIDTH - LEFT_MARGIN - TOP_RIGHT_MARGIN, HEIGHT - BOTTOM_MARGIN);
    let slot_width = plot_width / plot.slot_count.max(1) as f64;
    let y = |rate: f64| baseline - (baseline - TOP_RIGHT_MARGIN) * rate / axis_max;
    let x = |age: usize| WIDTH - TOP_RIGHT_MARGIN - slot_width * (age + 1) as f64;
    let coordinate = |n: f64| format!("{n:.1}");
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {HEIGHT}")) role="img" aria-label=(plot.title) {
            title { (plot.title) }
            @for tick in [0.0, axis_max / 2.0, axis_max] {
                line.grid x1=(LEFT_MARGIN) x2=(WIDTH - TOP_RIGHT_MARGIN)
                    y1=(coordinate(y(tick))) y2=(coordinate(y(tick))) {}
                text.end x=(LEFT_MARGIN - 6.0) y=(coordinate(y(tick) + 4.0)) { (format_rate(tick)) }
            }
            @for (age, rate) in rates.iter().enumerate().filter(|(age, _)| *age < plot.slot_count) {
                @if plot.slots[age].total() > 0 {
                    @let height = (baseline - y(*rate)).max(1.0);
                    rect class=(if *rate > SUSTAINABLE_RATE { "over" } else { "under" })
                        x=(coordinate(x(age))) width=(coordinate((slot_width - 0.5).max(1.0)))
                        y=(coordinate(baseline - height)) height=(coordinate(height)) {
                        title { (format_rate(*rate)) " (" (plot.slots[age].bad) " bad of "
                            (plot.slots[age].total()) ")" }
                    }
                }
            }
            line.even x1=(LEFT_MARGIN) x2=(WIDTH - TOP_RIGHT_MARGIN)
                y1=(coordinate(y(SUSTAINABLE_RATE))) y2=(coordinate(y(SUSTAINABLE_RATE))) {}
            text x=(LEFT_MARGIN) y=(HEIGHT - 6.0) { (plot.oldest_label) " ago" }
            text.end x=(WIDTH - TOP_RIGHT_MARGIN) y=(HEIGHT - 6.0) { "now" }
        }
    }
}

/// Rounds up to 1, 2, 5 or 10 times a power of ten.
fn round_up_to_tick(highest: f64) -> f64 {
    let power = 10_f64.powf(highest.log10().floor());
    let multiples = [1.0, 2.0, 5.0, 10.0];
    multiples.iter().map(|m| m * power).find(|top| *top >= highest).unwrap_or(highest)
}

fn format_rate(rate: f64) -> String {
    if rate == rate.trunc() { format!("{rate:.0}") } else { format!("{rate:.1}") }
}
