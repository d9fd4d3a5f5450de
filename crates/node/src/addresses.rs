//! Which addresses callers should use.

use {
    crate::members::MemberTable,
    base::Tick,
    rand::seq::SliceRandom,
    smol_str::SmolStr,
    std::{net::SocketAddr, time::Duration},
};

/// How long callers keep an answer. Some keep it three times as long, which still ends before a
/// stopping process closes its port.
pub const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Most addresses in an answer.
const MAX_ADDRESSES: usize = 64;

/// A caller's question.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuestion {
    /// The host whose requests it wants to send.
    pub host: SmolStr,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Where to connect.
    pub addresses: Vec<SocketAddr>,
    /// How long to keep the answer.
    pub ttl: Duration,
}

/// The living processes' addresses, in random order.
pub fn answer_addresses(members: &MemberTable, now: Tick) -> AddressAnswer {
    let mut addresses: Vec<SocketAddr> =
        members.live_members(now).map(|(_, row)| row.callers).collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES);
    AddressAnswer { addresses, ttl: ADDRESS_TTL }
}
