//! Keeping this node's copy equal to the table service's state.

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

/// Reads the state from the table service into the node's copy.
#[derive(Clone)]
pub struct TableSync {
    reader: StateReader,
    node: Arc<NodeCore>,
}

impl TableSync {
    /// Fills `node` through `reader`.
    pub fn new(reader: StateReader, node: Arc<NodeCore>) -> Self {
        Self { reader, node }
    }

    /// The reader.
    pub fn reader(&self) -> &StateReader {
        &self.reader
    }

    /// The node whose copy is kept.
    pub fn node(&self) -> &Arc<NodeCore> {
        &self.node
    }

    /// Reads the head row, and the state when the copy is older.
    pub async fn refresh(&self) -> Result<HeadRead, ReadError> {
        let read = self.reader.state(&self.node.state()).await?;
        self.node.hold(read.state);
        self.node.record_read(read.head.sent, read.head.head.number);
        Ok(read.head)
    }
}
