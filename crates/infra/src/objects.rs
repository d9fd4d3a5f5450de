//! The port to the platform's object store.

use {crate::PlatformError, async_trait::async_trait, bytes::Bytes};

/// The platform's object store; an object is always written as a whole.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object; `None` when it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object, replacing an earlier one.
    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError>;
}
