//! Reads server-sent events from the parts of a body.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// The value of `event:`; empty when there is none.
    pub name: String,
    /// The lines of `data:`, joined by line feeds.
    pub data: String,
}

/// Cuts a body into events, whatever the bounds of its parts.
#[derive(Debug, Default)]
pub struct EventReader {
    rest: Vec<u8>,
    open: ServerEvent,
    has_lines: bool,
}

impl EventReader {
    /// Takes in a part and gives the events that it completes.
    pub fn push(&mut self, part: &[u8]) -> Vec<ServerEvent> {
        self.rest.extend_from_slice(part);
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = self.rest[start..].iter().position(|byte| *byte == b'\n') {
            let line = String::from_utf8_lossy(&self.rest[start..start + length]).into_owned();
            start += length + 1;
            events.extend(self.take_line(line.trim_end_matches('\r')));
        }
        self.rest.drain(..start);
        events
    }

    /// Whether the body ended between two events.
    pub fn is_complete(&self) -> bool {
        self.rest.is_empty() && !self.has_lines
    }

    fn take_line(&mut self, line: &str) -> Option<ServerEvent> {
        if line.is_empty() {
            let complete = std::mem::take(&mut self.has_lines);
            let event = std::mem::take(&mut self.open);
            return complete.then_some(event);
        }
        self.has_lines = true;
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.open.name = value.to_owned(),
            "data" if self.open.data.is_empty() => self.open.data = value.to_owned(),
            "data" => self.open.data = format!("{}\n{value}", self.open.data),
            _ => {}
        }
        None
    }
}
