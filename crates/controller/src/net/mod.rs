//! Communication with peer controllers and gateways.

pub mod announce;
pub mod answer;
pub mod gossip;
pub mod loads;
pub mod records;
pub mod service;
pub mod shares;
