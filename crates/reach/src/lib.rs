//! Connects to backend servers, directly or through another process that reaches them.
//!
//! A process may lose its links to some or all servers while callers, the store and the other
//! processes still reach it. [`ServerPaths`] then asks a peer to connect in its place. The peer
//! passes bytes on and knows nothing of the request: choice of the server, retries, limits and the
//! retry budget stay with the process that has the caller.
//!
//! Terms: a forward is a connection to a server that a peer opened and passes on; the asking process
//! is the one with the caller. A server is detoured while this process does not reach it and a peer
//! does.

mod board;
mod dial;
mod directory;
mod error;
mod forward;
mod message;
mod paths;
mod race;
mod stream;
mod tracker;

pub use crate::{
    board::{PeerBoard, PeerFailure, PeerHost},
    dial::{ServerDialer, TcpDialer},
    directory::{ListedServer, ServerDirectory},
    error::ConnectError,
    forward::ForwardError,
    message::{FORWARD_QUERY, ForwardQuery, ForwardReply, QueryError},
    paths::{CONNECT_LIMIT, PathCounts, ServerPaths, ServerTarget},
    stream::ServerStream,
    tracker::{PathChoice, PathTracker, TrackerSettings},
};
