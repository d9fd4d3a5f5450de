//! HTTP adapter of the table service.

use {
    super::{HttpCaller, ServiceClient},
    crate::{CommitOutcome, PlatformError, RowKey, StoredRow, TableStore, Transaction},
    async_trait::async_trait,
    std::{net::SocketAddr, time::Duration},
};

/// Most rows requested in one page of a scan.
const SCAN_PAGE_ROWS: u32 = 5_000;
/// Number of times that a scan of several pages is read again before it fails because no two
/// successive rounds returned the same rows.
const MAX_SCAN_ROUNDS: u32 = 5;

base::value_type!(
    /// JSON body of a read by key.
    pub struct ReadBody {
        /// The rows to read; a key may be absent from the table.
        pub keys: Vec<RowKey>,
    }
);

base::value_type!(
    /// JSON reply to a [`ReadBody`].
    pub struct ReadAnswer {
        /// One entry per requested key, in the same order; `None` where the row is absent.
        pub rows: Vec<Option<StoredRow>>,
    }
);

base::value_type!(
    /// JSON body of a scan by key prefix; requests one page.
    pub struct ScanBody {
        /// The rows whose key starts with this are selected.
        pub prefix: RowKey,
        /// Only rows with a greater key; absent for the first page.
        pub after: Option<RowKey>,
        /// Largest number of rows in the page.
        pub limit: u32,
    }
);

base::value_type!(
    /// JSON reply to a [`ScanBody`]: one page of rows.
    pub struct ScanAnswer {
        /// Sorted by key.
        pub rows: Vec<StoredRow>,
        /// Whether the scan has further rows after this page.
        pub more: bool,
    }
);

/// Client of the platform's table service.
pub struct HttpTable {
    client: ServiceClient,
}

impl HttpTable {
    /// `timeout` bounds each call, from connecting to the end of the reply.
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

    /// Reads all pages; the flag tells whether there was more than one.
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

    /// One page is a consistent snapshot; several pages are not. They are read until two rounds
    /// return the same rows: versions never repeat, so these rows existed together between the
    /// two rounds.
    async fn scan(&self, prefix: &str) -> Result<Vec<StoredRow>, PlatformError> {
        let (mut rows, paged) = self.scan_pages(prefix).await?;
        if !paged {
            return Ok(rows);
        }
        for _ in 0..MAX_SCAN_ROUNDS {
            let (reread, _) = self.scan_pages(prefix).await?;
            if reread == rows {
                return Ok(rows);
            }
            rows = reread;
        }
        let detail = format!("rows under `{prefix}` kept changing during the scan");
        Err(PlatformError::Unknown { service: "table service", detail })
    }

    async fn commit(&self, transaction: Transaction) -> Result<CommitOutcome, PlatformError> {
        let answered = self.client.post("/v1/table/commit", &transaction).await;
        answered.map_err(|error| match error {
            // The service responded with a success status, so the commit may have taken effect.
            PlatformError::Unreadable { service, detail } => {
                PlatformError::Unknown { service, detail }
            }
            other => other,
        })
    }
}
