//! Simulates a fabric domain in virtual time: the planner is the real one, engines and network are
//! models.

#![allow(dead_code, unreachable_pub)]

pub mod bench;
pub mod engine;
pub mod fault;
pub mod history;
pub mod run;
pub mod script;
pub mod world;
