//! Messages between the daemons and the transport that carries them.
//!
//! Every message is one version byte and one postcard value. Short queries between controllers use
//! UDP; states, group records, polls of gateways and share grants use TCP, where each message has a
//! length prefix.
//!
//! Terms: the view is the numbered set of member nodes; the state head, or head, is the small row
//! that changes with every change of the durable state. A node is isolated while it has no recent
//! evidence that its head is the newest. A group record ([`DomainRecord`]) lists the groups of one
//! fabric domain as its owner published them; its digest identifies its version. A share is a part of
//! a workspace's limit, which the workspace's grantor grants to a gateway, the holder.

pub mod client;
pub mod codec;
pub mod datagram;
pub mod frame;
pub mod message;
pub mod server;
pub mod state;
pub mod traffic;

pub use crate::{
    client::PeerClient,
    codec::{CodecError, Decoded, MessageCodec},
    datagram::{DatagramEndpoint, DatagramError, PeerDatagram, ReceivedDatagram},
    frame::TransportError,
    message::{
        DomainDigest, GatewayEntry, GatewayPoll, GatewayUpdate, HostLine, HostTable, PeerAnswer,
        PeerQuery, PeerReply, PeerRequest, ShareDemand, ShareGrant,
    },
    server::{PeerServer, RequestHandler},
    state::{
        ClusterState, DomainOwner, DomainRecord, GroupMember, GroupPhase, GroupRecord, Head,
        LeaveReason, LeftMember, MemberRow, MemberView, ViewChain, ViewChange,
    },
    traffic::TrafficCounter,
};

/// Highest version of the messages that this build supports.
pub const PROTOCOL_VERSION: u8 = 1;
