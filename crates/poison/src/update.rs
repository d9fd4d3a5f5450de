//! What processes tell each other.

use {crate::suspect::SuspectId, base::HostId, std::time::Duration};

base::value_type!(
    /// A request that a server had not begun to answer when it crashed.
    pub struct CrashNotice {
        /// The server's incarnation.
        pub server: HostId,
        /// Tells prompts apart, see [`RequestSuspects::prompt`](crate::RequestSuspects::prompt).
        pub prompt: SuspectId,
        /// The suspects of the request, see [`RequestSuspects::all`](crate::RequestSuspects::all).
        pub suspects: Vec<SuspectId>,
        /// Time since the crash.
        pub age: Duration,
    }
);

base::value_type!(
    /// A suspect that is named by crashes but was sound.
    pub struct SoundNotice {
        /// The suspect.
        pub suspect: SuspectId,
        /// Time since it was last seen to be sound.
        pub age: Duration,
    }
);

base::value_type!(
    /// A refused part or request.
    pub struct RefusalNotice {
        /// What is refused.
        pub suspect: SuspectId,
        /// Time since the decision.
        pub age: Duration,
        /// How long it is still refused.
        pub left: Duration,
        /// How long it is refused in all.
        pub term: Duration,
        /// Whether it was known to have been sound before its crashes.
        pub was_sound: bool,
        /// A number of the process that may try it again: of those that decided at the same
        /// time, the one with the lowest.
        pub probe_rank: u64,
    }
);

base::value_type!(
    /// What other processes are told. Receiving it twice has no effect.
    #[derive(Default)]
    pub struct PoisonUpdate {
        /// Requests at crashed servers.
        pub crashes: Vec<CrashNotice>,
        /// Suspects that are sound.
        pub sound: Vec<SoundNotice>,
        /// Refused parts and requests.
        pub refused: Vec<RefusalNotice>,
    }
);

impl PoisonUpdate {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.sound.is_empty() && self.refused.is_empty()
    }
}
