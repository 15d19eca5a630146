//! Plots of burn rates as SVG.

use jasminestage_core::burn::{Counts, alert::burn_rate};
use maud::{Markup, html};

/// Width of a plot in units of the drawing.
const WIDTH: f64 = 440.0;
/// Height of a plot.
const HEIGHT: f64 = 130.0;
/// Room for labels on the left.
const LEFT: f64 = 40.0;
/// Room for labels below.
const BELOW: f64 = 22.0;
/// Room above and on the right.
const EDGE: f64 = 8.0;
/// Smallest burn rate that the axis reaches.
const MIN_TOP: f64 = 2.0;
/// Burn rate that uses up the budget in exactly its period.
const EVEN: f64 = 1.0;

/// What a plot shows.
#[derive(Clone, Copy, Debug)]
pub struct Plot<'a> {
    /// Counts by slot, the present one first.
    pub slots: &'a [Counts],
    /// Slots that the axis reaches back.
    pub reach: usize,
    /// Objective in parts per million.
    pub objective_ppm: u32,
    /// Name of the oldest end of the axis.
    pub oldest: &'a str,
    /// What the plot shows, for readers who cannot see it.
    pub title: &'a str,
}

/// Draws bars of the burn rate over time, with a line at the rate that just uses up the budget.
pub fn draw(plot: &Plot<'_>) -> Markup {
    let rates: Vec<f64> = plot.slots.iter().map(|c| burn_rate(*c, plot.objective_ppm)).collect();
    let top = axis_top(rates.iter().copied().fold(MIN_TOP, f64::max));
    let (inner, floor) = (WIDTH - LEFT - EDGE, HEIGHT - BELOW);
    let step = inner / plot.reach.max(1) as f64;
    let y = |rate: f64| floor - (floor - EDGE) * rate / top;
    let x = |age: usize| WIDTH - EDGE - step * (age + 1) as f64;
    let number = |n: f64| format!("{n:.1}");
    html! {
        svg viewBox=(format!("0 0 {WIDTH} {HEIGHT}")) role="img" aria-label=(plot.title) {
            title { (plot.title) }
            @for mark in [0.0, top / 2.0, top] {
                line.grid x1=(LEFT) x2=(WIDTH - EDGE) y1=(number(y(mark))) y2=(number(y(mark))) {}
                text.end x=(LEFT - 6.0) y=(number(y(mark) + 4.0)) { (label(mark)) }
            }
            @for (age, rate) in rates.iter().enumerate().filter(|(age, _)| *age < plot.reach) {
                @if plot.slots[age].total() > 0 {
                    @let height = (floor - y(*rate)).max(1.0);
                    rect class=(if *rate > EVEN { "over" } else { "under" })
                        x=(number(x(age))) width=(number((step - 0.5).max(1.0)))
                        y=(number(floor - height)) height=(number(height)) {
                        title { (label(*rate)) " (" (plot.slots[age].bad) " bad of "
                            (plot.slots[age].total()) ")" }
                    }
                }
            }
            line.even x1=(LEFT) x2=(WIDTH - EDGE) y1=(number(y(EVEN))) y2=(number(y(EVEN))) {}
            text x=(LEFT) y=(HEIGHT - 6.0) { (plot.oldest) " ago" }
            text.end x=(WIDTH - EDGE) y=(HEIGHT - 6.0) { "now" }
        }
    }
}

/// The next round number: 1, 2 or 5 times a power of ten.
fn axis_top(highest: f64) -> f64 {
    let power = 10_f64.powf(highest.log10().floor());
    let steps = [1.0, 2.0, 5.0, 10.0];
    steps.iter().map(|s| s * power).find(|top| *top >= highest).unwrap_or(highest)
}

fn label(rate: f64) -> String {
    if rate == rate.trunc() { format!("{rate:.0}") } else { format!("{rate:.1}") }
}
