//! Client that sends the demo's requests and counts their outcomes.

use super::mesh::Mesh;
use crate::cli::CliError;
use std::collections::BTreeMap;
use std::time::Duration;
use trillium_client::{Client, Method};

/// Timeout of one request, so that the demo does not hang.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A request to send to some node.
pub(super) struct SampleRequest {
    method: Method,
    path: String,
    /// Idempotency key; none for reads.
    key: Option<String>,
    /// Whether the request is marked as sent for the first time.
    is_first: bool,
}

impl SampleRequest {
    pub(super) fn get(path: String) -> Self {
        Self {
            method: Method::Get,
            path,
            key: None,
            is_first: false,
        }
    }

    pub(super) fn post(path: String, key: &str) -> Self {
        Self {
            method: Method::Post,
            path,
            key: Some(key.to_owned()),
            is_first: false,
        }
    }

    /// Marks the request as sent for the first time, so that a new owner can
    /// tell it from a duplicate of a request that an earlier owner ran.
    pub(super) fn marked_first_sent(self) -> Self {
        Self {
            is_first: true,
            ..self
        }
    }
}

/// Response to a sample request.
struct SampleResponse {
    status: u16,
    outcome: String,
    reason: Option<String>,
    is_duplicate: bool,
    ran_by: Option<String>,
}

/// Sends requests to the nodes in turn and counts the outcomes.
pub(super) struct SampleClient {
    http_client: Client,
    turn: usize,
    count_by_outcome: BTreeMap<String, usize>,
}

impl Default for SampleClient {
    fn default() -> Self {
        Self {
            http_client: Client::new(trillium_smol::ClientConfig::default()).with_default_pool(),
            turn: 0,
            count_by_outcome: BTreeMap::new(),
        }
    }
}

impl SampleClient {
    /// Sends a request to the next node and prints its outcome.
    pub(super) async fn send_and_print(
        &mut self,
        mesh: &Mesh,
        req: SampleRequest,
    ) -> Result<(), CliError> {
        let (entry, _) = mesh.entry(self.turn);
        let entry = entry.to_owned();
        let response = self.send(mesh, &req).await?;
        print_line(&entry, &req, &response);
        Ok(())
    }

    /// Sends a request to the next node; returns whether it was served.
    pub(super) async fn send_quietly(
        &mut self,
        mesh: &Mesh,
        req: SampleRequest,
    ) -> Result<bool, CliError> {
        Ok(self.send(mesh, &req).await?.status == 200)
    }

    /// Prints the number of requests with each outcome.
    pub(super) fn print_outcomes(&self) {
        for (outcome, count) in &self.count_by_outcome {
            println!("{count:4} {outcome}");
        }
    }

    async fn send(&mut self, mesh: &Mesh, req: &SampleRequest) -> Result<SampleResponse, CliError> {
        let (_, addr) = mesh.entry(self.turn);
        self.turn += 1;
        let url = format!("http://{addr}{}", req.path);
        let mut conn = self.http_client.build_conn(req.method, url.as_str());
        if let Some(key) = &req.key {
            conn = conn
                .with_request_header("Idempotency-Key", key.clone())
                .with_body("50000 XOF");
        }
        if req.is_first {
            conn = conn.with_request_header("Ibiscove-First-Sent-Ms", "0");
        }
        let exchange = async { receive(conn).await.map_err(CliError::failed) };
        let timeout = async {
            smol::Timer::after(REQUEST_TIMEOUT).await;
            Err(CliError::failed("a request got no response in time"))
        };
        let response = smol::future::or(exchange, timeout).await?;
        let outcome = match (&response.reason, response.is_duplicate) {
            (Some(reason), _) => format!("{}: {reason}", response.outcome),
            (None, true) => format!("{}, answered from the window", response.outcome),
            (None, false) => response.outcome.clone(),
        };
        *self.count_by_outcome.entry(outcome).or_default() += 1;
        Ok(response)
    }
}

async fn receive(conn: trillium_client::Conn) -> trillium_client::Result<SampleResponse> {
    let mut response = conn.await?;
    let header = |name: &'static str| response.response_headers().get_str(name).map(str::to_owned);
    let outcome = header("Ibiscove-Outcome").unwrap_or_default();
    let reason = header("Ibiscove-Reason");
    let is_duplicate = header("Ibiscove-Repeated").is_some();
    let status = response.status().map_or(0, |status| status as u16);
    let body = response.response_body().read_string().await?;
    let body: serde_json::Value = serde_json::from_str(&body).unwrap_or_default();
    Ok(SampleResponse {
        status,
        outcome,
        reason,
        is_duplicate,
        ran_by: body["upstream"].as_str().map(str::to_owned),
    })
}

fn print_line(entry: &str, req: &SampleRequest, response: &SampleResponse) {
    let method = req.method.as_str();
    let key = req.key.as_deref().unwrap_or("");
    let path = &req.path;
    let outcome = match (&response.reason, &response.ran_by) {
        (Some(reason), _) => format!("{}: {reason}", response.outcome),
        (None, Some(upstream)) if response.is_duplicate => {
            format!("ran once, by {upstream}; not run again")
        }
        (None, Some(upstream)) => format!("{}, by {upstream}", response.outcome),
        (None, None) => response.outcome.clone(),
    };
    println!(
        "{method:4} {path:22} {key:10} via {entry:10} {}  {outcome}",
        response.status
    );
}
