//! Arrivals: when each request comes, who makes it and what it says. All of it follows from the
//! settings' seed.

use {
    crate::settings::{ClassKind, ClassSettings, LoadSettings},
    engine::prompt::{prompt_digest, prompt_text},
    rand::{Rng, SeedableRng},
    rand_pcg::Pcg64Mcg,
    serde_json::{Value, json},
    std::time::Duration,
};

/// One request of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Its number, from 0.
    pub number: u64,
    /// When it arrives, from the start of the run.
    pub offset: Duration,
    /// Position of its caller in the settings.
    pub caller: usize,
    /// Position of its class in the settings.
    pub class: usize,
    /// Its body.
    pub body: Value,
    /// Digest of its prompt; 0 for a plain service.
    pub digest: u64,
}

/// The arrivals of a run.
#[derive(Debug)]
pub struct ArrivalPlan<'a> {
    settings: &'a LoadSettings,
    random: Pcg64Mcg,
    offset_seconds: f64,
    number: u64,
}

impl<'a> ArrivalPlan<'a> {
    /// The arrivals that the settings ask for.
    pub fn new(settings: &'a LoadSettings) -> Self {
        let random = Pcg64Mcg::seed_from_u64(settings.seed);
        Self { settings, random, offset_seconds: 0.0, number: 0 }
    }

    fn body(&mut self, class: &ClassSettings) -> Value {
        let prefix = self.random.random_range(0..class.prefixes);
        let own = format!("request {} of run {}", self.number, self.settings.seed);
        match class.kind {
            ClassKind::Service | ClassKind::KeyedService => json!({ "note": own }),
            ClassKind::StreamedChat | ClassKind::WholeChat => json!({
                "model": class.model,
                "messages": [
                    { "role": "system", "content": prefix_text(prefix, class.prefix_bytes) },
                    { "role": "user", "content": own },
                ],
                "max_tokens": class.tokens,
                "stream": class.kind == ClassKind::StreamedChat,
            }),
        }
    }
}

impl Iterator for ArrivalPlan<'_> {
    type Item = PlannedRequest;

    fn next(&mut self) -> Option<PlannedRequest> {
        let settings = self.settings;
        // The gaps of a Poisson process are exponential.
        let draw: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        self.offset_seconds += -draw.ln() / settings.requests_per_second;
        let offset = Duration::from_secs_f64(self.offset_seconds);
        let over = offset > Duration::from_millis(settings.duration_ms);
        if over || self.number >= settings.max_requests {
            return None;
        }
        let callers = settings.callers.iter().map(|caller| caller.weight);
        let caller = draw_weighted(callers, self.random.random());
        let classes = settings.classes.iter().map(|class| class.weight);
        let class = draw_weighted(classes, self.random.random());
        let body = self.body(&settings.classes[class]);
        let digest = match settings.classes[class].kind.is_completion() {
            true => prompt_digest(&prompt_text(&body)),
            false => 0,
        };
        let request = PlannedRequest { number: self.number, offset, caller, class, body, digest };
        self.number += 1;
        Some(request)
    }
}

fn prefix_text(prefix: u32, bytes: usize) -> String {
    let unit = format!("prefix {prefix} ");
    unit.chars().cycle().take(bytes).collect()
}

/// Position of the weight that `part` (0 to 1) of the sum falls on.
fn draw_weighted(weights: impl Iterator<Item = f64> + Clone, part: f64) -> usize {
    let sum: f64 = weights.clone().sum();
    let mut left = sum * part;
    let mut last = 0;
    for (position, weight) in weights.enumerate().filter(|(_, weight)| *weight > 0.0) {
        last = position;
        left -= weight;
        if left < 0.0 {
            break;
        }
    }
    last
}
