//! One process of the system.
//!
//! Every host runs the same program, with no special roles and no local persistent state. Durable
//! data lives in the platform's store: the configuration and the server list, which others write,
//! and two kinds of rows that this crate writes, one for each process ([`members`]) and one for
//! each fabric domain ([`owners`]). Everything else is in memory; a new process rebuilds it from
//! the store, its peers and the engines.
//!
//! A fabric domain is a set of hosts with a fast network between them; all members of a serving
//! group are in the same one. Each fabric domain has one owner, the process that forms and releases
//! its groups. The weight store is the platform's storage from which hosts load the weights of
//! models; all hosts of a service share its rate.

mod accept;
pub mod addresses;
pub mod cold_servers;
pub mod config_ages;
pub mod config_share;
pub mod config_tracker;
pub mod control;
pub mod evacuation;
pub mod follow;
mod gossip;
mod http;
pub mod logs;
pub mod loop_lag;
pub mod members;
pub mod membership;
pub mod metrics;
mod outage_turns;
pub mod owners;
pub mod page_cache;
mod peer_link;
pub mod peers;
pub mod ports;
mod presence;
pub mod reload;
pub mod rows;
pub mod run;
mod server_list;
pub mod settings;
pub mod share;
mod stopping;
pub mod store_reads;
pub mod view;

pub use crate::{
    addresses::{AddressAnswer, AddressQuery},
    cold_servers::ColdRule,
    evacuation::{EvacuationChange, EvacuationClaim, EvacuationSet},
    ports::{
        AddressCodec, ConfigStamp, ConfigUpdate, EngineAccess, EngineReport, EngineService,
        ModelRule, OperatorChange, PlatformWatch, ProbeError, RowChange, ServerChange, ServerEntry,
        ServerStanding, WatchError, WatchPage, WatchPosition,
    },
    presence::{Presence, Vantage},
    run::{NodeError, NodePorts, run_node},
    server_list::ServerList,
    settings::{ListenSettings, NodeSettings, RetrySettings, StoreSettings, load_settings},
};
