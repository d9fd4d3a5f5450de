//! Chooses the target of a request.
//!
//! The *homes* of a prefix are the targets that are preferred for requests with this prefix when no
//! target is known to cache more of the prompt. They are selected by rendezvous hashing, so that
//! all gateways send the prefix to the same few targets, which then cache it. A prefix has one
//! home, or several if a large part of the recent requests has it. A home with too much load is
//! not used.

use {
    crate::{
        affinity::{PrefixKey, PrefixTable, mix},
        target::RouteTarget,
    },
    base::Tick,
    std::{sync::Arc, time::Duration},
};

/// Upper bound on prefix table lookups per prompt.
const MAX_PREFIX_LOOKUPS: usize = 16;
/// Upper bound on the random candidates of [`BoundedAffinity`].
pub const MAX_CANDIDATES: usize = 8;
/// Length in blocks of the start of a prompt, the prefix that determines its homes and for which
/// requests are counted.
const START_BLOCKS: usize = 4;

/// The properties of a request that the choice of its target depends on.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Hashes of the prompt's prefixes, shortest first; empty for requests that use no prefix
    /// cache.
    pub prefixes: &'a [PrefixKey],
    /// Indexes of the targets that earlier attempts of this request were sent to.
    pub tried: &'a [usize],
    /// A uniformly random number, from which the candidates are selected.
    pub random_number: u64,
    /// The current time.
    pub now: Tick,
}

/// The result of [`choose_target`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetChoice {
    /// Index of the chosen target in the list.
    Target(usize),
    /// All usable targets have their slots taken; the request has to wait.
    Full,
    /// No target accepts this request.
    Nothing,
}

/// A strategy that picks one of several targets.
///
/// [`choose_target`] enforces the rules that hold for every policy, such as free slots and health,
/// through `allowed`.
pub trait ChoicePolicy: Send + Sync {
    /// Returns the index of a target for which `allowed` holds, or `None` when there is none.
    fn pick(
        &self,
        request: &ChoiceRequest<'_>,
        targets: &[Arc<RouteTarget>],
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<usize>;
}

/// Chooses an open target that has a free slot and was not tried before.
///
/// Suspect targets are used only when no other target is open. Just before it sends the request,
/// the caller checks again that the gateway knows the current view and the target is still open.
pub fn choose_target(
    policy: &dyn ChoicePolicy,
    request: &ChoiceRequest<'_>,
    targets: &[Arc<RouteTarget>],
) -> TargetChoice {
    let open = |position: usize| targets[position].is_open() && !request.tried.contains(&position);
    let has_room = |position: usize| {
        let target = &targets[position];
        target.counters.in_flight() < target.spec.slots
    };
    let not_suspect = |position: usize| !targets[position].counters.is_suspect(request.now);
    let best = |position: usize| open(position) && has_room(position) && not_suspect(position);
    if let Some(choice) = pick(policy, request, targets, &best) {
        return choice;
    }
    let any_not_suspect =
        (0..targets.len()).any(|position| open(position) && not_suspect(position));
    if any_not_suspect {
        return TargetChoice::Full;
    }
    let last_resort = |position: usize| open(position) && has_room(position);
    if let Some(choice) = pick(policy, request, targets, &last_resort) {
        return choice;
    }
    match (0..targets.len()).any(open) {
        true => TargetChoice::Full,
        false => TargetChoice::Nothing,
    }
}

/// Applies the policy, rejects a choice that is not allowed, and counts the choice.
fn pick(
    policy: &dyn ChoicePolicy,
    request: &ChoiceRequest<'_>,
    targets: &[Arc<RouteTarget>],
    allowed: &dyn Fn(usize) -> bool,
) -> Option<TargetChoice> {
    let position = policy.pick(request, targets, allowed).filter(|position| allowed(*position))?;
    targets[position].counters.note_chosen(request.now);
    Some(TargetChoice::Target(position))
}

/// The default policy: takes the least loaded of a few random candidates, unless a target that
/// probably caches the prompt's prefix is lightly loaded or has only slightly more load.
#[derive(Clone, Debug)]
pub struct BoundedAffinity {
    /// The targets that cache each prefix, as far as known.
    pub prefixes: Arc<PrefixTable>,
    /// Number of random candidates, 1 to [`MAX_CANDIDATES`], in addition to targets that cache the
    /// prefix.
    pub candidates: usize,
    /// A target that caches the prefix is used while its load per slot is at most this. The limit
    /// exceeds 1 because the load includes weighted recent choices and so passes 1 long before all
    /// slots are taken.
    pub acceptable_load: f64,
    /// A target that caches the prefix is used while its load per slot exceeds that of the least
    /// loaded candidate by at most this.
    pub load_slack: f64,
    /// Scales the number of homes of a prefix (see the module documentation), which is the fraction
    /// of recent requests that have the prefix, times the number of targets, times this factor,
    /// rounded up.
    pub home_factor: f64,
    /// Requests added to a target's load for each recent choice of this gateway, to account for
    /// other gateways that probably chose the same target since the last report; about the number
    /// of gateways.
    pub recent_choice_weight: f64,
    /// Half-life of the weight with which the reported load of other gateways counts.
    pub report_half_life: Duration,
}

impl BoundedAffinity {
    /// Creates the policy with the default settings.
    pub fn new(prefixes: Arc<PrefixTable>) -> Self {
        Self {
            prefixes,
            candidates: 2,
            acceptable_load: 1.4,
            load_slack: 0.25,
            home_factor: 1.25,
            recent_choice_weight: 12.0,
            report_half_life: Duration::from_secs(5),
        }
    }

    /// Estimates the requests per slot of a target.
    ///
    /// A target that needs longer per token than `shortest_interval_micros` counts as
    /// proportionally more loaded.
    pub fn load(
        &self,
        target: &RouteTarget,
        shortest_interval_micros: Option<f64>,
        now: Tick,
    ) -> f64 {
        let counters = &target.counters;
        let own_load = f64::from(counters.in_flight());
        let other_gateways_load =
            counters.other_gateways_load(now).map_or(0.0, |(reported, age)| {
                let half_lives = age.as_secs_f64() / self.report_half_life.as_secs_f64();
                f64::from(reported) * 0.5_f64.powf(half_lives)
            });
        let work = own_load
            + other_gateways_load
            + self.recent_choice_weight * counters.recent_choices(now);
        let relative_interval = match (counters.token_interval_micros(), shortest_interval_micros) {
            (Some(interval), Some(shortest_interval)) => interval / shortest_interval,
            _ => 1.0,
        };
        work * relative_interval / f64::from(target.spec.slots.max(1))
    }

    /// Returns the target that probably caches most of the prompt, with its load.
    ///
    /// A target that caches more than the start of the prompt is preferred. Otherwise, if the start
    /// has several homes, the less loaded of two random ones is returned; if it has one home, a
    /// target known to cache the start or a part of it, or else the home.
    fn affinity_target(
        &self,
        request: &ChoiceRequest<'_>,
        targets: &[Arc<RouteTarget>],
        allowed: &dyn Fn(usize) -> bool,
        load: &dyn Fn(usize) -> f64,
    ) -> Option<(usize, f64)> {
        let (start, longer) = split_start(request.prefixes)?;
        let demand = self.prefixes.demand(start, request.now);
        self.prefixes.note_request(start, request.now);
        let caching_target = |prefixes| self.least_loaded_caching(prefixes, targets, allowed, load);
        let with_load = |position: usize| (position, load(position));
        if let Some(affinity_target) = caching_target(longer) {
            return Some(affinity_target);
        }
        let homes = (demand * targets.len() as f64 * self.home_factor).ceil() as u64;
        if homes < 2 {
            return caching_target(&request.prefixes[..request.prefixes.len() - longer.len()])
                .or_else(|| homes_of(start, [0], targets, allowed).map(with_load).next());
        }
        let random_number = mix(request.random_number ^ start.0);
        let home_indexes = [random_number % homes, (random_number >> 32) % homes];
        let loaded = homes_of(start, home_indexes, targets, allowed).map(with_load);
        loaded.min_by(|one, other| one.1.total_cmp(&other.1))
    }

    /// Returns the least loaded of the targets that cache the longest prefix known to be cached.
    fn least_loaded_caching(
        &self,
        prefixes: &[PrefixKey],
        targets: &[Arc<RouteTarget>],
        allowed: &dyn Fn(usize) -> bool,
        load: &dyn Fn(usize) -> f64,
    ) -> Option<(usize, f64)> {
        let position_of = |tag| targets.iter().position(|target| target.tag == tag);
        looked_up_prefixes(prefixes).find_map(|prefix| {
            let caching = self.prefixes.targets_caching(prefix).filter_map(position_of);
            let open = caching.filter(|position| allowed(*position));
            let loaded = open.map(|position| (position, load(position)));
            loaded.min_by(|one, other| one.1.total_cmp(&other.1))
        })
    }
}

/// Splits off the prefix that identifies the start of a prompt from the longer prefixes.
fn split_start(prefixes: &[PrefixKey]) -> Option<(PrefixKey, &[PrefixKey])> {
    let blocks = prefixes.len().min(START_BLOCKS);
    let start = *prefixes[..blocks].last()?;
    Some((start, &prefixes[blocks..]))
}

/// Returns the homes of a prefix by rendezvous hashing, one for each home index.
fn homes_of<const N: usize>(
    prefix: PrefixKey,
    home_indexes: [u64; N],
    targets: &[Arc<RouteTarget>],
    allowed: &dyn Fn(usize) -> bool,
) -> impl Iterator<Item = usize> {
    let mut homes = [None; N];
    for (position, target) in targets.iter().enumerate().filter(|(p, _)| allowed(*p)) {
        for (home, home_index) in homes.iter_mut().zip(home_indexes) {
            let found = (target.tag.rendezvous_score(prefix, home_index), position);
            *home = (*home).max(Some(found));
        }
    }
    homes.into_iter().flatten().map(|(_, position)| position)
}

/// Returns at most [`MAX_PREFIX_LOOKUPS`] prefixes, longest first, at even distances.
fn looked_up_prefixes(prefixes: &[PrefixKey]) -> impl Iterator<Item = PrefixKey> {
    let step = prefixes.len().div_ceil(MAX_PREFIX_LOOKUPS).max(1);
    prefixes.iter().rev().step_by(step).copied()
}

/// Returns the time per token of the fastest target, in microseconds.
fn shortest_token_interval(targets: &[Arc<RouteTarget>], positions: &[usize]) -> Option<f64> {
    let intervals =
        positions.iter().filter_map(|position| targets[*position].counters.token_interval_micros());
    intervals.min_by(f64::total_cmp)
}

impl ChoicePolicy for BoundedAffinity {
    fn pick(
        &self,
        request: &ChoiceRequest<'_>,
        targets: &[Arc<RouteTarget>],
        allowed: &dyn Fn(usize) -> bool,
    ) -> Option<usize> {
        let mut sampled = [0; MAX_CANDIDATES];
        let candidates = self.candidates.min(MAX_CANDIDATES);
        let positions = sample_positions(request.random_number, targets.len(), candidates, allowed);
        let count = sampled.iter_mut().zip(positions).map(|(slot, p)| *slot = p).count();
        let sampled = &sampled[..count];
        let shortest_interval = shortest_token_interval(targets, sampled);
        let load = |position: usize| self.load(&targets[position], shortest_interval, request.now);
        let loaded = sampled.iter().map(|position| (*position, load(*position)));
        let least = loaded.min_by(|one, other| one.1.total_cmp(&other.1))?;
        let bound = self.acceptable_load.max(least.1 + self.load_slack);
        match self.affinity_target(request, targets, allowed, &load) {
            Some((position, load)) if load <= bound => Some(position),
            _ => Some(least.0),
        }
    }
}

/// Returns at most `count` distinct allowed indexes below `len`, in a pseudo-random order.
pub fn sample_positions(
    random_number: u64,
    len: usize,
    count: usize,
    allowed: &dyn Fn(usize) -> bool,
) -> impl Iterator<Item = usize> {
    let start = if len == 0 { 0 } else { (mix(random_number) % len as u64) as usize };
    let step = coprime_step(mix(random_number ^ 1), len);
    (0..len).map(move |index| (start + index * step) % len).filter(|p| allowed(*p)).take(count)
}

/// Returns a step coprime to `len`, so that stepping modulo `len` visits every index once.
fn coprime_step(random_number: u64, len: usize) -> usize {
    if len <= 2 {
        return 1;
    }
    let first = 1 + (random_number % (len as u64 - 1)) as usize;
    (first..len).chain(1..first).find(|step| greatest_common_divisor(*step, len) == 1).unwrap_or(1)
}

fn greatest_common_divisor(one: usize, other: usize) -> usize {
    if other == 0 { one } else { greatest_common_divisor(other, one % other) }
}
