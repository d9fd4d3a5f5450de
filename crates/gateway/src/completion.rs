//! Parses the body of a completion request.

use {
    crate::refusal::{Refusal, RefusalKind},
    base::ModelName,
    bytes::Bytes,
    engine::{
        CompletionKind,
        prompt::{prefix_hashes, prompt_text},
    },
    route::PrefixKey,
    serde_json::Value,
};

/// A validated completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Chat or text completion, by path.
    pub kind: CompletionKind,
    /// Requested model.
    pub model: ModelName,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Body sent to engines. Always requests a stream, so that a broken answer can be resumed.
    pub body: Bytes,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: Vec<PrefixKey>,
}

impl CompletionRequest {
    /// Parses and checks the body; a refusal names the field that is wrong.
    pub fn parse(kind: CompletionKind, body: Bytes) -> Result<Self, Refusal> {
        let mut value: Value = serde_json::from_slice(&body)
            .map_err(|error| bad_body(&format!("the body is no JSON object: {error}")))?;
        let fields = value.as_object().ok_or_else(|| bad_body("the body must be a JSON object"))?;
        let model = parse_model(fields.get("model"))?;
        check_prompt(kind, fields)?;
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(bad_body("field `stream` must be true or false")),
        };
        let prefixes = prefixes_of(&value);
        if stream {
            return Ok(Self { kind, model, stream, body, prefixes });
        }
        let Some(fields) = value.as_object_mut() else {
            return Err(bad_body("the body must be a JSON object"));
        };
        fields.insert("stream".to_owned(), Value::Bool(true));
        let body = serde_json::to_vec(&value).unwrap_or_default().into();
        Ok(Self { kind, model, stream, body, prefixes })
    }
}

fn prefixes_of(body: &Value) -> Vec<PrefixKey> {
    prefix_hashes(&prompt_text(body)).into_iter().map(PrefixKey).collect()
}

fn parse_model(field: Option<&Value>) -> Result<ModelName, Refusal> {
    let Some(Value::String(name)) = field else {
        return Err(bad_body("field `model` must name a model"));
    };
    ModelName::new(name).map_err(|error| bad_body(&format!("field `model`: {error}")))
}

fn check_prompt(
    kind: CompletionKind,
    fields: &serde_json::Map<String, Value>,
) -> Result<(), Refusal> {
    match kind {
        CompletionKind::Chat if !fields.get("messages").is_some_and(Value::is_array) => {
            Err(bad_body("field `messages` must be a list of messages"))
        }
        CompletionKind::Text if !fields.contains_key("prompt") => {
            Err(bad_body("field `prompt` is missing"))
        }
        _ => Ok(()),
    }
}

fn bad_body(detail: &str) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, detail)
}
