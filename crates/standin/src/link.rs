//! The network in front of a server, with the faults of a network.
//!
//! Each server listens on a private address; its public address belongs to a [`NetworkLink`] that
//! copies bytes between the two. Faults are made here, so that callers meet them as they would on
//! a network: refused connections, silence, connections that die while new ones work.

use {
    std::{io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{
            TcpListener, TcpSocket, TcpStream,
            tcp::{ReadHalf, WriteHalf},
        },
        sync::watch,
    },
    tokio_util::sync::CancellationToken,
};

const BUFFER_BYTES: usize = 16 * 1024;
const BACKLOG: u32 = 1_024;
/// Pause before another try to take the own port back.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// What a link does with traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// It passes everything.
    #[default]
    Open,
    /// It passes everything, each part this much later.
    Delayed(Duration),
    /// It passes nothing, and keeps connections; what was sent passes once it is open again.
    Silent,
    /// It passes what callers send and keeps back what the server sends.
    OneWay,
    /// It takes connections and resets them.
    Reset,
    /// Nothing listens, and connections are closed.
    Refused,
}

#[derive(Debug)]
struct LinkControl {
    state: watch::Sender<LinkState>,
    /// Counts orders to silence the connections that exist.
    silenced: watch::Sender<u64>,
    /// Counts orders to close the connections that exist.
    closed: watch::Sender<u64>,
}

/// The network in front of one server.
#[derive(Clone, Debug)]
pub struct NetworkLink {
    address: SocketAddr,
    control: Arc<LinkControl>,
}

impl NetworkLink {
    /// Listens on `listen` and passes connections to `upstream` until `cancel`.
    pub fn open(
        listen: SocketAddr,
        upstream: SocketAddr,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        let listener = bind(listen)?.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let control = Arc::new(LinkControl {
            state: watch::Sender::new(LinkState::Open),
            silenced: watch::Sender::new(0),
            closed: watch::Sender::new(0),
        });
        let link = Self { address, control };
        tokio::spawn(accept_until(link.clone(), listener, upstream, cancel));
        Ok(link)
    }

    /// The public address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the link does with traffic.
    pub fn set_state(&self, state: LinkState) {
        self.control.state.send_replace(state);
    }

    /// Makes the connections that exist silent for good, while new ones work.
    pub fn silence_connections(&self) {
        self.control.silenced.send_modify(|count| *count += 1);
    }

    /// Closes the connections that exist.
    pub fn close_connections(&self) {
        self.control.closed.send_modify(|count| *count += 1);
    }
}

fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn accept_until(
    link: NetworkLink,
    listener: TcpListener,
    upstream: SocketAddr,
    cancel: CancellationToken,
) {
    let serving = serve(&link, listener, upstream, &cancel);
    tokio::select! {
        () = cancel.cancelled() => {}
        () = serving => {}
    }
}

async fn serve(
    link: &NetworkLink,
    first: TcpListener,
    upstream: SocketAddr,
    cancel: &CancellationToken,
) {
    let mut state = link.control.state.subscribe();
    let mut listener = Some(first);
    loop {
        let now = *state.borrow_and_update();
        match (now, listener.take()) {
            (LinkState::Refused, open) => {
                drop(open);
                // A bound socket that does not listen refuses callers and keeps the port.
                let _holder = hold_port(link.address).await;
                let _ = state.wait_for(|state| *state != LinkState::Refused).await;
            }
            (LinkState::Silent, kept) => {
                listener = kept;
                let _ = state.changed().await;
            }
            (_, None) => listener = Some(listen_again(link.address).await),
            (_, Some(open)) => {
                tokio::select! {
                    accepted = open.accept() => {
                        if let Ok((stream, _)) = accepted {
                            tokio::spawn(pass(link.clone(), stream, upstream, cancel.clone()));
                        }
                    }
                    _ = state.changed() => {}
                }
                listener = Some(open);
            }
        }
    }
}

async fn hold_port(address: SocketAddr) -> TcpSocket {
    loop {
        match bind(address) {
            Ok(socket) => return socket,
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

async fn listen_again(address: SocketAddr) -> TcpListener {
    loop {
        match bind(address).and_then(|socket| socket.listen(BACKLOG)) {
            Ok(listener) => return listener,
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
    }
}

/// Passes one connection until it ends at either side or the link closes it.
async fn pass(
    link: NetworkLink,
    mut client: TcpStream,
    upstream: SocketAddr,
    cancel: CancellationToken,
) {
    let mut state = link.control.state.subscribe();
    let mut closed = link.control.closed.subscribe();
    closed.mark_unchanged();
    let gate =
        Gate { state: link.control.state.subscribe(), silenced: marked(&link), answers: false };
    tokio::select! {
        _ = copy_both(&mut client, upstream, gate) => {}
        ended = state.wait_for(|state| matches!(state, LinkState::Refused | LinkState::Reset)) => {
            if ended.is_ok_and(|state| *state == LinkState::Reset) {
                // The close that follows sends a reset; if the caller is gone, none is needed.
                let _ = client.set_zero_linger();
            }
        }
        _ = closed.changed() => {}
        () = cancel.cancelled() => {}
    }
}

fn marked(link: &NetworkLink) -> watch::Receiver<u64> {
    let mut silenced = link.control.silenced.subscribe();
    silenced.mark_unchanged();
    silenced
}

async fn copy_both(client: &mut TcpStream, upstream: SocketAddr, gate: Gate) -> io::Result<()> {
    let mut server = TcpStream::connect(upstream).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let up = async {
        copy(client_read, server_write, gate.clone()).await?;
        // The client sends no more; the server still may.
        std::future::pending::<io::Result<()>>().await
    };
    let down = copy(server_read, client_write, Gate { answers: true, ..gate.clone() });
    tokio::select! {
        ended = up => ended,
        ended = down => ended,
    }
}

async fn copy(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, mut gate: Gate) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).await?;
        // The servers behind the link send small parts under Nagle's algorithm; without an
        // acknowledgement at once each part would wait for a delayed one.
        from.as_ref().set_quickack(true)?;
        gate.passed().await;
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..count]).await?;
    }
}

/// Holds back the bytes of one direction of a connection.
#[derive(Clone)]
struct Gate {
    state: watch::Receiver<LinkState>,
    silenced: watch::Receiver<u64>,
    /// Whether the bytes come from the server.
    answers: bool,
}

impl Gate {
    /// Waits while the link keeps this direction back; for ever when the connection was silenced.
    async fn passed(&mut self) {
        let answers = self.answers;
        let holds = |state: &LinkState| match state {
            LinkState::Silent => true,
            LinkState::OneWay => answers,
            _ => false,
        };
        let state = self.state.wait_for(|state| !holds(state)).await.map(|state| *state);
        if self.silenced.has_changed().unwrap_or(false) {
            std::future::pending::<()>().await;
        }
        if let Ok(LinkState::Delayed(span)) = state {
            tokio::time::sleep(span).await;
        }
    }
}
