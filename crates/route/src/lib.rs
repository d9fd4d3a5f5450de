//! Decisions on the request path: target choice, retries, workspace limits and fair queueing.
//!
//! Nothing here does I/O or reads a clock: callers pass the time as [`base::Tick`]s and random
//! numbers as arguments. The modules that every request passes through ([`target`], [`choose`],
//! [`affinity`], [`budget`], [`admit`]) take no locks: tables are immutable and counters atomic.
//!
//! A *ticket* is a change of the configuration that an operator submitted and that was accepted. A
//! *view* is a numbered set of the nodes that are members of the cluster.

pub mod admit;
pub mod affinity;
pub mod budget;
pub mod choose;
mod load;
pub mod queue;
pub mod retry;
pub mod share_request;
pub mod shares;
pub mod target;

pub use crate::{
    admit::{AdmitRefusal, ShareGate, StartGuard},
    affinity::{PrefixKey, PrefixTable, TargetTag},
    budget::RetryBudget,
    choose::{BoundedAffinity, ChoicePolicy, ChoiceRequest, TargetChoice, choose_target},
    queue::{FairQueue, PushOutcome, QueueEntry, QueuePlace, QueueSettings},
    retry::{AttemptEnd, FinalOutcome, NextStep, RequestFacts, next_step},
    share_request::ShareRequester,
    shares::{Share, ShareGrantor, ShareRequest, ShareSettings},
    target::{
        InFlightGuard, LoadReport, RouteTable, RouteTarget, TargetCounters, TargetList, TargetSpec,
    },
};
