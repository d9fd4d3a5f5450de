//! The object store: whole objects in memory.

use {bytes::Bytes, parking_lot::Mutex, std::collections::HashMap};

/// Objects by key.
#[derive(Debug, Default)]
pub struct ObjectShelf {
    objects: Mutex<HashMap<String, Bytes>>,
}

impl ObjectShelf {
    /// Reads an object.
    pub fn get(&self, key: &str) -> Option<Bytes> {
        self.objects.lock().get(key).cloned()
    }

    /// Writes an object.
    pub fn put(&self, key: &str, body: Bytes) {
        self.objects.lock().insert(key.to_owned(), body);
    }
}
