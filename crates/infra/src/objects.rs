//! The port to the object store.

use {crate::PlatformError, async_trait::async_trait, bytes::Bytes};

/// The object store; objects are written whole.
#[async_trait]
pub trait ObjectStore: Send + Sync {
    /// Reads an object; none when it does not exist.
    async fn get(&self, key: &str) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object, replacing an earlier one.
    async fn put(&self, key: &str, body: Bytes) -> Result<(), PlatformError>;
}
