//! The `gf-gateway` daemon, which accepts requests from callers and dispatches them to backend
//! servers: model engines in serving groups, and servers of plain services.
//!
//! Terms used in this crate:
//!
//! - **State head**: the small row that changes with every change of the durable state. Its number
//!   identifies a version of that state.
//! - **Current**: the gateway has evidence, not older than the freshness window, that its state
//!   head is the newest. Otherwise it is **isolated** and refuses new work.
//! - **Snapshot**: an immutable copy of the known state, see [`snapshot::RoutingSnapshot`].
//! - **Serving group** and **epoch**: engines that serve a model together; the epoch numbers the
//!   successive compositions of a group.
//! - **Class**: a model or a plain service; requests of one class share an admission queue.
//! - **Target**: a serving group or a backend server to which a request can be sent. It is **open**
//!   while it may get new requests: it serves, is not leaving, and all its members are available.
//! - **Domain record**: the list of the serving groups in one fabric domain, published by its
//!   owner, which is one of the controllers.
//! - **Prefix**: the start of a prompt. An engine that has a prefix in its cache starts faster.
//! - **Run**: the handling of one request, with all its **attempts** (dispatches).
//! - **Claim**: the exclusive right, stored in the table service, to run the request with an
//!   idempotency key.
//! - **Outcome**: whether a request without a complete answer was not run, may have run (unknown) or
//!   got part of a stream (cut).
//! - **View**: the numbered set of member nodes. **Ticket**: an operator's accepted change of the
//!   desired state.
//! - **Share**: the part of a workspace's limit that this gateway may use. A gateway sends share
//!   requests to the grantor, through its controller, and receives grants.

pub mod addresses;
pub mod admission_queue;
pub mod attempt;
pub mod callers;
pub mod choice;
pub mod claims;
pub mod collector;
pub mod command;
pub mod completion;
pub mod controller;
pub mod controller_tcp;
pub mod core;
pub mod daemon;
pub mod evidence;
pub mod health;
pub mod logging;
pub mod members;
pub mod metrics;
pub mod permit;
pub mod pick;
pub mod poll;
pub mod ports;
pub mod probe;
pub mod record;
pub mod refusal;
pub mod reports;
pub mod request_context;
pub mod run;
pub mod second_attempt;
pub mod second_call;
pub mod sequence;
pub mod serve;
pub mod server;
pub mod service_run;
pub mod service_serve;
pub mod shares;
pub mod silence;
pub mod sink;
pub mod snapshot;
pub mod snapshot_build;
pub mod state_cell;
pub mod stopping;
pub mod workspace;
