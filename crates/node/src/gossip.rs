//! Sends and receives gossip messages.

use {
    crate::{
        control::HeadUpdates,
        peers::{
            GOSSIP_INTERVAL, GossipMessage, HEARTBEATS_PER_MESSAGE, LIMITS_PER_MESSAGE,
            LOADS_PER_MESSAGE, LimitAsk, LimitClaim, LimitReply, PEERS_PER_ROUND, PeerHeartbeat,
            PoisonClaim, TurnClaim, split_update,
        },
        run::NodeRuntime,
    },
    base::{HostId, Incarnation},
    limit::LimitNotice,
    poison::PoisonUpdate,
    rand::seq::SliceRandom,
    relay::{LimitQuestion, ServerId, ServerSign, TurnQuestion},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::mpsc,
    tokio_util::sync::CancellationToken,
};

/// How often expired entries are removed from the local view.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of messages with limits that answer one message of a peer.
const MAX_LIMIT_REPLIES: usize = 4;

impl NodeRuntime {
    pub(crate) async fn receive_gossip(self: Arc<Self>, local_sender: mpsc::Sender<ServerId>) {
        loop {
            let (message, from) = self.peers.receive().await;
            let now = self.shared.clock.now();
            self.view.note_peer_config(from, message.config_claim());
            if message.in_traffic {
                self.shared.in_traffic.store(true, Ordering::Relaxed);
            }
            self.view.with(|state| {
                state.members.record_contact(now);
                state.members.record_heartbeat(&message.own, now);
                for heartbeat in &message.forwarded {
                    state.members.record_heartbeat(heartbeat, now);
                }
            });
            if let Some(claim) = &message.poison {
                self.receive_poison(claim, from);
            }
            if let Some(claim) = &message.limits {
                self.receive_limits(claim, from);
            }
            if let Some(claim) = message.turn {
                self.receive_turn(claim, message.own.incarnation, from);
            }
            self.view.note_loads(&message.loads);
            self.view.note_paces(&message.paces);
            if !message.broken.is_empty() {
                self.view.note_broken(&message.broken);
            }
            for server in &message.leaving_servers {
                self.view.note_leaving(server);
            }
            for server in message.stalled {
                // A full queue already holds enough servers to probe.
                let _ = local_sender.try_send(server);
            }
        }
    }

    pub(crate) async fn send_gossip(self: Arc<Self>, stop: CancellationToken) {
        let mut expire = tokio::time::interval(EXPIRE_INTERVAL);
        let mut rounds = tokio::time::interval(GOSSIP_INTERVAL);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                scheduled = expire.tick() => {
                    self.view.loop_lag.note(scheduled.elapsed());
                    self.pauses.note_alive(self.shared.clock.now());
                    self.view.expire();
                    self.shared.poison.evaluate();
                    self.refresh_processes();
                }
                _ = rounds.tick() => self.gossip_round(),
            }
        }
    }

    fn gossip_round(&self) {
        self.round.fetch_add(1, Ordering::Relaxed);
        self.expire_limits();
        let limits = LimitClaim { digest: self.shared.limits.digest(), ..Default::default() };
        let message = GossipMessage { limits: Some(limits), ..self.message() };
        let mut peers = self.view.with(|state| state.members.peer_addresses());
        peers.shuffle(&mut rand::rng());
        for peer in peers.into_iter().take(PEERS_PER_ROUND) {
            self.peers.send(&message, peer);
            let claim = PoisonClaim {
                digest: self.shared.poison.digest(),
                update: self.shared.poison.evidence_to_repeat(),
            };
            if !claim.update.is_empty() {
                let evidence = GossipMessage { poison: Some(claim), ..self.bare_message() };
                self.peers.send(&evidence, peer);
            }
        }
    }

    pub(crate) fn send_to_all(&self, message: &GossipMessage) {
        for peer in self.view.with(|state| state.members.peer_addresses()) {
            self.peers.send(message, peer);
        }
    }

    /// A message with the heartbeats and the configuration version, and without stalled or broken
    /// servers and loads.
    pub(crate) fn message(&self) -> GossipMessage {
        let forwarded =
            self.view.with(|state| state.members.heartbeats_to_send(HEARTBEATS_PER_MESSAGE));
        GossipMessage { forwarded, ..self.bare_message() }
    }

    /// The same without the heartbeats of others.
    fn bare_message(&self) -> GossipMessage {
        let own = PeerHeartbeat {
            incarnation: self.own.incarnation,
            counter: self.round.load(Ordering::Relaxed),
            leaving: self.shared.stop.is_stopping(),
        };
        let config = self.view.config_claim();
        GossipMessage {
            own,
            forwarded: Vec::new(),
            config_version: config.stamp.version,
            config: Some(config),
            in_traffic: self.shared.in_traffic.load(Ordering::Relaxed),
            stalled: Vec::new(),
            broken: Vec::new(),
            loads: Vec::new(),
            paces: Vec::new(),
            leaving_servers: Vec::new(),
            poison: Some(PoisonClaim { digest: self.shared.poison.digest(), ..Default::default() }),
            limits: None,
            turn: None,
        }
    }

    /// Tells the relay which processes share the limits of servers and give turns, and which may be asked
    /// for forwards. This process does neither of the first two while it is about to stop.
    fn refresh_processes(&self) {
        let now = self.shared.clock.now();
        let is_leaving = self.shared.stop.is_stopping();
        let peers = self.view.with(|state| state.members.forward_peers(now));
        self.shared.paths.set_peers(peers);
        let live: Vec<HostId> = self.view.with(|state| {
            let live = state.members.live_members(now).map(|(node, _)| node);
            live.filter(|node| !is_leaving || **node != self.own.node).cloned().collect()
        });
        self.shared.poison.set_processes(&self.own.node, live.clone());
        self.shared.limits.set_processes(&self.own.node, live);
    }

    fn expire_limits(&self) {
        let limits = &self.shared.limits;
        if !limits.is_idle() {
            let listed: BTreeSet<HostId> = self
                .view
                .with(|state| state.servers.entries().map(|entry| entry.id.clone()).collect());
            limits.expire(|server| listed.contains(server));
        }
    }

    /// Applies what a peer says about limits of servers. A peer that does not know the same limits is
    /// told some of those that this process knows, the rest when it asks again.
    fn receive_limits(&self, claim: &LimitClaim, from: SocketAddr) {
        let limits = &self.shared.limits;
        if let Some(LimitAsk { server, number }) = &claim.ask {
            let reply = LimitReply { number: *number, outcome: limits.answer_ask(server) };
            let claim = LimitClaim { reply: Some(reply), ..Default::default() };
            self.peers.send(&self.limit_message(claim), from);
        } else if let Some(LimitReply { number, outcome }) = claim.reply {
            limits.receive_reply(number, outcome);
        } else if !claim.notices.is_empty() {
            limits.receive(&claim.notices);
        } else if claim.digest != limits.digest() {
            let mut notices = limits.settled_notices();
            notices.shuffle(&mut rand::rng());
            notices.truncate(MAX_LIMIT_REPLIES * LIMITS_PER_MESSAGE);
            for message in self.limit_messages(&notices) {
                self.peers.send(&message, from);
            }
        }
    }

    fn limit_messages(&self, notices: &[LimitNotice]) -> impl Iterator<Item = GossipMessage> {
        let digest = self.shared.limits.digest();
        notices.chunks(LIMITS_PER_MESSAGE).map(move |notices| {
            let notices = notices.to_vec();
            self.limit_message(LimitClaim { digest, notices, ..Default::default() })
        })
    }

    fn limit_message(&self, claim: LimitClaim) -> GossipMessage {
        GossipMessage { limits: Some(claim), ..self.bare_message() }
    }

    /// Sends the questions of requests to the processes that share limits of servers.
    pub(crate) async fn send_limit_questions(self: Arc<Self>, stop: CancellationToken) {
        loop {
            let questions = tokio::select! {
                () = stop.cancelled() => return,
                questions = self.shared.limits.next_questions() => questions,
            };
            for LimitQuestion { sharer, server, number } in questions {
                // Without an address the request goes on after its time to wait.
                let address = self.view.with(|state| state.members.peer_address(&sharer));
                let ask = Some(LimitAsk { server, number });
                if let Some(address) = address {
                    let claim = LimitClaim { ask, ..Default::default() };
                    self.peers.send(&self.limit_message(claim), address);
                }
            }
        }
    }

    /// Answers a question for a turn, or passes the reply to one on.
    fn receive_turn(&self, claim: TurnClaim, sender: Incarnation, from: SocketAddr) {
        let poison = &self.shared.poison;
        match claim {
            TurnClaim::Ask { request, number } => {
                let holder = HostId::new(sender.to_string());
                let has_turn = holder.is_ok_and(|holder| poison.give_turn(request, &holder));
                self.send_turn_claim(TurnClaim::Reply { number, has_turn }, from);
            }
            TurnClaim::Reply { number, has_turn } => poison.receive_reply(number, has_turn),
        }
    }

    fn send_turn_claim(&self, claim: TurnClaim, to: SocketAddr) {
        let limits = LimitClaim { digest: self.shared.limits.digest(), ..Default::default() };
        let message = GossipMessage { turn: Some(claim), ..self.limit_message(limits) };
        self.peers.send(&message, to);
    }

    /// Sends the questions of requests to the processes that give turns.
    pub(crate) async fn send_turn_questions(self: Arc<Self>, stop: CancellationToken) {
        loop {
            let questions = tokio::select! {
                () = stop.cancelled() => return,
                questions = self.shared.poison.next_questions() => questions,
            };
            for TurnQuestion { giver, request, number } in questions {
                // Without an address the request goes on after its time to wait.
                if let Some(to) = self.view.with(|state| state.members.peer_address(&giver)) {
                    self.send_turn_claim(TurnClaim::Ask { request, number }, to);
                }
            }
        }
    }

    /// Tells all processes at once of limits that answers have shown.
    pub(crate) async fn broadcast_limit_updates(self: Arc<Self>, stop: CancellationToken) {
        loop {
            let notices = tokio::select! {
                () = stop.cancelled() => return,
                notices = self.shared.limits.next_update() => notices,
            };
            for message in self.limit_messages(&notices) {
                self.send_to_all(&message);
            }
        }
    }

    /// Applies what a peer says about parts that crash servers. A peer that does not refuse the same
    /// parts, such as one that has just started, is told the parts that this process refuses.
    fn receive_poison(&self, claim: &PoisonClaim, from: SocketAddr) {
        let poison = &self.shared.poison;
        if !claim.update.is_empty() {
            poison.receive(&claim.update);
        } else if claim.digest != poison.digest() {
            let refused = PoisonUpdate { refused: poison.refusals(), ..Default::default() };
            for message in self.poison_messages(refused) {
                self.peers.send(&message, from);
            }
        }
    }

    fn poison_messages(&self, update: PoisonUpdate) -> impl Iterator<Item = GossipMessage> {
        let digest = self.shared.poison.digest();
        split_update(update).into_iter().map(move |update| GossipMessage {
            poison: Some(PoisonClaim { digest, update }),
            ..self.bare_message()
        })
    }

    /// Tells all processes at once of crashes and of the parts that cause them.
    pub(crate) async fn broadcast_poison_updates(self: Arc<Self>, stop: CancellationToken) {
        loop {
            let update = tokio::select! {
                () = stop.cancelled() => return,
                update = self.shared.poison.next_update() => update,
            };
            for message in self.poison_messages(update) {
                self.send_to_all(&message);
            }
        }
    }

    /// Sends the control loop's updates about heads to all processes.
    pub(crate) async fn broadcast_head_updates(
        self: Arc<Self>,
        mut update_receiver: mpsc::Receiver<HeadUpdates>,
    ) {
        while let Some(HeadUpdates { broken, loads, paces }) = update_receiver.recv().await {
            self.view.note_loads(&loads);
            self.view.note_paces(&paces);
            for chunk in paces.chunks(LOADS_PER_MESSAGE) {
                self.send_to_all(&GossipMessage { paces: chunk.to_vec(), ..self.bare_message() });
            }
            for chunk in loads.chunks(LOADS_PER_MESSAGE) {
                self.send_to_all(&GossipMessage { loads: chunk.to_vec(), ..self.bare_message() });
            }
            if !broken.is_empty() {
                self.view.note_broken(&broken);
                self.send_to_all(&GossipMessage { broken, ..self.bare_message() });
            }
        }
    }

    /// Passes on what requests show about servers.
    pub(crate) async fn forward_signs(
        self: Arc<Self>,
        mut signs: mpsc::Receiver<ServerSign>,
        local_sender: mpsc::Sender<ServerId>,
    ) {
        while let Some(sign) = signs.recv().await {
            match sign {
                ServerSign::Stalled(server) => self.forward_stall(server, &local_sender),
                ServerSign::Leaving(server) => self.broadcast_leaving(server),
            }
        }
    }

    /// Asks the owner of a server's fabric domain to probe the server after requests have stalled
    /// there: by a gossip message, or through `local_sender` if this process is the owner. Drops
    /// the report if the domain has no known owner.
    fn forward_stall(&self, server: ServerId, local_sender: &mpsc::Sender<ServerId>) {
        let owner = self.view.with(|state| {
            let entry = state.servers.entries().find(|entry| entry.id == server)?;
            let row = state.domains.get(entry.fabric_domain.as_ref()?)?;
            let owner = row.row.owner.as_ref()?;
            Some((owner.node.clone(), state.members.peer_address(&owner.node)?))
        });
        match owner {
            Some((node, _)) if node == self.own.node => {
                // A full queue already holds enough servers to probe.
                let _ = local_sender.try_send(server);
            }
            Some((_, address)) => {
                let message = GossipMessage { stalled: vec![server], ..self.message() };
                self.peers.send(&message, address);
            }
            None => {}
        }
    }

    /// Tells all processes that a server has said that it is leaving, unless that is known.
    fn broadcast_leaving(&self, server: ServerId) {
        if let Some(leaving) = self.view.note_own_leaving(&server) {
            self.send_to_all(&GossipMessage {
                leaving_servers: vec![leaving],
                ..self.bare_message()
            });
        }
    }
}
