//! The path of opaque requests.
//!
//! A caller's request is known only by its head: which route it takes, whether it may be repeated,
//! how long the caller waits, which model it needs. [`RelayService`] authenticates it, picks a
//! backend server, forwards method, path and body unchanged and gives back the server's bytes.
//!
//! Names of headers and the form of refusals are not decided here: [`RequestCodec`] is the port to
//! the protocol that callers and backend servers speak.

pub mod choose;
pub mod codec;
pub mod config;
mod connect;
pub mod events;
pub mod metrics;
mod plain;
mod pump;
pub mod request;
pub mod retry;
mod send;
pub mod serve;
pub mod server;
pub mod service;

pub use crate::{
    choose::{ChoiceFacts, ServerChoice, choose_server},
    codec::{AnswerFacts, BackendCall, HeadError, RequestCodec, Verdict},
    config::{CallerLimits, RelayConfig, RouteRule, ServiceSplit, WorkspaceRule},
    connect::{CONNECT_LIMIT, ConnectError, connect_server},
    metrics::RelayMetrics,
    request::{CallerHead, Refusal, RefusalKind, RequestId, RequestKind},
    retry::{RepeatBudget, RepeatTerms},
    serve::{StopPhase, serve_callers},
    server::{BackendServer, LoadWord, ServerCounters, ServerId, ServerTable},
    service::{RelayService, RelayShared},
};
