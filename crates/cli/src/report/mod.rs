//! Renders the report of burn rates as text and as an HTML page.

pub mod html;
pub mod plot;
pub mod text;
