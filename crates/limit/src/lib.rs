//! The request rates that single servers name, for all processes together.

mod notice;

pub use crate::notice::NamedLimit;
