//! Identities of requests: what stays the same when a caller repeats one.

use {
    crate::request::CallerHead,
    base::{ServiceName, WorkspaceId},
    http::request,
    poison::SuspectId,
    sha2::{Digest, Sha256},
};

/// Computes the identity of a request from its head and then from its body as it arrives.
///
/// Covers the service, the caller's workspace, host, method, path with query, model, parts of the
/// prompt and body. The request's id, its deadline and other headers may differ from try to try.
///
/// A caller can refuse the requests of others only with a body that has the digest of theirs. The
/// workspace alone does not prevent that, because public routes have none; a cryptographic digest
/// does.
#[derive(Clone, Debug)]
pub struct IdentityHasher {
    digest: Sha256,
}

impl IdentityHasher {
    /// Starts with the head of a request.
    pub fn new(
        head: &request::Parts,
        caller: &CallerHead,
        service: &ServiceName,
        workspace: Option<&WorkspaceId>,
    ) -> Self {
        let path = head.uri.path_and_query().map_or("", |path| path.as_str());
        let model = caller.model.as_ref().map_or("", |model| model.as_str());
        let workspace = workspace.map_or("", WorkspaceId::as_str);
        let texts = [service.as_str(), workspace, &caller.host, head.method.as_str(), path, model];
        let mut digest = Sha256::new();
        // Lengths keep "ab", "c" and "a", "bc" apart.
        for text in texts {
            digest.update((text.len() as u64).to_le_bytes());
            digest.update(text);
        }
        digest.update(caller.parts.to_string());
        digest.update([0]);
        Self { digest }
    }

    /// Adds the next bytes of the body.
    pub fn update(&mut self, bytes: &[u8]) {
        self.digest.update(bytes);
    }

    /// The identity of the request with the bytes so far as its body.
    pub fn finish(self) -> SuspectId {
        let digest = self.digest.finalize();
        let half = digest.iter().take(size_of::<u128>());
        SuspectId::request(half.fold(0, |id, byte| id << 8 | u128::from(*byte)))
    }
}
