//! The ways of routing that were weighed, each as a policy.

use {
    route::{
        BoundedAffinity, ChoicePolicy, ChoiceRequest, PrefixTable, RouteTarget,
        choose::sample_positions,
    },
    std::sync::Arc,
};

/// The ways that were weighed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RoutingWay {
    Random,
    LeastReported,
    TwoChoices,
    PureAffinity,
    Chosen,
    /// The chosen policy, blind to how fast groups make tokens.
    NoPace,
    /// The chosen policy, blind to its own recent choices.
    NoHerd,
    /// The chosen policy, blind to prefixes.
    NoAffinity,
}

impl RoutingWay {
    pub(crate) const ALL: [Self; 8] = [
        Self::Random,
        Self::LeastReported,
        Self::TwoChoices,
        Self::PureAffinity,
        Self::Chosen,
        Self::NoPace,
        Self::NoHerd,
        Self::NoAffinity,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastReported => "least reported load",
            Self::TwoChoices => "two choices",
            Self::PureAffinity => "pure affinity",
            Self::Chosen => "chosen",
            Self::NoPace => "chosen without pace",
            Self::NoHerd => "chosen without own recent choices",
            Self::NoAffinity => "chosen without affinity",
        }
    }

    pub(crate) fn policy(self, prefixes: &Arc<PrefixTable>) -> Box<dyn ChoicePolicy> {
        match self {
            Self::Random => Box::new(LeastOf { candidates: 1 }),
            Self::LeastReported => Box::new(LeastOf { candidates: usize::MAX }),
            Self::TwoChoices => Box::new(LeastOf { candidates: 2 }),
            Self::PureAffinity => Box::new(Home),
            Self::Chosen | Self::NoPace => Box::new(BoundedAffinity::new(Arc::clone(prefixes))),
            Self::NoHerd => Box::new(BoundedAffinity {
                herd_weight: 0.0,
                ..BoundedAffinity::new(Arc::clone(prefixes))
            }),
            Self::NoAffinity => Box::new(BoundedAffinity {
                acceptable_load: f64::NEG_INFINITY,
                load_slack: f64::NEG_INFINITY,
                ..BoundedAffinity::new(Arc::clone(prefixes))
            }),
        }
    }

    /// Whether a gateway takes its own work out of a report and counts it itself.
    pub(crate) fn counts_own(self) -> bool {
        matches!(self, Self::Chosen | Self::NoPace | Self::NoHerd | Self::NoAffinity)
    }
}

/// The least reported load of some random candidates; one candidate is random routing.
struct LeastOf {
    candidates: usize,
}

impl ChoicePolicy for LeastOf {
    fn pick(
        &self,
        request: &ChoiceRequest<'_>,
        targets: &[Arc<RouteTarget>],
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let reported = |position: &usize| {
            targets[*position].counters.other_gateways_load(request.now).map_or(0, |(load, _)| load)
        };
        sample_positions(request.draw, targets.len(), self.candidates, allowed).min_by_key(reported)
    }
}

/// Always the group that the prefix is drawn to.
struct Home;

impl ChoicePolicy for Home {
    fn pick(
        &self,
        request: &ChoiceRequest<'_>,
        targets: &[Arc<RouteTarget>],
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let prefix = *request.prefixes.last()?;
        let rendezvous_score =
            |position: &usize| targets[*position].tag.rendezvous_score(prefix, 0);
        (0..targets.len()).filter(|position| allowed(*position)).max_by_key(rendezvous_score)
    }
}
