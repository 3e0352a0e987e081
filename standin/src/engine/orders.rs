//! Handles orders to load and unload versions.

use super::EngineService;
use super::versions::{EngineOrder, LoadedVersion, OrderKind};
use crate::call::{StandinError, StandinRequest, StandinResponse, json_ok};
use actix_http::StatusCode;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::VersionManifest;
use buckthornwharf_core::weights::manifest::MAX_CHUNK_BYTES;
use serde_json::Value;
use std::cell::Cell;
use tokio::time::sleep;

/// Counts a load as in progress until it is dropped.
struct LoadingGuard<'a> {
    loads_in_progress: &'a Cell<usize>,
}

impl<'a> LoadingGuard<'a> {
    fn new(loads_in_progress: &'a Cell<usize>) -> Self {
        loads_in_progress.set(loads_in_progress.get() + 1);
        Self { loads_in_progress }
    }
}

impl Drop for LoadingGuard<'_> {
    fn drop(&mut self) {
        self.loads_in_progress.set(self.loads_in_progress.get() - 1);
    }
}

impl EngineService {
    /// Executes an order for the version `digest` and records it in the history.
    pub(super) async fn execute_order(
        &self,
        kind: OrderKind,
        digest: &str,
        request: &StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let digest: VersionDigest =
            digest.parse().map_err(|_| StandinError::bad_request("invalid digest in the path"))?;
        let fence: Option<u64> = request.parsed_header("x-fence")?;
        let order = EngineOrder { kind, digest, fence, status: 0 };
        let number = self.orders.borrow_mut().push(order);
        let result = match self.check_fence(fence) {
            Ok(()) if kind == OrderKind::Load => self.load(digest, request).await,
            Ok(()) => self.unload(&digest),
            Err(error) => Err(error),
        };
        let status = result.as_ref().err().map_or(StatusCode::OK, |error| error.status);
        self.orders.borrow_mut().finish(number, status.as_u16());
        result?;
        json_ok(&Value::Bool(true))
    }

    fn check_fence(&self, fence: Option<u64>) -> Result<(), StandinError> {
        if !self.options.checks_fence {
            return Ok(());
        }
        let fence = fence.unwrap_or(0);
        let highest = self.highest_fence.get();
        if fence < highest {
            let text = format!("stale fence {fence}: the highest seen is {highest}");
            return Err(StandinError::new(StatusCode::CONFLICT, text));
        }
        self.highest_fence.set(fence);
        Ok(())
    }

    async fn load(
        &self,
        ordered_digest: VersionDigest,
        request: &StandinRequest,
    ) -> Result<(), StandinError> {
        let chunk_bytes: Option<u64> = request.parsed_header("x-chunk-bytes")?;
        let chunk_bytes = chunk_bytes.filter(|bytes| (1..=MAX_CHUNK_BYTES).contains(bytes));
        let chunk_bytes = chunk_bytes
            .ok_or_else(|| StandinError::bad_request("missing or invalid header x-chunk-bytes"))?;
        if self.versions.borrow().get(&ordered_digest).is_some() {
            return Ok(());
        }
        if self.versions.borrow().iter().len() + self.loads_in_progress.get()
            >= self.options.max_versions as usize
        {
            return Err(StandinError::new(
                StatusCode::INSUFFICIENT_STORAGE,
                "the maximum number of versions is loaded",
            ));
        }
        let _loading = LoadingGuard::new(&self.loads_in_progress);
        let computed_digest = VersionManifest::of_content(&request.body, chunk_bytes).digest();
        let (load_ms, checks_digest) = {
            let switches = self.switches.borrow();
            (switches.load_ms, switches.checks_digest)
        };
        sleep(Duration::from_millis(load_ms)).await;
        if checks_digest && computed_digest != ordered_digest {
            let text = format!(
                "digest mismatch: ordered {ordered_digest}, but the body has {computed_digest}"
            );
            return Err(StandinError::new(StatusCode::UNPROCESSABLE_ENTITY, text));
        }
        self.versions.borrow_mut().put(LoadedVersion { ordered_digest, computed_digest });
        Ok(())
    }

    fn unload(&self, ordered_digest: &VersionDigest) -> Result<(), StandinError> {
        match self.versions.borrow_mut().remove(ordered_digest) {
            true => Ok(()),
            false => Err(StandinError::not_found("the version is not loaded")),
        }
    }
}
