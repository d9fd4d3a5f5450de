//! Connects to backend servers.

mod dial;
mod error;
mod paths;

pub use crate::{
    dial::{ServerDialer, TcpDialer},
    error::ConnectError,
    paths::{CONNECT_LIMIT, ServerPaths, ServerTarget},
};
