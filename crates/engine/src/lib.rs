//! Ports to model engines and plain services, and the HTTP adapters behind them.
//!
//! A port is a trait that hides how a protocol is transported. The controller sends orders through
//! [`EngineControl`], routing reads load and cache reports through [`EngineReports`], and gateways
//! send requests through [`ModelBackend`] and [`ServiceBackend`]. Terms used throughout:
//!
//! - owner: the controller that sends orders to the engines of a fabric domain.
//! - plain service: a service other than the model engines, whose servers come from the host list.
//! - epoch: number of a composition of a serving group; it grows when the members change.
//! - term: fencing number of an owner; an engine ignores orders with a lower term than it has seen.
//! - attempt: one dispatch of a request to one backend server; a retry is another attempt.
//! - not run: the request certainly had no effect and will have none, so it may be retried.
//!
//! docs/INTERFACES.md gives the protocol.

pub mod control;
pub mod http;
pub mod prompt;
pub mod reports;
pub mod request;
pub mod request_frames;
pub mod request_http;
pub mod request_pool;
pub mod wire;

pub use crate::{
    control::{
        EngineControl, EngineError, EngineMember, EngineOrder, EnginePhase, EngineState, LoadOrder,
        OrderAnswer, OrderCommand, ReleaseOrder,
    },
    reports::{CacheEvent, CacheEventKind, CacheEventPage, EngineReports, LoadReport},
    request::{
        CompletionKind, DispatchError, DispatchPermit, FrameStream, HostProbe, ModelAnswer,
        ModelBackend, ModelDispatch, NotRunReason, ProbedKind, ServiceBackend, ServiceDispatch,
        SharedPermit, StreamError, StreamFrame, TokenFrame, WholeAnswer,
    },
    request_http::HttpBackend,
};
