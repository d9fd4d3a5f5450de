//! The compared routing strategies and their policies.

use {
    route::{
        BoundedAffinity, ChoicePolicy, ChoiceRequest, PrefixTable, RouteTarget,
        choose::sample_positions,
    },
    std::sync::Arc,
};

/// The compared routing strategies; the table column "way" shows their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RoutingStrategy {
    Random,
    LeastReported,
    TwoChoices,
    PureAffinity,
    /// [`BoundedAffinity`] with its default settings, the policy that gateways use.
    Default,
    /// The default policy without the measured time between tokens.
    NoTokenInterval,
    /// The default policy without the gateway's own recent choices.
    NoRecentChoices,
    /// The default policy without prefix affinity.
    NoAffinity,
}

impl RoutingStrategy {
    pub(crate) const ALL: [Self; 8] = [
        Self::Random,
        Self::LeastReported,
        Self::TwoChoices,
        Self::PureAffinity,
        Self::Default,
        Self::NoTokenInterval,
        Self::NoRecentChoices,
        Self::NoAffinity,
    ];

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::LeastReported => "least reported load",
            Self::TwoChoices => "two choices",
            Self::PureAffinity => "pure affinity",
            Self::Default => "chosen",
            Self::NoTokenInterval => "chosen without pace",
            Self::NoRecentChoices => "chosen without own recent choices",
            Self::NoAffinity => "chosen without affinity",
        }
    }

    pub(crate) fn policy(self, prefixes: &Arc<PrefixTable>) -> Box<dyn ChoicePolicy> {
        match self {
            Self::Random => Box::new(LeastReportedOfSample { sample_size: 1 }),
            Self::LeastReported => Box::new(LeastReportedOfSample { sample_size: usize::MAX }),
            Self::TwoChoices => Box::new(LeastReportedOfSample { sample_size: 2 }),
            Self::PureAffinity => Box::new(HomeOnly),
            Self::Default | Self::NoTokenInterval => {
                Box::new(BoundedAffinity::new(Arc::clone(prefixes)))
            }
            Self::NoRecentChoices => Box::new(BoundedAffinity {
                recent_choice_weight: 0.0,
                ..BoundedAffinity::new(Arc::clone(prefixes))
            }),
            Self::NoAffinity => Box::new(BoundedAffinity {
                acceptable_load: f64::NEG_INFINITY,
                load_slack: f64::NEG_INFINITY,
                ..BoundedAffinity::new(Arc::clone(prefixes))
            }),
        }
    }

    /// Whether a gateway subtracts its own requests from load reports and counts them itself.
    pub(crate) fn excludes_own_load(self) -> bool {
        matches!(
            self,
            Self::Default | Self::NoTokenInterval | Self::NoRecentChoices | Self::NoAffinity
        )
    }
}

/// Chooses the target with the least reported load among a random sample of the allowed ones.
struct LeastReportedOfSample {
    /// Number of targets in the sample: 1 means random routing, `usize::MAX` compares all targets.
    sample_size: usize,
}

impl ChoicePolicy for LeastReportedOfSample {
    fn pick(
        &self,
        request: &ChoiceRequest<'_>,
        targets: &[Arc<RouteTarget>],
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let reported = |position: &usize| {
            targets[*position].counters.other_gateways_load(request.now).map_or(0, |(load, _)| load)
        };
        sample_positions(request.random_number, targets.len(), self.sample_size, allowed)
            .min_by_key(reported)
    }
}

/// Always chooses the prefix's first home by rendezvous hashing, whatever its load.
struct HomeOnly;

impl ChoicePolicy for HomeOnly {
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
