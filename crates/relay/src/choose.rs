//! Which of a service's servers gets a request.

use {
    crate::server::{BackendServer, ServerId},
    base::Tick,
    std::time::Duration,
};

/// Time to a first byte that adds as much to a server's cost as one more request; keeps slow
/// servers from looking idle.
const SLOW_UNIT: Duration = Duration::from_millis(40);

/// Difference of costs, as a part of a server's slots, at which the cheaper of two servers is chosen
/// three times out of four. Words about load are some hundred milliseconds old and the same for all
/// processes: a sharper choice sends everybody to the same groups until the next word. Simulated with
/// words of 0.4 s, 22 groups and 103 processes: 0.2 to 0.4 had the fewest requests at the fullest
/// groups.
const DOUBT_PART: f64 = 0.2;
/// Slots of a server that has not told them.
const USUAL_SLOTS: f64 = 16.0;

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
    if count < 2 {
        return servers.first().copied();
    }
    let first = facts.draw % count;
    let second = (first + 1 + (facts.draw / count) % (count - 1)) % count;
    let (first, second) = (servers[first as usize], servers[second as usize]);
    Some(if prefers(first, second, facts) { first } else { second })
}

/// Whether `a` gets the request rather than `b`: the more likely, the cheaper it is.
fn prefers(a: &BackendServer, b: &BackendServer, facts: &ChoiceFacts<'_>) -> bool {
    let slots = a.counters.slots().map_or(USUAL_SLOTS, f64::from);
    let saved = cost(b, facts) - cost(a, facts);
    let chance = 1.0 / (1.0 + (-saved / (slots * DOUBT_PART)).exp());
    fraction(facts.draw) < chance
}

/// Requests ahead, with up to one more for a slow first byte each.
fn cost(server: &BackendServer, facts: &ChoiceFacts<'_>) -> f64 {
    let slow = server.counters.first_byte().as_secs_f64() / SLOW_UNIT.as_secs_f64();
    server.counters.load(facts.now) + slow
}

/// A number from 0 to 1 that does not go with the pair that the draw gives.
fn fraction(draw: u64) -> f64 {
    let mixed = (draw ^ 0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
