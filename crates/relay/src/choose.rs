//! Which of a service's servers gets a request.

use {
    crate::server::{BackendServer, ServerId},
    base::Tick,
    std::{cmp::Ordering, time::Duration},
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

/// What a choice came to.
#[derive(Clone, Copy, Debug)]
pub enum ServerChoice<'a> {
    /// This server.
    Server(&'a BackendServer),
    /// Servers exist, but each has as much work as it can run at once.
    Full,
    /// There is no server that was not tried.
    Nothing,
}

/// Picks the cheaper of two random servers that are sound and not full; shunned servers only when
/// nothing else is left. All processes see the same words about load, so the least loaded server of
/// all would get everything that arrives until the next word.
pub fn choose_server<'a>(
    servers: impl Iterator<Item = &'a BackendServer>,
    facts: &ChoiceFacts<'_>,
) -> ServerChoice<'a> {
    let untried: Vec<&BackendServer> =
        servers.filter(|server| !facts.tried.contains(&server.id)).collect();
    if untried.is_empty() {
        return ServerChoice::Nothing;
    }
    let sound: Vec<&BackendServer> =
        untried.iter().filter(|server| !server.counters.is_shunned(facts.now)).copied().collect();
    let usable = if sound.is_empty() { untried } else { sound };
    let open: Vec<&BackendServer> =
        usable.into_iter().filter(|server| !server.counters.is_full(facts.now)).collect();
    match cheaper_of_two(&open, facts) {
        Some(server) => ServerChoice::Server(server),
        None => ServerChoice::Full,
    }
}

fn cheaper_of_two<'a>(
    servers: &[&'a BackendServer],
    facts: &ChoiceFacts<'_>,
) -> Option<&'a BackendServer> {
    let count = servers.len() as u64;
    if count <= 2 {
        return servers.iter().min_by(|a, b| compare(a, b, facts)).copied();
    }
    let first = facts.draw % count;
    let second = (first + 1 + (facts.draw / count) % (count - 1)) % count;
    let pair = [servers[first as usize], servers[second as usize]];
    pair.into_iter().min_by(|a, b| compare(a, b, facts))
}

fn compare(a: &BackendServer, b: &BackendServer, facts: &ChoiceFacts<'_>) -> Ordering {
    cost(a, 0, facts).total_cmp(&cost(b, 1, facts))
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
