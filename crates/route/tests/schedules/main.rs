//! Property tests of the routing decisions on seeded random schedules. Each property is also
//! checked to fail when the mechanism that ensures it is disabled.

mod budget;
mod choice;
mod harness;
mod queue;
mod shares;
