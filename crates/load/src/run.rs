//! One run: lets requests arrive, waits for their ends and gathers the records.

use {
    crate::{
        caller::CallerPool,
        plan::{ArrivalPlan, PlannedRequest},
        record::ClassRecord,
        report::RunReport,
        settings::LoadSettings,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::Semaphore, task::JoinSet},
    tokio_util::sync::CancellationToken,
};

/// Records by caller and class, as positions in the settings.
pub type RecordTable = BTreeMap<(usize, usize), ClassRecord>;

/// Runs the load; ends early when `stop` is cancelled, after the requests in flight.
pub async fn run_load(settings: LoadSettings, stop: CancellationToken) -> RunReport {
    let settings = Arc::new(drop_services_when_direct(settings));
    let pool = Arc::new(CallerPool::new(Arc::clone(&settings)));
    let records = Arc::new(Mutex::new(RecordTable::new()));
    let places = Arc::new(Semaphore::new(settings.max_in_flight as usize));
    let mut tasks = JoinSet::new();
    let start = Instant::now();
    for request in ArrivalPlan::new(&settings) {
        let due = start + request.offset;
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {}
            () = stop.cancelled() => break,
        }
        while tasks.try_join_next().is_some() {}
        with_record(&records, &request, |record| record.arrived += 1);
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            with_record(&records, &request, |record| record.skipped += 1);
            continue;
        };
        let (pool, records) = (Arc::clone(&pool), Arc::clone(&records));
        let interval = settings.classes[request.class].token_interval_ms;
        tasks.spawn(async move {
            let (verdict, times) = pool.perform(&request, due).await;
            let interval = interval.map(Duration::from_millis);
            with_record(&records, &request, |record| record.take(verdict, &times, interval));
            drop(place);
        });
    }
    while tasks.join_next().await.is_some() {}
    let elapsed = start.elapsed();
    let table = std::mem::take(&mut *lock(&records));
    RunReport::new(&settings, &table, elapsed)
}

/// An engine answers no calls of plain services.
fn drop_services_when_direct(mut settings: LoadSettings) -> LoadSettings {
    if settings.direct.is_some() {
        for class in &mut settings.classes {
            if !class.kind.is_completion() {
                class.weight = 0.0;
            }
        }
    }
    settings
}

fn with_record(
    records: &Mutex<RecordTable>,
    request: &PlannedRequest,
    change: impl FnOnce(&mut ClassRecord),
) {
    let mut table = lock(records);
    change(table.entry((request.caller, request.class)).or_default());
}

fn lock(records: &Mutex<RecordTable>) -> std::sync::MutexGuard<'_, RecordTable> {
    records.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
