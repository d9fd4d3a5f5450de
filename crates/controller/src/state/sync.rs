//! Updates this node's copy of the durable state from the table service.

use {
    crate::{
        groups::port::DomainAuthority,
        state::{
            node::NodeCore,
            reader::{HeadRead, ReadError, StateReader},
        },
    },
    std::sync::Arc,
};

/// Connects a reader of the table service with the node whose copy it updates.
#[derive(Clone)]
pub struct TableSync {
    reader: StateReader,
    node: Arc<NodeCore>,
}

impl TableSync {
    /// Creates a sync that updates the copy of `node` from `reader`.
    pub fn new(reader: StateReader, node: Arc<NodeCore>) -> Self {
        Self { reader, node }
    }

    /// The reader, for reads that do not update the copy.
    pub fn reader(&self) -> &StateReader {
        &self.reader
    }

    /// The node whose copy is updated.
    pub fn node(&self) -> &Arc<NodeCore> {
        &self.node
    }

    /// Reads the head row, and also the changed state if the node's copy is older. Records the read as
    /// evidence.
    pub async fn refresh(&self) -> Result<HeadRead, ReadError> {
        let read = self.reader.state(&self.node.state()).await?;
        self.node.hold(read.state);
        self.node.record_read(read.head.sent, read.head.head.number);
        Ok(read.head)
    }
}
