//! Compares claims of non-idempotent requests written one by one with claims written in batches.
//!
//! Requests arrive at one gateway at a fixed mean rate (seeded, exponential gaps) on a paused clock;
//! each writes its claim, runs, and writes its outcome. The table service takes a fixed time for
//! each transaction. Counted are the transactions for each request and the time until the claim is
//! known.
//!
//! Usage: `cargo run --release -p gateway --example claims`.

use {
    async_trait::async_trait,
    base::RowVersion,
    gateway::claims::{BatchRules, ChangeEnd, RowBatcher, RowChange},
    infra::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

const SEEDS: u64 = 20;
const REQUESTS: usize = 2_000;
const RATES: [f64; 4] = [1.0, 50.0, 200.0, 1_000.0];
/// Time of one transaction at the table service.
const COMMIT_TIME: Duration = Duration::from_millis(5);
/// Time between a claim and its outcome.
const RUN_TIME: Duration = Duration::from_millis(200);
const WINDOW: Duration = Duration::from_millis(5);
const BATCH_MAX: usize = 64;

/// A table whose every transaction commits.
struct SlowTable;

#[async_trait]
impl TableStore for SlowTable {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
        Ok(vec![None; keys.len()])
    }

    async fn scan(&self, _: &str) -> Result<Vec<StoredRow>, PlatformError> {
        Ok(Vec::new())
    }

    async fn commit(&self, _: Transaction) -> Result<CommitOutcome, PlatformError> {
        sleep(COMMIT_TIME).await;
        Ok(CommitOutcome::Committed { version: RowVersion(1), era: base::StoreEra(0) })
    }
}

/// What one run came to.
struct RunResult {
    writes_a_request: f64,
    p50_ms: f64,
    p99_ms: f64,
}

fn main() {
    println!("{SEEDS} seeds from 0, {REQUESTS} requests each, a transaction takes {COMMIT_TIME:?}");
    println!();
    println!(
        "| requests a second | way | writes a request | claim known after p50, ms | p99, ms |"
    );
    println!("| --- | --- | --- | --- | --- |");
    let one = BatchRules { window: Duration::ZERO, max_changes: 1 };
    let batched = BatchRules { window: WINDOW, max_changes: BATCH_MAX };
    for rate in RATES {
        print_row(rate, "one by one", one);
        print_row(rate, "batched", batched);
    }
}

/// Median over the seeds, the worst in brackets.
fn print_row(rate: f64, name: &str, rules: BatchRules) {
    let runs: Vec<RunResult> = (0..SEEDS).map(|seed| run_paused(rate, rules, seed)).collect();
    let text = |of: fn(&RunResult) -> f64| {
        let mut values: Vec<f64> = runs.iter().map(of).collect();
        values.sort_by(f64::total_cmp);
        format!("{:.2} ({:.2})", values[values.len() / 2], values[values.len() - 1])
    };
    let writes = text(|run| run.writes_a_request);
    let (p50, p99) = (text(|run| run.p50_ms), text(|run| run.p99_ms));
    println!("| {rate} | {name} | {writes} | {p50} | {p99} |");
}

fn run_paused(rate: f64, rules: BatchRules, seed: u64) -> RunResult {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().start_paused(true).build().expect("a runtime can be built");
    runtime.block_on(run(rate, rules, seed))
}

async fn run(rate: f64, rules: BatchRules, seed: u64) -> RunResult {
    let mut random = StdRng::seed_from_u64(seed);
    let batcher = RowBatcher::start(Arc::new(SlowTable), rules);
    let mut requests = JoinSet::new();
    for number in 0..REQUESTS {
        let part: f64 = random.random_range(f64::MIN_POSITIVE..1.0);
        sleep(Duration::from_secs_f64(-part.ln() / rate)).await;
        requests.spawn(request(batcher.clone(), number));
    }
    let mut waits: Vec<Duration> = requests.join_all().await;
    waits.sort();
    let millis = |wait: Duration| wait.as_secs_f64() * 1e3;
    RunResult {
        writes_a_request: batcher.commits() as f64 / REQUESTS as f64,
        p50_ms: millis(waits[REQUESTS / 2]),
        p99_ms: millis(waits[REQUESTS * 99 / 100]),
    }
}

/// Claims, runs and writes the outcome; gives the time until the claim was known.
async fn request(batcher: RowBatcher, number: usize) -> Duration {
    let key = RowKey::from(format!("claim/w/{number}"));
    let started = Instant::now();
    let claim = RowChange {
        key: key.clone(),
        expect: RowVersion(0),
        value: "claimed".into(),
        urgent: true,
    };
    let end = batcher.change(claim).await;
    let waited = started.elapsed();
    assert_eq!(end, ChangeEnd::Committed(RowVersion(1)));
    sleep(RUN_TIME).await;
    let outcome = RowChange { key, expect: RowVersion(1), value: "answered".into(), urgent: false };
    batcher.change(outcome).await;
    waited
}
