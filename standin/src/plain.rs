//! A plain service that echoes each request and counts its runs.

use crate::call::{StandinError, StandinRequest, StandinResponse, json_ok};
use crate::runs::RunCounts;
use crate::server::{ConnectionTable, StandinRole};
use crate::switches::patch_switches;
use buckthornwharf_core::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;
use tokio::time::sleep;

/// When the connection of a request is closed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DropMode {
    /// Never.
    #[default]
    Off,
    /// Before the run, which is not counted.
    Before,
    /// After the run, which is counted.
    After,
}

/// Fault switches of a plain service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainSwitches {
    /// Delay between the run and the response, in milliseconds.
    pub delay_ms: u64,
    /// When connections are closed without a response.
    pub drop: DropMode,
    /// Whether requests are run but never get a response.
    pub stall: bool,
}

/// The response to any request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainEcho {
    /// Method of the request.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Body as text.
    pub body: String,
    /// `X-Request-Id` of the request.
    pub request_id: Option<String>,
}

/// A plain service.
#[derive(Debug)]
pub struct PlainService {
    switches: RefCell<PlainSwitches>,
    runs: RefCell<RunCounts>,
    connections: ConnectionTable,
}

impl PlainService {
    /// Creates a service that closes connections through `connections`.
    pub fn new(connections: ConnectionTable) -> Rc<Self> {
        Rc::new(Self { switches: RefCell::default(), runs: RefCell::default(), connections })
    }
}

impl StandinRole for PlainService {
    const NAME: &'static str = "plain";
    const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

    async fn answer(
        self: Rc<Self>,
        request: StandinRequest,
    ) -> Result<StandinResponse, StandinError> {
        let switches = self.switches.borrow().clone();
        if switches.drop == DropMode::Before {
            self.connections.cut(&request).await;
        }
        let echo = PlainEcho {
            method: request.method.to_string(),
            path: request.path.clone(),
            body: String::from_utf8_lossy(&request.body).into_owned(),
            request_id: request.header("x-request-id").map(str::to_owned),
        };
        self.runs.borrow_mut().add(echo.request_id.as_deref(), &echo.body);
        if switches.drop == DropMode::After {
            self.connections.cut(&request).await;
        }
        if switches.stall {
            pending::<()>().await;
        }
        sleep(Duration::from_millis(switches.delay_ms)).await;
        json_ok(&echo)
    }

    fn patch_switches(&self, patch: &[u8]) -> Result<(), StandinError> {
        patch_switches(&mut *self.switches.borrow_mut(), patch)
    }

    fn counts(&self) -> Value {
        json!(*self.runs.borrow())
    }
}
