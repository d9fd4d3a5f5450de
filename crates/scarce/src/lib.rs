//! Decides which requests are served while servers have room for most but not for all.
//!
//! Under a little more load than servers can bear, a queue grows until every answer is late. Held back in
//! time, the few requests beyond their room let all others be answered in time.
//!
//! A *pool* is the set of servers that can take the same requests: those of one service and model. Its
//! *occupancy* is the mean, over its servers, of their requests per slot. The *knee* is the occupancy
//! above which more than a quarter of the answers begin late; each process learns it from its own
//! answers. Around the knee the share of requests that are admitted falls evenly with the occupancy, so
//! that processes which see equal load reports do not open and close together.
//!
//! [`RoomGate`] holds what is known of one pool and decides; it does no I/O and has no clock.

mod demand;
mod gate;
mod knee;
mod line;
mod quantity;
mod settings;

pub use crate::{
    gate::{
        RoomDecision, RoomEstimate, RoomGate, RoomRequest, RoomSample, RoomVerdict, SpellCount,
    },
    quantity::{AdmitShare, Occupancy, PriorityLevel, RoomError},
    settings::RoomSettings,
};
