//! The HTTP face of the table service, the object store and the host list.

use {
    crate::{
        hosts::HostLedger,
        objects::ObjectShelf,
        serve::{json, read_json},
        table::{CommitFate, TableRows},
    },
    bytes::Bytes,
    dropshot::{
        ApiDescription, ApiDescriptionRegisterError, Body, HttpError, Path, RequestContext,
        UntypedBody, endpoint,
    },
    http::{Response, StatusCode},
    infra::{
        Transaction,
        http::{HostsBody, ReadAnswer, ReadBody, ScanBody},
    },
    schemars::JsonSchema,
    serde::Deserialize,
    std::{sync::Arc, time::Duration},
};

/// The platform's services.
pub struct PlatformServices {
    /// The table service.
    pub table: TableRows,
    /// The object store.
    pub objects: ObjectShelf,
    /// The host list.
    pub hosts: HostLedger,
}

type Context = RequestContext<Arc<PlatformServices>>;
type Answer = Result<Response<Body>, HttpError>;

/// All calls of the platform's services.
pub fn platform_api() -> Result<ApiDescription<Arc<PlatformServices>>, ApiDescriptionRegisterError>
{
    let mut api = ApiDescription::new();
    api.register(table_read)?;
    api.register(table_scan)?;
    api.register(table_commit)?;
    api.register(object_get)?;
    api.register(object_put)?;
    api.register(host_list)?;
    Ok(api)
}

async fn table_delay(services: &PlatformServices) {
    let delay_ms = services.table.faults().delay_ms;
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

#[endpoint { method = POST, path = "/v1/table/read" }]
async fn table_read(context: Context, body: UntypedBody) -> Answer {
    let services = context.context();
    table_delay(services).await;
    let body: ReadBody = read_json(&body)?;
    json(StatusCode::OK, &ReadAnswer { rows: services.table.read(&body.keys) })
}

#[endpoint { method = POST, path = "/v1/table/scan" }]
async fn table_scan(context: Context, body: UntypedBody) -> Answer {
    let services = context.context();
    table_delay(services).await;
    let body: ScanBody = read_json(&body)?;
    json(StatusCode::OK, &services.table.scan(&body))
}

#[endpoint { method = POST, path = "/v1/table/commit" }]
async fn table_commit(context: Context, body: UntypedBody) -> Answer {
    let services = context.context();
    let transaction: Transaction = read_json(&body)?;
    if let Some(refusal) = TableRows::refusal(&transaction) {
        return Err(HttpError::for_bad_request(None, refusal));
    }
    table_delay(services).await;
    match services.table.next_fate() {
        CommitFate::Answered => json(StatusCode::OK, &services.table.commit(&transaction)),
        CommitFate::AnswerLost => {
            services.table.commit(&transaction);
            std::future::pending().await
        }
        CommitFate::Late(late_ms) => {
            land_late(services.clone(), transaction, late_ms);
            std::future::pending().await
        }
        CommitFate::Failed => {
            Err(HttpError::for_unavail(None, "the table service is out".to_owned()))
        }
    }
}

/// Commits after a while, whether or not the caller still waits.
fn land_late(services: Arc<PlatformServices>, transaction: Transaction, late_ms: u64) {
    tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
        services.table.commit(&transaction);
    });
}

#[derive(Deserialize, JsonSchema)]
struct ObjectPath {
    key: Vec<String>,
}

#[endpoint { method = GET, path = "/v1/objects/{key:.*}", unpublished = true }]
async fn object_get(context: Context, path: Path<ObjectPath>) -> Answer {
    let key = path.into_inner().key.join("/");
    let (status, body) = match context.context().objects.get(&key) {
        Some(body) => (StatusCode::OK, Body::from(body)),
        None => (StatusCode::NOT_FOUND, Body::empty()),
    };
    Response::builder().status(status).body(body).map_err(crate::serve::internal)
}

#[endpoint { method = PUT, path = "/v1/objects/{key:.*}", unpublished = true }]
async fn object_put(context: Context, path: Path<ObjectPath>, body: UntypedBody) -> Answer {
    let key = path.into_inner().key.join("/");
    context.context().objects.put(&key, Bytes::copy_from_slice(body.as_bytes()));
    json(StatusCode::OK, &())
}

#[endpoint { method = GET, path = "/v1/hosts" }]
async fn host_list(context: Context) -> Answer {
    json(StatusCode::OK, &HostsBody { hosts: context.context().hosts.shown() })
}
