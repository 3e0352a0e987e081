//! `buckthornwharf where`: shows where an entry of the direct path would route a request, and why.

use crate::cmd::ExitStatus;
use crate::direct::placement_report::{PATH, PlacementQuery, PlacementReport};
use crate::platform::http::HttpCall;
use anyhow::{Context, Result, bail};
use awc::http::{Method, StatusCode};
use bpaf::Bpaf;
use buckthornwharf_core::prelude::*;
use std::net::SocketAddr;
use std::process::ExitCode;

const TIMEOUT: Duration = Duration::from_secs(2);
const MAX_REPORT_BYTES: usize = 4 * 1024 * 1024;

/// Shows where a request would be routed now, and why, without sending it.
#[derive(Debug, Clone, Bpaf)]
pub struct WhereCommand {
    /// Address of the entry's metrics
    #[bpaf(argument("ADDR"))]
    pub entry: SocketAddr,
    /// Name of the route
    #[bpaf(argument("ROUTE"))]
    pub route: String,
    /// Organisation that sends the request
    #[bpaf(argument("NAME"), optional)]
    pub organisation: Option<String>,
    /// Model that the request names
    #[bpaf(argument("MODEL"), optional)]
    pub model: Option<String>,
    /// Number of prompt tokens (default: 0)
    #[bpaf(argument("N"), fallback(0))]
    pub prompt_tokens: u32,
    /// Maximum number of tokens of the answer (default: 0)
    #[bpaf(argument("N"), fallback(0))]
    pub answer_tokens: u32,
    /// Print JSON instead of text
    pub json: bool,
}

impl WhereCommand {
    /// Prints the decision and the verdict on each target.
    ///
    /// # Errors
    ///
    /// The entry could not be read, or knows no such route or organisation.
    pub fn run(self) -> Result<ExitCode> {
        actix_rt::System::new().block_on(self.show())
    }

    async fn show(self) -> Result<ExitCode> {
        let query = PlacementQuery {
            route: self.route.into(),
            organisation: self.organisation.map(OrganisationName::from),
            prompt_tokens: self.prompt_tokens,
            answer_tokens: self.answer_tokens,
            model: self.model.map(ModelName::from),
        };
        let call = HttpCall {
            method: Method::POST,
            url: format!("http://{}{PATH}", self.entry),
            body: serde_json::to_vec(&query)?.into(),
            if_none_match: None,
            timeout: TIMEOUT,
            max_response_bytes: MAX_REPORT_BYTES,
        };
        let answer = call.send().await.context(ExitStatus::Incomplete)?;
        let text = String::from_utf8_lossy(&answer.body);
        match answer.status {
            StatusCode::OK => {}
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err(anyhow::anyhow!("{text}").context(ExitStatus::Incomplete));
            }
            status => bail!("the entry answered {status}: {text}"),
        }
        let report: PlacementReport =
            serde_json::from_slice(&answer.body).context(ExitStatus::Incomplete)?;
        match self.json {
            true => println!("{}", serde_json::to_string_pretty(&report)?),
            false => println!("{}", report.render()),
        }
        Ok(ExitStatus::Done.into())
    }
}
