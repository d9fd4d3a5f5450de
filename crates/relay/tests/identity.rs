//! Tests of what makes two requests the same.

use {
    base::{ModelName, ServiceName, WorkspaceId},
    http::{Request, request},
    poison::{PromptParts, SuspectId, SuspectKind},
    relay::{CallerHead, IdentityHasher, RequestId},
    std::time::Duration,
    yare::parameterized,
};

/// A request with what may differ between two of them.
#[derive(Clone, Debug)]
struct SampleRequest {
    id: &'static str,
    deadline_ms: u64,
    service: &'static str,
    workspace: Option<&'static str>,
    host: &'static str,
    method: &'static str,
    target: &'static str,
    model: Option<&'static str>,
    parts: &'static [u64],
    body: &'static [u8],
}

impl Default for SampleRequest {
    fn default() -> Self {
        Self {
            id: "r1",
            deadline_ms: 1_000,
            service: "s",
            workspace: Some("w"),
            host: "h",
            method: "POST",
            target: "/a/b?c=d",
            model: None,
            parts: &[],
            body: b"text",
        }
    }
}

impl SampleRequest {
    fn head(&self) -> request::Parts {
        let request = Request::builder().method(self.method).uri(self.target);
        request.header("x-try", self.id).body(()).unwrap().into_parts().0
    }

    fn hasher(&self) -> IdentityHasher {
        let caller = CallerHead {
            id: RequestId(self.id.into()),
            host: self.host.into(),
            key: None,
            deadline: Some(Duration::from_millis(self.deadline_ms)),
            model: self.model.map(|name| ModelName::new(name).unwrap()),
            size: None,
            parts: PromptParts::new(self.parts.iter().map(|part| SuspectId::part(*part))),
            last_event: None,
        };
        let service = ServiceName::new(self.service).unwrap();
        let workspace = self.workspace.map(|name| WorkspaceId::new(name).unwrap());
        IdentityHasher::new(&self.head(), &caller, &service, workspace.as_ref())
    }

    fn identity(&self) -> SuspectId {
        let mut hasher = self.hasher();
        hasher.update(self.body);
        hasher.finish()
    }
}

#[parameterized(
    service = { SampleRequest { service: "t", ..SampleRequest::default() } },
    workspace = { SampleRequest { workspace: Some("v"), ..SampleRequest::default() } },
    no_workspace = { SampleRequest { workspace: None, ..SampleRequest::default() } },
    host = { SampleRequest { host: "g", ..SampleRequest::default() } },
    method = { SampleRequest { method: "PUT", ..SampleRequest::default() } },
    path = { SampleRequest { target: "/a/c?c=d", ..SampleRequest::default() } },
    query = { SampleRequest { target: "/a/b?c=e", ..SampleRequest::default() } },
    model = { SampleRequest { model: Some("m"), ..SampleRequest::default() } },
    parts = { SampleRequest { parts: &[1, 2], ..SampleRequest::default() } },
    body = { SampleRequest { body: b"texts", ..SampleRequest::default() } },
    no_body = { SampleRequest { body: b"", ..SampleRequest::default() } },
    shifted = { SampleRequest { service: "sw", workspace: None, ..SampleRequest::default() } },
)]
fn different_requests_have_different_identities(other: SampleRequest) {
    assert_ne!(other.identity(), SampleRequest::default().identity());
}

#[parameterized(
    id = { SampleRequest { id: "r2", ..SampleRequest::default() } },
    deadline = { SampleRequest { deadline_ms: 500, ..SampleRequest::default() } },
)]
fn a_repeated_request_keeps_its_identity(other: SampleRequest) {
    assert_eq!(other.identity(), SampleRequest::default().identity());
}

/// How the body arrives in pieces does not matter.
#[test]
fn a_body_in_pieces_has_the_same_identity() {
    let request = SampleRequest::default();
    for split in 0..=request.body.len() {
        let (first, rest) = request.body.split_at(split);
        let mut hasher = request.hasher();
        hasher.update(first);
        hasher.update(rest);
        assert_eq!(hasher.finish(), request.identity(), "split at {split}");
    }
}

#[test]
fn identities_of_requests_are_no_parts() {
    let identity = SampleRequest::default().identity();
    assert_eq!(identity.kind(), SuspectKind::Request);
    assert_eq!(SuspectId::part(u64::MAX).kind(), SuspectKind::Part);
    assert_eq!(identity.to_string().parse(), Ok(identity));
}
