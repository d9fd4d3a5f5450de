//! HTTP paths, headers and values of the protocol with engines and plain services.

/// Path of chat completions, whose body has `messages`.
pub const CHAT_PATH: &str = "/v1/chat/completions";
/// Path of plain completions, whose body has `prompt`.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path that accepts orders of the controller.
pub const ORDERS_PATH: &str = "/v1/engine/orders";
/// Path of an engine's state; also probed to see whether the engine responds.
pub const STATE_PATH: &str = "/v1/engine/state";
/// Path of an engine's load report, which lags behind the actual load.
pub const LOAD_PATH: &str = "/v1/engine/load";
/// Path of an engine's cache events, which may be late and incomplete; `?after=N` selects those
/// with a higher number.
pub const CACHE_EVENTS_PATH: &str = "/v1/engine/cache-events";
/// Path of a plain service's load report; optional for the service.
pub const SERVICE_LOAD_PATH: &str = "/v1/service/load";
/// Path that cancels a running attempt, whose id is in the body.
pub const CANCEL_PATH: &str = "/v1/engine/cancel";

/// Header with the serving group that must run the request; an engine in another group refuses.
pub const GROUP_HEADER: &str = "x-gf-group";
/// Header with the epoch that the group must have; an engine in another epoch refuses.
pub const EPOCH_HEADER: &str = "x-gf-epoch";
/// Header with the attempt id; the engine echoes it in the response and in every event.
pub const ATTEMPT_HEADER: &str = "x-gf-attempt";
/// Header with the number of tokens the caller already has; generation resumes after them.
pub const OFFSET_HEADER: &str = "x-gf-offset";
/// Header with the priority, 0 (lowest) to 9.
pub const PRIORITY_HEADER: &str = "x-gf-priority";
/// Header with the time left for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-gf-deadline-ms";
/// Header of an error response that states whether the request was run.
pub const OUTCOME_HEADER: &str = "x-gf-outcome";
/// Header with the caller's idempotency key; its presence marks a request as non-idempotent.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";
/// Header with the caller's workspace, for plain services.
pub const WORKSPACE_HEADER: &str = "x-gf-workspace";
/// Value of [`OUTCOME_HEADER`]: the request was certainly not run.
pub const OUTCOME_NOT_RUN: &str = "not-run";
/// Value of [`OUTCOME_HEADER`]: the request may have been run.
pub const OUTCOME_UNKNOWN: &str = "unknown";
/// Data of the last event of a complete stream.
pub const DONE_EVENT: &str = "[DONE]";
