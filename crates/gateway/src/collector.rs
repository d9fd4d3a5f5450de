//! Merges the events of a stream into the single JSON object of an unstreamed answer.

use {
    bytes::Bytes,
    engine::CompletionKind,
    serde_json::{Map, Value, json},
    snafu::Snafu,
};

/// Fields of stream events that are left out of the merged object.
const STREAM_FIELDS: [&str; 2] = ["gf_attempt", "gf_index"];

/// An event of the stream is not a JSON object.
#[derive(Debug, Snafu)]
#[snafu(display("an event of the engine is no completion object"))]
pub struct CollectError;

/// Accumulates the events of one answer.
#[derive(Debug)]
pub struct AnswerCollector {
    kind: CompletionKind,
    object: Map<String, Value>,
    choices: Vec<Map<String, Value>>,
}

impl AnswerCollector {
    /// Creates a collector; `kind` selects the shape of the merged object.
    pub fn new(kind: CompletionKind) -> Self {
        Self { kind, object: Map::new(), choices: Vec::new() }
    }

    /// Merges the next event; events must be passed in stream order.
    pub fn add(&mut self, payload: &Bytes) -> Result<(), CollectError> {
        let Ok(Value::Object(event)) = serde_json::from_slice(payload) else {
            return CollectSnafu.fail();
        };
        for (name, value) in event {
            match (name.as_str(), value) {
                ("choices", Value::Array(choices)) => self.add_choices(choices),
                (name, _) if STREAM_FIELDS.contains(&name) => {}
                (_, Value::Null) => {}
                (_, value) => drop(self.object.insert(name, value)),
            }
        }
        Ok(())
    }

    /// Returns the body of the unstreamed answer.
    pub fn finish(mut self) -> Bytes {
        let object = match self.kind {
            CompletionKind::Chat => "chat.completion",
            CompletionKind::Text => "text_completion",
        };
        self.object.insert("object".to_owned(), json!(object));
        let chat = self.kind == CompletionKind::Chat;
        let choices = self.choices.into_iter().map(|choice| finish_choice(choice, chat)).collect();
        self.object.insert("choices".to_owned(), Value::Array(choices));
        serde_json::to_vec(&self.object).unwrap_or_default().into()
    }

    fn add_choices(&mut self, choices: Vec<Value>) {
        for (position, choice) in choices.into_iter().enumerate() {
            let Value::Object(choice) = choice else { continue };
            let index = choice.get("index").and_then(Value::as_u64).unwrap_or(position as u64);
            let merged = self
                .choices
                .iter_mut()
                .find(|merged| merged.get("index").and_then(Value::as_u64) == Some(index));
            match merged {
                Some(merged) => merge_choice(merged, choice),
                None => {
                    let mut merged = Map::new();
                    merged.insert("index".to_owned(), json!(index));
                    merge_choice(&mut merged, choice);
                    self.choices.push(merged);
                }
            }
        }
    }
}

/// Sets the role of a chat message if the engine's deltas had none; clients expect one.
fn finish_choice(mut choice: Map<String, Value>, chat: bool) -> Value {
    if chat && let Some(Value::Object(message)) = choice.get_mut("message") {
        message.entry("role").or_insert_with(|| json!("assistant"));
    }
    Value::Object(choice)
}

/// Merges an event's choice into the accumulated one. A chat's `delta` is merged into `message`.
fn merge_choice(merged: &mut Map<String, Value>, choice: Map<String, Value>) {
    for (name, value) in choice {
        match (name.as_str(), value) {
            ("index", _) => {}
            ("delta", Value::Object(delta)) => {
                let message = merged.entry("message").or_insert_with(|| json!({}));
                merge(message, Value::Object(delta));
            }
            ("finish_reason", value) => drop(merged.insert(name, value)),
            (_, value) => merge(merged.entry(name).or_insert(Value::Null), value),
        }
    }
}

/// Merges JSON values: concatenates strings, merges objects by field and lists by the items'
/// `index`, ignores nulls. Any other value replaces the earlier one.
fn merge(merged: &mut Value, added: Value) {
    match (merged, added) {
        (_, Value::Null) => {}
        (Value::String(merged), Value::String(added)) => merged.push_str(&added),
        (Value::Object(merged), Value::Object(added)) => merge_fields(merged, added),
        (Value::Array(merged), Value::Array(added)) => merge_items(merged, added),
        (merged, added) => *merged = added,
    }
}

fn merge_fields(merged: &mut Map<String, Value>, added: Map<String, Value>) {
    for (name, value) in added {
        let set_once = matches!(name.as_str(), "role" | "id" | "type" | "name");
        let entry = merged.entry(name).or_insert(Value::Null);
        if set_once && !entry.is_null() {
            continue;
        }
        merge(entry, value);
    }
}

/// Merges an item into the one with the same `index` field, or appends it if there is none.
fn merge_items(merged: &mut Vec<Value>, added: Vec<Value>) {
    for item in added {
        let index = item.get("index").cloned();
        let same = merged
            .iter_mut()
            .find(|merged| index.is_some() && merged.get("index") == index.as_ref());
        match same {
            Some(same) => merge(same, item),
            None => merged.push(item),
        }
    }
}
