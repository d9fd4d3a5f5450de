//! The port through which connections to servers are opened.

use {
    futures::future::{BoxFuture, FutureExt},
    std::{fmt, io, net::SocketAddr},
    tokio::net::TcpStream,
};

/// Opens connections to servers.
pub trait ServerDialer: fmt::Debug + Send + Sync {
    /// Connects to an address; dropping the future gives up.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>>;
}

/// Dials over TCP, with Nagle's algorithm disabled.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer;

impl ServerDialer for TcpDialer {
    fn dial(&self, address: SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> {
        async move {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            Ok(stream)
        }
        .boxed()
    }
}
