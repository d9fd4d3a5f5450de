//! Selects the addresses that callers should use.

use {
    crate::members::MemberTable,
    base::Tick,
    rand::seq::SliceRandom,
    smol_str::SmolStr,
    std::{net::SocketAddr, time::Duration},
};

/// How long callers cache a response. Short, so that they stop using a stopping process before it
/// closes its port. Some callers cache a response three times as long.
pub const ADDRESS_TTL: Duration = Duration::from_secs(2);
/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// A caller's query for addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressQuery {
    /// The host name that the caller wants to send requests to. It does not affect the response:
    /// every process serves every host name.
    pub host: SmolStr,
}

/// The response to an address query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AddressAnswer {
    /// Addresses of live processes, in random order.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller should cache the response.
    pub ttl: Duration,
}

/// The callers' addresses of all members that they can use, in random order. `has_platform` says whether the
/// platform answers this process, see [`MemberTable::callable_members`].
pub fn answer_addresses(members: &MemberTable, now: Tick, has_platform: bool) -> AddressAnswer {
    let callable = members.callable_members(now, has_platform);
    let mut addresses: Vec<SocketAddr> = callable.map(|(_, row)| row.callers).collect();
    addresses.shuffle(&mut rand::rng());
    addresses.truncate(MAX_ADDRESSES);
    AddressAnswer { addresses, ttl: ADDRESS_TTL }
}
