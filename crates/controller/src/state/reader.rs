//! Reading the durable state from the table service.

use {
    crate::state::rows::{
        HEAD_KEY, MEMBER_PREFIX, OBJECT_PREFIX, OWNER_PREFIX, RowError, VIEW_KEY, member_key,
        parse_row, ticket_key,
    },
    base::{HostId, RowVersion, SharedClock, Tick, TicketNumber},
    conf::ticket::{AcceptedTicket, DesiredState},
    infra::{PlatformError, RowKey, StoredRow, TableStore},
    peer::{ClusterState, Head, MemberRow, ViewChain},
    snafu::Snafu,
    std::sync::Arc,
};

/// Number of attempts to read a consistent state while other nodes change it.
const MAX_ATTEMPTS: usize = 8;
/// If a copy misses more tickets than this, all objects are read instead of the tickets.
const MAX_TICKETS: u64 = 16;

/// Why the durable state was not read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// A request to the table service failed.
    #[snafu(display("{source}"), context(false))]
    Platform {
        /// Error of the table client.
        source: PlatformError,
    },
    /// A row's value does not have the form that this version writes.
    #[snafu(display("{source}"), context(false))]
    Row {
        /// Key of the row and error of the JSON decoder.
        source: RowError,
    },
    /// A row that the head refers to is absent.
    #[snafu(display("the row {key} is absent"))]
    Absent {
        /// Key of the absent row.
        key: RowKey,
    },
    /// The state changed during each attempt to read it.
    #[snafu(display("the state changed during each of {MAX_ATTEMPTS} reads"))]
    Unsteady,
}

/// Result of one read of the head row.
#[derive(Clone, Copy, Debug)]
pub struct HeadRead {
    /// Content of the row; the default value if the row is absent.
    pub head: Head,
    /// Version of the row, which the next change expects; 0 if the row is absent.
    pub version: RowVersion,
    /// When the read was sent.
    pub sent: Tick,
}

/// Result of a consistent read of the whole state.
#[derive(Clone, Debug)]
pub struct StateRead {
    /// The last read of the head row, which confirmed the state.
    pub head: HeadRead,
    /// The state at that head.
    pub state: Arc<ClusterState>,
}

/// Reads the durable state. Reads only the rows that changed since the caller's copy where the copy
/// shows which these are.
#[derive(Clone)]
pub struct StateReader {
    table: Arc<dyn TableStore>,
    clock: SharedClock,
}

impl StateReader {
    /// Creates a reader; `clock` gives the ticks at which reads are sent.
    pub fn new(table: Arc<dyn TableStore>, clock: SharedClock) -> Self {
        Self { table, clock }
    }

    /// The client of the table service, for reads of other rows and for commits.
    pub fn table(&self) -> &Arc<dyn TableStore> {
        &self.table
    }

    /// Reads the head row without the rest of the state.
    pub async fn head(&self) -> Result<HeadRead, ReadError> {
        Ok(self.head_and_view().await?.0)
    }

    /// Reads the state, based on the caller's copy `held`, which is returned if it is the newest.
    ///
    /// Rows are read one request at a time, so the head row is read before and after. If it changed in
    /// between, the rows may belong to different heads and the read is repeated.
    pub async fn state(&self, held: &Arc<ClusterState>) -> Result<StateRead, ReadError> {
        let (mut head, mut chain) = self.head_and_view().await?;
        for _ in 0..MAX_ATTEMPTS {
            if head.head.number == held.head.number {
                return Ok(StateRead { head, state: held.clone() });
            }
            let state = self.read_changed(held, &head.head, chain).await;
            let (head_after, chain_after) = self.head_and_view().await?;
            if head_after.version == head.version {
                return Ok(StateRead { head: head_after, state: Arc::new(state?) });
            }
            (head, chain) = (head_after, chain_after);
        }
        UnsteadySnafu.fail()
    }

    /// Reads one accepted ticket; `None` if no ticket has this number.
    pub async fn ticket(&self, number: TicketNumber) -> Result<Option<AcceptedTicket>, ReadError> {
        Ok(self.tickets(number.0..number.0 + 1).await?.pop())
    }

    /// Reads accepted tickets by their numbers; those that do not exist are left out.
    pub async fn tickets(
        &self,
        numbers: std::ops::Range<u64>,
    ) -> Result<Vec<AcceptedTicket>, ReadError> {
        let keys: Vec<RowKey> = numbers.map(|n| ticket_key(TicketNumber(n))).collect();
        let rows = self.table.read(&keys).await?;
        rows.iter().flatten().map(|row| Ok(parse_row(row)?)).collect()
    }

    async fn head_and_view(&self) -> Result<(HeadRead, ViewChain), ReadError> {
        let sent = self.clock.now();
        let rows = self.table.read(&[HEAD_KEY.into(), VIEW_KEY.into()]).await?;
        let mut rows = rows.into_iter();
        let head = rows.next().flatten();
        let chain = match rows.next().flatten() {
            Some(row) => parse_row(&row)?,
            None => ViewChain::default(),
        };
        let version = head.as_ref().map(|row| row.version).unwrap_or_default();
        let head = head.as_ref().map(parse_row).transpose()?.unwrap_or_default();
        Ok((HeadRead { head, version, sent }, chain))
    }

    async fn read_changed(
        &self,
        held: &ClusterState,
        head: &Head,
        chain: ViewChain,
    ) -> Result<ClusterState, ReadError> {
        let mut state = held.clone();
        state.head = *head;
        if head.ticket != held.head.ticket {
            state.desired = self.desired(&held.desired, head.ticket).await?;
        }
        if head.view != held.head.view {
            state.view.members = self.members(held, &chain).await?;
            state.view.members.sort_by(|a, b| a.member.cmp(&b.member));
            state.view.number = head.view;
        }
        state.chain = chain;
        if head.ownership != held.head.ownership {
            let rows = self.table.scan(OWNER_PREFIX).await?;
            state.owners = parse_rows(&rows)?;
            state.owners.sort_by(|a, b| a.domain.cmp(&b.domain));
        }
        Ok(state)
    }

    async fn desired(
        &self,
        held: &DesiredState,
        latest: TicketNumber,
    ) -> Result<DesiredState, ReadError> {
        let missing = latest.0.saturating_sub(held.ticket.0);
        if held.ticket.0 == 0 || missing > MAX_TICKETS {
            return self.objects(latest).await;
        }
        let mut desired = held.clone();
        for accepted in self.tickets(held.ticket.0 + 1..latest.0 + 1).await? {
            desired.apply(&accepted);
        }
        if desired.ticket != latest {
            return AbsentSnafu { key: ticket_key(latest) }.fail();
        }
        Ok(desired)
    }

    async fn objects(&self, latest: TicketNumber) -> Result<DesiredState, ReadError> {
        let mut desired = DesiredState { ticket: latest, ..DesiredState::default() };
        for row in self.table.scan(OBJECT_PREFIX).await? {
            add_object(&mut desired, &row)?;
        }
        Ok(desired)
    }

    async fn members(
        &self,
        held: &ClusterState,
        chain: &ViewChain,
    ) -> Result<Vec<MemberRow>, ReadError> {
        let newer = chain.changes.iter().skip_while(|change| change.view <= held.head.view);
        let first = newer.clone().next().map(|change| change.view);
        if held.head.view.0 == 0 || first != Some(held.head.view.next()) {
            return Ok(parse_rows(&self.table.scan(MEMBER_PREFIX).await?)?);
        }
        let changed: Vec<&HostId> = newer
            .flat_map(|change| {
                let left = change.left.iter().map(|left| &left.member.host);
                left.chain(change.joined.iter().map(|member| &member.host))
            })
            .collect();
        let kept = held.view.members.iter().filter(|row| !changed.contains(&&row.member.host));
        let mut members: Vec<MemberRow> = kept.cloned().collect();
        let mut keys: Vec<RowKey> = changed.iter().map(|host| member_key(host)).collect();
        keys.sort();
        keys.dedup();
        let rows = self.table.read(&keys).await?;
        for row in rows.iter().flatten() {
            members.push(parse_row(row)?);
        }
        Ok(members)
    }
}

fn parse_rows<T: serde::de::DeserializeOwned>(rows: &[StoredRow]) -> Result<Vec<T>, RowError> {
    rows.iter().map(parse_row).collect()
}

fn add_object(desired: &mut DesiredState, row: &StoredRow) -> Result<(), RowError> {
    let name = row.key.strip_prefix(OBJECT_PREFIX).unwrap_or_default();
    match name.split_once('/').map(|(kind, _)| kind) {
        Some("group_set") => {
            let spec: conf::ticket::GroupSetSpec = parse_row(row)?;
            desired.group_sets.insert(spec.name.clone(), spec);
        }
        Some("workspace") => {
            let spec: conf::ticket::WorkspaceSpec = parse_row(row)?;
            desired.workspaces.insert(spec.name.clone(), spec);
        }
        Some("service") => {
            let spec: conf::ticket::ServiceSpec = parse_row(row)?;
            desired.services.insert(spec.name.clone(), spec);
        }
        Some("flags") => desired.flags = parse_row(row)?,
        // Kinds that only a later version knows are ignored.
        _ => {}
    }
    Ok(())
}
