//! Which of a service's servers gets a request.

use {
    crate::server::{BackendServer, ServerId},
    base::Tick,
    std::time::Duration,
};

/// Time to a first byte that adds as much to a server's cost as one more request; keeps slow
/// servers from looking idle.
const SLOW_UNIT: Duration = Duration::from_millis(40);

/// What a choice looks at beside the servers.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceFacts<'a> {
    /// Servers that this request was sent to already.
    pub tried: &'a [ServerId],
    /// A random draw; decides between equals, so that processes with the same view spread out.
    pub draw: u64,
    /// The present time.
    pub now: Tick,
}

/// Picks the server with the least expected wait; shunned servers only when nothing else is left.
pub fn choose_server<'a>(
    servers: impl Iterator<Item = &'a BackendServer>,
    facts: &ChoiceFacts<'_>,
) -> Option<&'a BackendServer> {
    let untried = servers.filter(|server| !facts.tried.contains(&server.id));
    let ranked = untried.enumerate().map(|(place, server)| {
        let shunned = server.counters.is_shunned(facts.now);
        (shunned, cost(server, place, facts), server)
    });
    let best = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
    best.map(|(_, _, server)| server)
}

/// Requests ahead, with up to one more for a slow first byte each, and up to one at random.
fn cost(server: &BackendServer, place: usize, facts: &ChoiceFacts<'_>) -> f64 {
    let slow = server.counters.first_byte().as_secs_f64() / SLOW_UNIT.as_secs_f64();
    server.counters.load(facts.now) + slow + spread(facts.draw, place)
}

/// A number from 0 to 1 from the draw and the place.
fn spread(draw: u64, place: usize) -> f64 {
    let mixed = (draw ^ (place as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
