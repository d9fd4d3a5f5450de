//! Forming, watching, repairing and releasing the groups of owned fabric domains.
//!
//! [`run`] runs one group task for each fabric domain that this node owns. The task probes the
//! engines for their state, runs the planner, publishes the domain's record, and checks the node's
//! authority as the last step before each order. When the node no longer owns the domain, the task
//! ends and all its state is dropped.
//!
//! A domain's record lists its groups and is sent to the peers and gateways. An ownership's term is
//! the fencing number that increases with each change of the domain's owner.

pub mod metrics;
pub mod port;

mod convert;
mod domain;
mod input;

use {
    crate::groups::{
        domain::DomainTask,
        metrics::GroupMetrics,
        port::{DomainAuthority, OwnedDomain},
    },
    base::{FabricDomainId, SharedClock, Term},
    conf::settings::ControllerSettings,
    engine::EngineControl,
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::MissedTickBehavior},
    tokio_util::sync::CancellationToken,
};

/// Dependencies of [`run`] and of its tasks.
#[derive(Clone)]
pub struct GroupsContext {
    /// Clock that all ticks given to the planner come from.
    pub clock: SharedClock,
    /// Sends probes and orders to engines.
    pub engine: Arc<dyn EngineControl>,
    /// Tells which fabric domains the node owns and whether it may send orders.
    pub authority: Arc<dyn DomainAuthority>,
    /// Source of the poll period and of the time limit for orders.
    pub settings: Arc<ControllerSettings>,
    /// Counters of downtime, orders and groups, shared by all tasks.
    pub metrics: GroupMetrics,
}

/// Runs a task for each owned and settled fabric domain, until cancelled. A new term of the same
/// domain gets a new task.
pub async fn run(context: GroupsContext, cancel: CancellationToken) {
    let mut tasks = JoinSet::new();
    let mut running: BTreeMap<(FabricDomainId, Term), CancellationToken> = BTreeMap::new();
    let period = Duration::from_millis(context.settings.engine_poll_ms.max(1));
    let mut ticker = tokio::time::interval(period);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = cancel.cancelled() => break,
            _ = ticker.tick() => {}
        }
        let owned = settled_domains(&context);
        running.retain(|key, token| {
            let kept = owned.iter().any(|owned| (&owned.domain, owned.term) == (&key.0, key.1));
            if !kept {
                token.cancel();
            }
            kept
        });
        for owned in owned {
            let key = (owned.domain.clone(), owned.term);
            running.entry(key).or_insert_with(|| {
                let token = cancel.child_token();
                let task = DomainTask::new(context.clone(), owned.domain, owned.term);
                tasks.spawn(task.run(token.clone()));
                token
            });
        }
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

fn settled_domains(context: &GroupsContext) -> Vec<OwnedDomain> {
    let mut owned = context.authority.owned();
    owned.retain(|owned| owned.settled);
    owned
}
