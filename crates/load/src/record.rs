//! Counts and histograms of one workspace and class.

use {
    crate::answer::{AnswerVerdict, RequestEnd},
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, time::Duration},
};

/// Longest time a histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const DIGITS: u8 = 3;
/// Violations that are kept in words; all are counted.
const KEPT_VIOLATIONS: usize = 5;
/// How much later than the engine's interval a token counts as late.
pub const LATE_TOKEN: Duration = Duration::from_millis(1);

/// Times that one request took.
#[derive(Clone, Debug, Default)]
pub struct RequestTimes {
    /// Until the first token or part.
    pub first: Option<Duration>,
    /// Between each token and the one before.
    pub gaps: Vec<Duration>,
    /// Until the end.
    pub whole: Duration,
}

/// What became of the requests of one workspace and class.
#[derive(Clone, Debug)]
pub struct ClassRecord {
    /// Requests that were to be sent.
    pub arrived: u64,
    /// Arrivals that were not sent, because too many were in flight.
    pub skipped: u64,
    /// Ends of the others.
    pub ends: BTreeMap<RequestEnd, u64>,
    /// Statuses and problems of answers that were not whole.
    pub problems: BTreeMap<String, u64>,
    /// Answers that were not as they must be.
    pub violations: u64,
    /// The first of them, in words.
    pub violation_texts: Vec<String>,
    /// Time to the first token of whole answers, in microseconds.
    pub first: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub between: Histogram<u64>,
    /// Time of whole answers, in microseconds.
    pub whole: Histogram<u64>,
    /// Tokens that came late against the engine's interval.
    pub late_tokens: u64,
}

impl Default for ClassRecord {
    fn default() -> Self {
        Self {
            arrived: 0,
            skipped: 0,
            ends: BTreeMap::new(),
            problems: BTreeMap::new(),
            violations: 0,
            violation_texts: Vec::new(),
            first: new_histogram(),
            between: new_histogram(),
            whole: new_histogram(),
            late_tokens: 0,
        }
    }
}

impl ClassRecord {
    /// Requests with this end.
    pub fn count(&self, end: RequestEnd) -> u64 {
        self.ends.get(&end).copied().unwrap_or(0)
    }

    /// Whether every arrival is accounted for.
    pub fn is_balanced(&self) -> bool {
        self.arrived == self.skipped + self.ends.values().sum::<u64>()
    }

    /// Takes in the end of a request; `interval` is the engine's time between tokens.
    pub fn take(
        &mut self,
        verdict: AnswerVerdict,
        times: &RequestTimes,
        interval: Option<Duration>,
    ) {
        *self.ends.entry(verdict.end).or_default() += 1;
        if let Some(violation) = verdict.violation {
            self.violations += 1;
            if self.violation_texts.len() < KEPT_VIOLATIONS {
                self.violation_texts.push(violation);
            }
        }
        if verdict.end != RequestEnd::Whole {
            let problem = format!("{} {}", verdict.status, verdict.problem);
            *self.problems.entry(problem.trim_end().to_owned()).or_default() += 1;
            return;
        }
        record(&mut self.whole, times.whole);
        if let Some(first) = times.first {
            record(&mut self.first, first);
        }
        for gap in &times.gaps {
            record(&mut self.between, *gap);
            let late = interval.is_some_and(|interval| *gap > interval + LATE_TOKEN);
            self.late_tokens += u64::from(late);
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_MICROS, DIGITS).expect("valid bounds")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
    histogram.saturating_record(micros.max(1));
}
