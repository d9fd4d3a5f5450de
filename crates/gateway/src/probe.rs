//! Distinguishes a slow backend server from a dead host or a broken connection.

use {
    crate::metrics::GatewayMeters,
    engine::{HostProbe, ProbedKind},
    std::{future::Future, net::SocketAddr, pin::Pin, time::Duration},
    tokio::time::timeout,
};

/// When to probe a host that sends no data, and how to act on the result.
#[derive(Clone, Copy, Debug)]
pub struct ProbePolicy {
    /// Whether to probe an engine or a plain service.
    pub kind: ProbedKind,
    /// Time without data after which the host is probed.
    pub idle_limit: Duration,
    /// Time after which an unanswered probe counts as failed.
    pub probe_timeout: Duration,
    /// Whether a successful probe ends the wait too, so that a second attempt can be made. `next` can
    /// be waited for again. If false, only a failed probe ends the wait.
    pub report_silence: bool,
}

/// No data arrived within the idle limit, and the policy ends the wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unresponsive {
    /// Whether the host answered a probe over a new connection.
    pub host_alive: bool,
}

/// Waits for `next`. After each idle limit without a result, probes the host over a new connection
/// and applies the policy to the result.
///
/// `next` is polled while the probe runs, so data that arrives meanwhile is returned.
pub async fn wait_with_probes<F: Future + ?Sized>(
    prober: &dyn HostProbe,
    meters: &GatewayMeters,
    address: SocketAddr,
    policy: ProbePolicy,
    mut next: Pin<&mut F>,
) -> Result<F::Output, Unresponsive> {
    loop {
        if let Ok(output) = timeout(policy.idle_limit, next.as_mut()).await {
            return Ok(output);
        }
        let host_alive = tokio::select! {
            biased;
            output = next.as_mut() => return Ok(output),
            alive = prober.probe(address, policy.kind, policy.probe_timeout) => alive,
        };
        let counter = if host_alive { &meters.probes_alive } else { &meters.probes_dead };
        counter.inc();
        if !host_alive || policy.report_silence {
            return Err(Unresponsive { host_alive });
        }
    }
}
