//! The burn report in its forms.

pub mod html;
pub mod plot;
pub mod text;
