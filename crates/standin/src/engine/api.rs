//! The HTTP face of an engine.

use {
    crate::{
        engine::{
            StandinEngine,
            generate::{AdmittedRun, TokenSink},
            order::OrderFate,
            request::{CompletionRequest, Refusal},
            shape::EventWriter,
        },
        serve::{internal, json, read_json},
    },
    base::AttemptId,
    dropshot::{
        ApiDescription, ApiDescriptionRegisterError, Body, HttpError, Query, RequestContext,
        UntypedBody, endpoint,
    },
    engine::{EngineOrder, wire},
    http::{Response, StatusCode, header::CONTENT_TYPE},
    http_body_util::StreamBody,
    schemars::JsonSchema,
    serde::Deserialize,
    std::sync::Arc,
    tokio::sync::mpsc::unbounded_channel,
    tokio_stream::wrappers::UnboundedReceiverStream,
};

type Context = RequestContext<Arc<StandinEngine>>;
type Answer = Result<Response<Body>, HttpError>;

base::value_type!(
    /// Names an attempt to cancel.
    pub struct CancelBody {
        /// The attempt.
        pub attempt: AttemptId,
    }
);

base::value_type!(
    /// The answer to a cancel.
    pub struct CancelAnswer {
        /// Whether the attempt was running.
        pub cancelled: bool,
    }
);

base::value_type!(
    /// The body of a refusal.
    struct RefusalBody {
        /// Why.
        error: String,
    }
);

/// All calls of an engine.
pub fn engine_api() -> Result<ApiDescription<Arc<StandinEngine>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(chat_completions)?;
    api.register(text_completions)?;
    api.register(engine_orders)?;
    api.register(engine_state)?;
    api.register(engine_load)?;
    api.register(cache_events)?;
    api.register(engine_cancel)?;
    Ok(api)
}

#[endpoint { method = POST, path = "/v1/engine/orders" }]
async fn engine_orders(context: Context, body: UntypedBody) -> Answer {
    let order: EngineOrder = read_json(&body)?;
    match context.context().take_order(order) {
        OrderFate::Answered(answer) => json(StatusCode::OK, &answer),
        OrderFate::Lost => std::future::pending().await,
    }
}

#[endpoint { method = GET, path = "/v1/engine/state" }]
async fn engine_state(context: Context) -> Answer {
    json(StatusCode::OK, &context.context().state())
}

#[endpoint { method = GET, path = "/v1/engine/load" }]
async fn engine_load(context: Context) -> Answer {
    json(StatusCode::OK, &context.context().load_report())
}

#[derive(Deserialize, JsonSchema)]
struct EventsQuery {
    after: Option<u64>,
}

#[endpoint { method = GET, path = "/v1/engine/cache-events" }]
async fn cache_events(context: Context, query: Query<EventsQuery>) -> Answer {
    let after = query.into_inner().after.unwrap_or(0);
    json(StatusCode::OK, &context.context().cache_events(after))
}

#[endpoint { method = POST, path = "/v1/engine/cancel" }]
async fn engine_cancel(context: Context, body: UntypedBody) -> Answer {
    let body: CancelBody = read_json(&body)?;
    let cancelled = context.context().cancel(&body.attempt);
    json(StatusCode::OK, &CancelAnswer { cancelled })
}

#[endpoint { method = POST, path = "/v1/chat/completions" }]
async fn chat_completions(context: Context, body: UntypedBody) -> Answer {
    complete(context, true, body).await
}

#[endpoint { method = POST, path = "/v1/completions" }]
async fn text_completions(context: Context, body: UntypedBody) -> Answer {
    complete(context, false, body).await
}

async fn complete(context: Context, chat: bool, body: UntypedBody) -> Answer {
    let engine = context.context();
    let headers = context.request.headers();
    let default_tokens = engine.default_tokens();
    let request = CompletionRequest::read(chat, headers, body.as_bytes(), default_tokens)
        .map_err(|detail| HttpError::for_bad_request(None, detail))?;
    match engine.admit(request).await {
        Ok(run) if run.request().stream => stream(engine, run),
        Ok(run) => gather(run).await,
        Err(refusal) => refuse(refusal),
    }
}

fn refuse(refusal: Refusal) -> Answer {
    let mut response = json(refusal.status(), &RefusalBody { error: refusal.reason().to_owned() })?;
    let outcome = wire::OUTCOME_NOT_RUN.parse().map_err(internal)?;
    response.headers_mut().insert(wire::OUTCOME_HEADER, outcome);
    Ok(response)
}

fn stream(engine: &StandinEngine, run: AdmittedRun) -> Answer {
    let (shaper, receiver) = engine.shaper(&run);
    let attempt = run.attempt().to_string();
    run.spawn(TokenSink::Stream(Box::new(shaper)));
    Response::builder()
        .status(StatusCode::OK)
        .header(CONTENT_TYPE, "text/event-stream")
        .header(wire::ATTEMPT_HEADER, attempt)
        .body(Body::wrap(StreamBody::new(UnboundedReceiverStream::new(receiver))))
        .map_err(internal)
}

/// Waits for every token and answers with one object; fails when the run ends early.
async fn gather(run: AdmittedRun) -> Answer {
    let writer = EventWriter::new(run.request());
    let attempt = run.attempt().clone();
    let (sender, mut receiver) = unbounded_channel();
    run.spawn(TokenSink::Gather(sender));
    let mut text = String::new();
    while let Some(token) = receiver.recv().await {
        text.push_str(&token.text);
        if token.last {
            let answer = writer.whole(&attempt, &text, token.index + 1);
            let mut response = json(StatusCode::OK, &answer)?;
            let echo = attempt.as_str().parse().map_err(internal)?;
            response.headers_mut().insert(wire::ATTEMPT_HEADER, echo);
            return Ok(response);
        }
    }
    Err(HttpError::for_internal_error("the group broke".to_owned()))
}
