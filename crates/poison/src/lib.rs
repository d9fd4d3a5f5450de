//! Finds the part of a prompt that crashes the servers which write an answer on it, so that requests
//! with it can be refused.
//!
//! Terms of this crate:
//!
//! - Part: a piece of a prompt that requests share. The last part of a prompt belongs to one request
//!   or session and is never refused.
//! - Crash: the end of one incarnation of a server. All requests that it had not begun to answer are
//!   suspects.
//! - Sound: a part is sound when an answer to a request with it has gone on past its beginning. A
//!   part that crashes servers never is.
//! - Refused: requests with the part are not sent to servers.
//!
//! Crashes happen beside sound requests, and each process sees only its own requests. Processes
//! therefore tell each other of crashes, of parts that are sound after all and of refused parts, see
//! [`PoisonUpdate`]. [`PoisonTracker`] does no I/O; its caller passes in ticks of its own clock and
//! carries the updates.

mod crash_log;
mod part;
mod settings;
mod sound_log;
mod suspect;
mod tracker;
mod update;

pub use crate::{
    part::{PartId, PromptParts},
    settings::{EvidenceThreshold, PoisonSettings},
    suspect::{SuspectId, SuspectKind},
    tracker::{NewRefusal, PartsVerdict, PoisonTracker, RefusedPart},
    update::{CrashNotice, PoisonUpdate, RefusalNotice, SoundNotice},
};
