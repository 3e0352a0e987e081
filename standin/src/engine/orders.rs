//! Orders to load and unload versions.

use super::EngineService;
use super::versions::{EngineOrder, LoadedVersion, OrderKind};
use crate::call::{CallAnswer, CallError, HttpCall, json_ok};
use actix_http::StatusCode;
use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::VersionManifest;
use buckthornwharf_core::weights::manifest::MAX_CHUNK_BYTES;
use serde_json::Value;
use std::cell::Cell;
use tokio::time::sleep;

/// Counts a load as under way for as long as it lives.
struct LoadingGuard<'a> {
    loading: &'a Cell<usize>,
}

impl<'a> LoadingGuard<'a> {
    fn new(loading: &'a Cell<usize>) -> Self {
        loading.set(loading.get() + 1);
        Self { loading }
    }
}

impl Drop for LoadingGuard<'_> {
    fn drop(&mut self) {
        self.loading.set(self.loading.get() - 1);
    }
}

impl EngineService {
    /// Takes an order about the version named `digest`.
    pub(super) async fn take_order(
        &self,
        kind: OrderKind,
        digest: &str,
        call: &HttpCall,
    ) -> Result<CallAnswer, CallError> {
        let digest: VersionDigest = digest.parse().map_err(|_| CallError::bad("bad digest"))?;
        let fence: Option<u64> = call.parsed_header("x-fence")?;
        let order = EngineOrder { kind, digest, fence, status: 0 };
        let number = self.orders.borrow_mut().push(order);
        let result = match self.check_fence(fence) {
            Ok(()) if kind == OrderKind::Load => self.load(digest, call).await,
            Ok(()) => self.unload(&digest),
            Err(error) => Err(error),
        };
        let status = result.as_ref().err().map_or(StatusCode::OK, |error| error.status);
        self.orders.borrow_mut().finish(number, status.as_u16());
        result?;
        json_ok(&Value::Bool(true))
    }

    fn check_fence(&self, fence: Option<u64>) -> Result<(), CallError> {
        if !self.options.checks_fence {
            return Ok(());
        }
        let fence = fence.unwrap_or(0);
        let highest = self.highest_fence.get();
        if fence < highest {
            let text = format!("fence {fence} is older than {highest}");
            return Err(CallError::new(StatusCode::CONFLICT, text));
        }
        self.highest_fence.set(fence);
        Ok(())
    }

    async fn load(&self, named: VersionDigest, call: &HttpCall) -> Result<(), CallError> {
        let chunk_bytes: Option<u64> = call.parsed_header("x-chunk-bytes")?;
        let chunk_bytes = chunk_bytes.filter(|bytes| (1..=MAX_CHUNK_BYTES).contains(bytes));
        let chunk_bytes = chunk_bytes.ok_or_else(|| CallError::bad("bad header x-chunk-bytes"))?;
        if self.versions.borrow().get(&named).is_some() {
            return Ok(());
        }
        if self.versions.borrow().iter().len() + self.loading.get() >= self.options.holds as usize {
            return Err(CallError::new(StatusCode::INSUFFICIENT_STORAGE, "no room for a version"));
        }
        let _loading = LoadingGuard::new(&self.loading);
        let computed = VersionManifest::of_content(&call.body, chunk_bytes).digest();
        let (load_ms, checks_digest) = {
            let switches = self.switches.borrow();
            (switches.load_ms, switches.checks_digest)
        };
        sleep(Duration::from_millis(load_ms)).await;
        if checks_digest && computed != named {
            let text = format!("the body has the digest {computed}");
            return Err(CallError::new(StatusCode::UNPROCESSABLE_ENTITY, text));
        }
        self.versions.borrow_mut().put(LoadedVersion { named, computed });
        Ok(())
    }

    fn unload(&self, named: &VersionDigest) -> Result<(), CallError> {
        match self.versions.borrow_mut().remove(named) {
            true => Ok(()),
            false => Err(CallError::absent("the version is not loaded")),
        }
    }
}
