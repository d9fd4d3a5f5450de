//! The table service over HTTP.

use {
    super::{HttpCaller, ServiceClient},
    crate::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
    async_trait::async_trait,
    std::{net::SocketAddr, time::Duration},
};

/// Rows asked for in one call of a scan.
const SCAN_PAGE_ROWS: u32 = 5_000;
/// How often a scan of several pages is repeated while its rows keep changing.
const MAX_SCAN_ROUNDS: u32 = 5;

base::value_type!(
    /// Asks for rows by key.
    pub struct ReadBody {
        /// The keys.
        pub keys: Vec<RowKey>,
    }
);

base::value_type!(
    /// Rows in the order of the keys asked for.
    pub struct ReadAnswer {
        /// The rows; none where the key is absent.
        pub rows: Vec<Option<StoredRow>>,
    }
);

base::value_type!(
    /// Asks for rows by prefix.
    pub struct ScanBody {
        /// What the keys start with.
        pub prefix: RowKey,
        /// Only keys behind this one.
        pub after: Option<RowKey>,
        /// Most rows in the answer.
        pub limit: u32,
    }
);

base::value_type!(
    /// One page of a scan.
    pub struct ScanAnswer {
        /// The rows in the order of their keys.
        pub rows: Vec<StoredRow>,
        /// Whether rows follow.
        pub more: bool,
    }
);

/// The platform's table service over HTTP.
pub struct HttpTable {
    client: ServiceClient,
}

impl HttpTable {
    /// The table service at `address`, with at most `timeout` for each answer.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let caller = HttpCaller::new(timeout);
        Self { client: ServiceClient { service: "table service", address, caller } }
    }

    async fn scan_page(
        &self,
        prefix: &str,
        after: Option<RowKey>,
    ) -> Result<ScanAnswer, PlatformError> {
        let body = ScanBody { prefix: prefix.into(), after, limit: SCAN_PAGE_ROWS };
        self.client.post("/v1/table/scan", &body).await
    }

    /// Reads all pages; says whether there was more than one.
    async fn scan_pages(&self, prefix: &str) -> Result<(Vec<StoredRow>, bool), PlatformError> {
        let mut page = self.scan_page(prefix, None).await?;
        let paged = page.more;
        let mut rows = std::mem::take(&mut page.rows);
        while page.more {
            let after = rows.last().map(|row| row.key.clone());
            page = self.scan_page(prefix, after).await?;
            rows.append(&mut page.rows);
        }
        Ok((rows, paged))
    }
}

#[async_trait]
impl TableStore for HttpTable {
    async fn read(&self, keys: &[RowKey]) -> Result<Vec<Option<StoredRow>>, PlatformError> {
        let body = ReadBody { keys: keys.to_vec() };
        let answer: ReadAnswer = self.client.post("/v1/table/read", &body).await?;
        if answer.rows.len() == keys.len() {
            return Ok(answer.rows);
        }
        let detail = format!("{} rows for {} keys", answer.rows.len(), keys.len());
        Err(PlatformError::Unreadable { service: "table service", detail })
    }

    /// Several pages are not from one moment: they are read until two rounds agree, and versions
    /// never repeat, so that the rows stood together between the rounds.
    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
        let (mut rows, paged) = self.scan_pages(prefix).await?;
        if !paged {
            return Ok(rows);
        }
        for _ in 0..MAX_SCAN_ROUNDS {
            let (again, _) = self.scan_pages(prefix).await?;
            if again == rows {
                return Ok(rows);
            }
            rows = again;
        }
        let detail = format!("rows under `{prefix}` kept changing during the scan");
        Err(PlatformError::Unknown { service: "table service", detail })
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let answered = self.client.post("/v1/table/commit", &transaction).await;
        answered.map_err(|error| match error {
            // The service answered, so the commit may well have taken effect.
            PlatformError::Unreadable { service, detail } => {
                PlatformError::Unknown { service, detail }
            }
            other => other,
        })
    }
}
