//! Finds what crashes the servers that run requests, so that requests with it can be refused.
//!
//! Terms of this crate:
//!
//! - Part: a piece of a prompt that requests share. The last part of a prompt belongs to one request
//!   or session and is never refused.
//! - Suspect: a part, or a whole request that callers may repeat.
//! - Crash: the end of one incarnation of a server. It names the suspects of all requests that the
//!   server had not begun to answer.
//! - Sound: a suspect is sound when an answer to a request with it has gone on past its beginning. One
//!   that crashes servers never is.
//! - Refused: requests with the suspect are not sent to servers.
//! - Trial: a request that was never sound is sent although a server has crashed under it.
//! - Turn: the right of one process to a trial of a request.
//!
//! Crashes happen beside sound requests, and each process sees only its own requests. Processes
//! therefore tell each other of crashes, of suspects that are sound after all and of refusals, see
//! [`PoisonUpdate`]. [`PoisonTracker`] does no I/O; its caller passes in ticks of its own clock and
//! carries the updates.

mod crash_log;
mod evidence;
mod prompt;
mod refusal;
mod settings;
mod sound_log;
mod suspect;
mod tracker;
mod trial;
mod turn;
mod update;
mod verdict;

pub use crate::{
    prompt::PromptParts,
    refusal::RefusedSuspect,
    settings::{EvidenceThreshold, PoisonSettings},
    suspect::{RequestSuspects, SuspectId, SuspectKind},
    tracker::PoisonTracker,
    trial::RequestTrial,
    turn::turn_giver,
    update::{CrashNotice, PoisonUpdate, RefusalNotice, SoundNotice},
    verdict::{NewRefusal, SuspectVerdict},
};
