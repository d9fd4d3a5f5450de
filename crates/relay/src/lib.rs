//! Proxies callers' requests to backend servers without interpreting their bodies.
//!
//! The relay reads only the head of a request: which route it takes, whether it may be retried, how
//! long the caller waits, which model it needs. [`RelayService`] authenticates the caller, picks a
//! backend server, forwards method, path and body unchanged and returns the server's bytes.
//!
//! Header names and the format of refusals are left to [`RequestCodec`], which implements the
//! protocol of callers and backend servers.
//!
//! Model engines run in serving groups, whose heads accept the requests. The hosts of the engines
//! are divided into fabric domains, each with one process as its owner, which forms and repairs the
//! groups. The relay reports servers at which requests stall, so that the owner probes them.

mod admission;
mod answer_body;
mod backlog;
mod buffered;
mod caller_body;
mod caution;
pub mod choose;
pub mod codec;
pub mod config;
mod costs;
mod crash;
mod descriptors;
mod ending;
pub mod events;
mod exchange;
mod first_event;
mod held_body;
mod identity;
mod idle;
mod limit_watch;
mod loss;
pub mod memory;
pub mod metrics;
mod next_server;
mod obstacle;
mod place;
mod poison_watch;
mod progress;
mod pump;
mod question_desk;
mod reader;
pub mod request;
pub mod retry;
mod room;
mod send;
mod sends;
pub mod serve;
pub mod server;
pub mod service;
mod shared;
mod short_reads;
pub mod standing;
mod stopping;
mod terms;
mod trace;
mod unfinished;
mod unframed;

pub use crate::{
    choose::{ChoiceFacts, ServerChoice, choose_beside_limits, choose_server},
    codec::{AnswerFacts, BackendCall, HeadError, RequestCodec, Verdict},
    config::{CallerLimits, EngineSpeeds, RelayConfig, RouteRule, ServiceSplit, WorkspaceRule},
    costs::{CostBook, WorkFacts},
    descriptors::DescriptorSettings,
    identity::IdentityHasher,
    limit_watch::{LimitQuestion, LimitWatch},
    memory::{MemoryBudget, MemorySettings},
    metrics::{ErrorHistograms, RelayMetrics},
    obstacle::SendObstacle,
    poison_watch::{PoisonWatch, TurnQuestion},
    request::{CallerHead, PromptSize, Refusal, RefusalKind, RequestId, RequestKind},
    retry::{RetryBudget, RetryLimits, RetryPermit},
    serve::serve_callers,
    server::{BackendServer, ServerCounters, ServerId, ServerLoad, ServerTable},
    service::RelayService,
    shared::{RelayShared, ServerSign},
    standing::{CONFIG_TRUST, ConfigDoubt, ConfigStanding},
    stopping::{StopEffect, log_stop_effect},
    terms::{RouteTerms, ServingTerms},
};
