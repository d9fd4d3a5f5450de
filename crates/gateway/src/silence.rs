//! Makes second attempts beside one whose host is alive and silent.
//!
//! An answer that can still come is dropped only when another attempt has given progress: silence is
//! a reason to try another target, not to leave the present one.

use {
    crate::{
        metrics::GatewayMeters,
        probe::{ProbePolicy, Unresponsive, wait_with_probes},
    },
    engine::HostProbe,
    futures::{StreamExt, future::BoxFuture, stream::FuturesUnordered},
    std::{future::Future, net::SocketAddr, pin::Pin, time::Duration},
    tokio::time::{Instant, timeout},
};

/// A second attempt under way. Dropping it cancels the attempt.
pub type SecondFuture<'a, W, F> = BoxFuture<'a, Result<W, F>>;

/// Starts second attempts of one request and learns how they fail.
///
/// `W` is an attempt that has given progress, `F` one that has ended without.
pub trait SecondAttempts<'a, W, F>: Send {
    /// Sends the request to another target. Returns `None` if no target has room, or the retry
    /// budget or the time is used up.
    fn start(&mut self) -> Option<SecondFuture<'a, W, F>>;

    /// Records a failed attempt.
    fn note_failure(&mut self, failure: F);
}

/// Second attempts, by reference.
type SecondsRef<'r, 'a, W, F> = &'r mut (dyn SecondAttempts<'a, W, F> + 'r);

/// The next data of the present attempt.
type NextData<'r, T> = Pin<&'r mut (dyn Future<Output = T> + Send + 'r)>;

/// The host of the present attempt, and how to probe it.
pub struct HostWatch<'a> {
    /// Opens new connections to the host.
    pub prober: &'a dyn HostProbe,
    /// Counts the probes.
    pub meters: &'a GatewayMeters,
    /// Address of the host.
    pub address: SocketAddr,
    /// When to probe.
    pub policy: ProbePolicy,
    /// Time that a second attempt has for its first progress before another one is made.
    pub second_limit: Duration,
}

/// What ended the wait for an attempt's next data.
pub enum RaceEnd<T, W> {
    /// The present attempt gave progress, or it failed and no second attempt is left.
    Present(T),
    /// A second attempt gave progress first; the present one is to be cancelled.
    Second(W),
    /// A probe of the present host failed, and no second attempt is left.
    HostDead,
}

/// Waits for `present`. After each idle limit without data from a live host, starts a second attempt
/// if it can. The first progress ends the wait and cancels all other second attempts.
///
/// `is_progress` is false for an output after which nothing more can come from the present attempt.
pub async fn race_when_silent<'a, T, W, F>(
    watch: &HostWatch<'_>,
    seconds: SecondsRef<'_, 'a, W, F>,
    is_progress: fn(&T) -> bool,
    mut present: NextData<'_, T>,
) -> RaceEnd<T, W> {
    let HostWatch { prober, meters, address, policy, second_limit } = *watch;
    let mut waited = wait_with_probes(prober, meters, address, policy, present.as_mut()).await;
    if !is_silent(&waited) {
        return present_end(waited);
    }
    let mut running = FuturesUnordered::new();
    let mut started = Instant::now();
    while is_silent(&waited) {
        if running.is_empty() || started.elapsed() >= second_limit {
            running.extend(seconds.start());
            started = Instant::now();
        }
        let waiting = wait_with_probes(prober, meters, address, policy, present.as_mut());
        waited = tokio::select! {
            biased;
            waited = waiting => waited,
            winner = first_winner(&mut running, seconds) => return RaceEnd::Second(winner),
        };
    }
    if waited.as_ref().is_ok_and(is_progress) {
        return present_end(waited);
    }
    match last_winner(&mut running, seconds, second_limit).await {
        Some(winner) => RaceEnd::Second(winner),
        None => present_end(waited),
    }
}

fn is_silent<T>(waited: &Result<T, Unresponsive>) -> bool {
    matches!(waited, Err(Unresponsive { host_alive: true }))
}

fn present_end<T, W>(waited: Result<T, Unresponsive>) -> RaceEnd<T, W> {
    match waited {
        Ok(output) => RaceEnd::Present(output),
        Err(_) => RaceEnd::HostDead,
    }
}

/// Waits for the second attempts when the present one has failed. Starts another one after each
/// `second_limit`; returns `None` if all have failed.
async fn last_winner<'a, W, F>(
    running: &mut FuturesUnordered<SecondFuture<'a, W, F>>,
    seconds: SecondsRef<'_, 'a, W, F>,
    second_limit: Duration,
) -> Option<W> {
    loop {
        match timeout(second_limit, next_winner(running, seconds)).await {
            Ok(winner) => return winner,
            Err(_) => running.extend(seconds.start()),
        }
    }
}

/// Waits until a second attempt gives progress, forever if all fail.
async fn first_winner<'a, W, F>(
    running: &mut FuturesUnordered<SecondFuture<'a, W, F>>,
    seconds: SecondsRef<'_, 'a, W, F>,
) -> W {
    match next_winner(running, seconds).await {
        Some(winner) => winner,
        None => std::future::pending().await,
    }
}

/// Returns the first second attempt that gives progress, or `None` if all have failed.
async fn next_winner<'a, W, F>(
    running: &mut FuturesUnordered<SecondFuture<'a, W, F>>,
    seconds: SecondsRef<'_, 'a, W, F>,
) -> Option<W> {
    while let Some(result) = running.next().await {
        match result {
            Ok(winner) => return Some(winner),
            Err(failure) => seconds.note_failure(failure),
        }
    }
    None
}
