//! Turns at trying requests again that may be the cause of crashes.

use {
    crate::suspect::SuspectId,
    base::{HostId, Tick, placement_weight},
    std::{collections::BTreeMap, time::Duration},
};

/// How long a turn lasts without an outcome; longer than most requests take to show that they are sound.
const TURN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of turns at a time. Further requests wait until one ends.
const MAX_TURNS: usize = 256;

/// The process that gives the turns at a request, of the live ones. `None` if there are none.
pub fn turn_giver(request: SuspectId, live: &[HostId]) -> Option<&HostId> {
    let key = request.to_string();
    live.iter().max_by_key(|process| placement_weight(&key, process))
}

#[derive(Debug)]
struct RequestTurn {
    holder: HostId,
    until: Tick,
}

/// The turns that this process has given.
#[derive(Debug, Default)]
pub(crate) struct TurnList {
    turns: BTreeMap<SuspectId, RequestTurn>,
}

impl TurnList {
    /// Gives the turn at a request to a process, unless another one has it. The holder may ask again: it
    /// has learned of a crash before this process did.
    pub(crate) fn give(&mut self, request: SuspectId, holder: &HostId, now: Tick) -> bool {
        self.turns.retain(|_, turn| turn.until > now);
        let is_free = match self.turns.get(&request) {
            Some(turn) => turn.holder == *holder,
            None => self.turns.len() < MAX_TURNS,
        };
        if is_free {
            let turn = RequestTurn { holder: holder.clone(), until: now + TURN_TIME };
            self.turns.insert(request, turn);
        }
        is_free
    }

    /// Ends a turn after a crash or a sound answer.
    pub(crate) fn end(&mut self, request: SuspectId) {
        self.turns.remove(&request);
    }
}
