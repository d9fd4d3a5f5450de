//! The report of a run, as Markdown for people and JSON for programs.

use {
    crate::{answer::RequestEnd, record::ClassRecord, run::RecordTable, settings::LoadSettings},
    hdrhistogram::Histogram,
    serde::Serialize,
    std::{collections::BTreeMap, fmt::Write, time::Duration},
};

const MICROS_PER_MS: f64 = 1_000.0;

/// Quantiles of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct TimeQuantiles {
    /// Values behind the quantiles.
    pub count: u64,
    /// Half are at most this.
    pub p50_ms: f64,
    /// 95 of 100 are at most this.
    pub p95_ms: f64,
    /// 99 of 100 are at most this.
    pub p99_ms: f64,
    /// The largest.
    pub max_ms: f64,
}

impl TimeQuantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MS;
        Self {
            count: histogram.len(),
            p50_ms: at(0.5),
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            max_ms: histogram.max() as f64 / MICROS_PER_MS,
        }
    }
}

/// What became of the requests of one workspace and class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// The workspace.
    pub workspace: String,
    /// The class.
    pub class: String,
    /// Requests that arrived.
    pub arrived: u64,
    /// Arrivals that were not sent, because too many were in flight.
    pub skipped: u64,
    /// Whole answers.
    pub whole: u64,
    /// Requests that were told to be not run.
    pub not_run: u64,
    /// Requests whose outcome was told to be unknown.
    pub unknown: u64,
    /// Streams that were told to be cut.
    pub cut: u64,
    /// Requests that were told nothing.
    pub lost: u64,
    /// Whether the ends add up to the arrivals.
    pub balanced: bool,
    /// Answers that were not as they must be.
    pub violations: u64,
    /// The first of them.
    pub violation_texts: Vec<String>,
    /// Statuses and problems of answers that were not whole; status 0 for no answer.
    pub problems: BTreeMap<String, u64>,
    /// Time to the first token of whole answers.
    pub first_token: TimeQuantiles,
    /// Time between tokens.
    pub between_tokens: TimeQuantiles,
    /// Time of whole answers.
    pub whole_answer: TimeQuantiles,
    /// Tokens more than 1 ms later than the engine's interval.
    pub late_tokens: u64,
}

/// The report of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Whether requests went straight to an engine.
    pub direct: bool,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Arrivals a second that were asked for.
    pub requests_per_second: f64,
    /// Time from the first arrival to the last end, in milliseconds.
    pub elapsed_ms: u64,
    /// Processor cores of the machine.
    pub cores: usize,
    /// A line for each workspace and class.
    pub classes: Vec<ClassReport>,
    /// All requests together.
    pub total: ClassReport,
}

impl RunReport {
    /// The report of what was recorded.
    pub fn new(settings: &LoadSettings, table: &RecordTable, elapsed: Duration) -> Self {
        let mut total = ClassRecord::default();
        let mut classes = Vec::new();
        for ((caller, class), record) in table {
            let workspace = settings.callers[*caller].workspace.to_string();
            classes.push(class_report(workspace, settings.classes[*class].name.as_str(), record));
            add(&mut total, record);
        }
        Self {
            direct: settings.direct.is_some(),
            seed: settings.seed,
            requests_per_second: settings.requests_per_second,
            elapsed_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            classes,
            total: class_report("all".to_owned(), "all", &total),
        }
    }

    /// Whether every request is accounted for and every whole answer was right.
    pub fn is_sound(&self) -> bool {
        self.total.balanced && self.total.violations == 0
    }

    /// The report for programs.
    pub fn json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// The report for people.
    pub fn markdown(&self) -> String {
        let mut text = String::new();
        let way = if self.direct { "straight to an engine" } else { "through gateways" };
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "Load {way}: {} requests/s, seed {}, {} ms, {} cores.\n",
            self.requests_per_second, self.seed, self.elapsed_ms, self.cores
        );
        let lines = || self.classes.iter().chain([&self.total]);
        text.push_str(
            "| workspace | class | arrived | skipped | whole | not run | unknown | cut | lost | \
             sums | violations |\n|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for line in lines() {
            let _ = writeln!(text, "{}", counts_row(line));
        }
        text.push_str(
            "\n| workspace | class | first token p50 / p95 / p99 ms | between tokens p50 / p95 / \
             p99 ms | whole p50 / p95 / p99 ms | late tokens |\n|---|---|---|---|---|---|\n",
        );
        for line in lines() {
            let _ = writeln!(text, "{}", times_row(line));
        }
        for (problem, count) in &self.total.problems {
            let _ = writeln!(text, "\nnot whole: {count} times status {problem}");
        }
        for violation in self.classes.iter().flat_map(|line| &line.violation_texts) {
            let _ = writeln!(text, "\nviolation: {violation}");
        }
        text
    }
}

fn counts_row(line: &ClassReport) -> String {
    let sums = if line.balanced { "match" } else { "DIFFER" };
    format!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {sums} | {} |",
        line.workspace,
        line.class,
        line.arrived,
        line.skipped,
        line.whole,
        line.not_run,
        line.unknown,
        line.cut,
        line.lost,
        line.violations
    )
}

fn times_row(line: &ClassReport) -> String {
    let times = |time: &TimeQuantiles| {
        format!("{:.2} / {:.2} / {:.2}", time.p50_ms, time.p95_ms, time.p99_ms)
    };
    format!(
        "| {} | {} | {} | {} | {} | {} |",
        line.workspace,
        line.class,
        times(&line.first_token),
        times(&line.between_tokens),
        times(&line.whole_answer),
        line.late_tokens
    )
}

fn class_report(workspace: String, class: &str, record: &ClassRecord) -> ClassReport {
    ClassReport {
        workspace,
        class: class.to_owned(),
        arrived: record.arrived,
        skipped: record.skipped,
        whole: record.count(RequestEnd::Whole),
        not_run: record.count(RequestEnd::NotRun),
        unknown: record.count(RequestEnd::Unknown),
        cut: record.count(RequestEnd::Cut),
        lost: record.count(RequestEnd::Lost),
        balanced: record.is_balanced(),
        violations: record.violations,
        violation_texts: record.violation_texts.clone(),
        problems: record.problems.clone(),
        first_token: TimeQuantiles::of(&record.first),
        between_tokens: TimeQuantiles::of(&record.between),
        whole_answer: TimeQuantiles::of(&record.whole),
        late_tokens: record.late_tokens,
    }
}

fn add(total: &mut ClassRecord, record: &ClassRecord) {
    total.arrived += record.arrived;
    total.skipped += record.skipped;
    total.violations += record.violations;
    total.late_tokens += record.late_tokens;
    for (end, count) in &record.ends {
        *total.ends.entry(*end).or_default() += count;
    }
    for (problem, count) in &record.problems {
        *total.problems.entry(problem.clone()).or_default() += count;
    }
    // All histograms have the same bounds, so adding them cannot fail.
    let _ = total.first.add(&record.first);
    let _ = total.between.add(&record.between);
    let _ = total.whole.add(&record.whole);
}
