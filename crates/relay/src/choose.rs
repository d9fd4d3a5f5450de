//! Chooses the server of a service that gets a request.

use {
    crate::{
        costs::{WorkFacts, usual_pace},
        server::{BackendServer, ServerId},
    },
    base::Tick,
    cost::{pick_candidate, prefers_first},
    std::time::Duration,
};

/// Mean response time that costs as much as one more request. Without this cost, a slow server with
/// few requests would look idle.
const RESPONSE_TIME_COST_UNIT: Duration = Duration::from_millis(40);

/// Cost difference, as a share of a server's slots, at which the cheaper of two servers is chosen
/// three times out of four. Load reports are some hundred milliseconds old and equal on all
/// processes: with a sharper choice all processes pick the same groups until the next report. In a
/// simulation with reports every 0.4 s, 22 groups and 103 processes, 0.2 to 0.4 gave the fewest
/// requests at the fullest groups.
const COST_SCALE_PER_SLOT: f64 = 0.2;
/// Slots assumed for a server that has not reported them.
const DEFAULT_SLOTS: f64 = 16.0;

/// Inputs of [`choose_server`] other than the servers.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceFacts<'a> {
    /// Servers that this request was sent to already.
    pub tried: &'a [ServerId],
    /// A random number. It picks the pair that is compared and decides between its two servers, so
    /// that processes with equal load reports choose different servers.
    pub sample: u64,
    /// Time at which load and back-off are evaluated.
    pub now: Tick,
    /// What the request is expected to cost model engines; `None` at other servers.
    pub work: Option<&'a WorkFacts>,
}

/// Result of [`choose_server`].
#[derive(Clone, Copy, Debug)]
pub enum ServerChoice<'a> {
    /// The server to send the request to.
    Server(&'a BackendServer),
    /// Every candidate has as much work as it can run at once.
    Full,
    /// Every server has been tried already or accepts no requests, or there is none.
    NoCandidate,
}

impl ChoiceFacts<'_> {
    /// Whether the server accepts requests and was not tried.
    pub(crate) fn allows(&self, server: &BackendServer) -> bool {
        server.counters.accepts(self.now) && !self.tried.contains(&server.id)
    }
}

/// Compares two random servers that are healthy and not full, and prefers the cheaper one: of model engines
/// the one whose first event is expected to be earlier. Servers
/// in back-off are considered only if no other is left. Does not take the least loaded server of
/// all: load reports are equal on all processes, so it would get all requests until the next report.
pub fn choose_server<'a>(
    servers: impl Iterator<Item = &'a BackendServer>,
    facts: &ChoiceFacts<'_>,
) -> ServerChoice<'a> {
    let untried: Vec<&BackendServer> = servers.filter(|server| facts.allows(server)).collect();
    if untried.is_empty() {
        return ServerChoice::NoCandidate;
    }
    let healthy: Vec<&BackendServer> =
        untried.iter().filter(|server| !server.counters.in_backoff(facts.now)).copied().collect();
    let usable = if healthy.is_empty() { untried } else { healthy };
    let with_capacity: Vec<&BackendServer> =
        usable.into_iter().filter(|server| !server.counters.is_full(facts.now)).collect();
    let chosen = match facts.work {
        Some(work) => earlier_of_two(&with_capacity, work, facts),
        None => cheaper_of_two(&with_capacity, facts),
    };
    match chosen {
        Some(server) => ServerChoice::Server(server),
        None => ServerChoice::Full,
    }
}

/// Chooses among servers without a limit, and among those with one that have room for a request below
/// it. One of each is compared, so that the room is used before the other servers fill up: a server
/// with a limit has room only now and then, and would rarely be one of two that are picked at random.
pub fn choose_beside_limits<'a>(
    unlimited: impl Iterator<Item = &'a BackendServer>,
    limited: impl Iterator<Item = &'a BackendServer>,
    facts: &ChoiceFacts<'_>,
) -> ServerChoice<'a> {
    let (unlimited, limited) = (choose_server(unlimited, facts), choose_server(limited, facts));
    match (unlimited, limited) {
        (ServerChoice::Server(a), ServerChoice::Server(b)) => {
            let in_backoff = |server: &BackendServer| server.counters.in_backoff(facts.now);
            let takes_b = match (in_backoff(a), in_backoff(b)) {
                (false, true) => false,
                (true, false) => true,
                _ => prefers(b, a, facts),
            };
            ServerChoice::Server(if takes_b { b } else { a })
        }
        (_, ServerChoice::Server(server)) | (ServerChoice::Server(server), _) => {
            ServerChoice::Server(server)
        }
        (ServerChoice::Full, _) | (_, ServerChoice::Full) => ServerChoice::Full,
        _ => ServerChoice::NoCandidate,
    }
}

/// Compares two servers by the expected time to the first event.
fn earlier_of_two<'a>(
    servers: &[&'a BackendServer],
    work: &WorkFacts,
    facts: &ChoiceFacts<'_>,
) -> Option<&'a BackendServer> {
    let usual = usual_pace(servers.iter().copied(), facts.now);
    let paces: Vec<f64> =
        servers.iter().map(|server| server.counters.pace(usual, facts.now)).collect();
    let wait = |index: usize| work.first_event(servers[index], usual, facts.now);
    pick_candidate(&paces, wait, facts.sample).map(|index| servers[index])
}

fn cheaper_of_two<'a>(
    servers: &[&'a BackendServer],
    facts: &ChoiceFacts<'_>,
) -> Option<&'a BackendServer> {
    let count = servers.len() as u64;
    if count < 2 {
        return servers.first().copied();
    }
    let first = facts.sample % count;
    let second = (first + 1 + (facts.sample / count) % (count - 1)) % count;
    let (first, second) = (servers[first as usize], servers[second as usize]);
    Some(if prefers(first, second, facts) { first } else { second })
}

/// Whether `a` gets the request rather than `b`. The probability grows with the difference of their
/// costs.
fn prefers(a: &BackendServer, b: &BackendServer, facts: &ChoiceFacts<'_>) -> bool {
    if let Some(work) = facts.work {
        let usual = usual_pace([a, b].into_iter(), facts.now);
        let wait = |server| work.first_event(server, usual, facts.now);
        return prefers_first(wait(a), wait(b), facts.sample);
    }
    let slots = a.counters.slots().map_or(DEFAULT_SLOTS, f64::from);
    let cost_difference = cost(b, facts) - cost(a, facts);
    let probability = 1.0 / (1.0 + (-cost_difference / (slots * COST_SCALE_PER_SLOT)).exp());
    fraction(facts.sample) < probability
}

/// Estimated requests at the server, plus one for each [`RESPONSE_TIME_COST_UNIT`] of its mean
/// response time.
fn cost(server: &BackendServer, facts: &ChoiceFacts<'_>) -> f64 {
    let slow =
        server.counters.mean_response_time().as_secs_f64() / RESPONSE_TIME_COST_UNIT.as_secs_f64();
    server.counters.load(facts.now) + slow
}

/// Maps `sample` to a number from 0 to 1, independently of the pair of servers that it selects.
fn fraction(sample: u64) -> f64 {
    let mixed = (sample ^ 0x9e37_79b9_7f4a_7c15).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}
