//! Client of a platform that is reached over HTTP.
//!
//! A single row is written by a conditional request (RFC 9110: `ETag`,
//! `If-Match`, `If-None-Match`), several rows by the transaction route.
//! `docs/platform.md` specifies the routes.
//!
//! A refused connection and status 503 certainly had no effect; any other
//! failure of a write is reported as [`TableError::Unanswered`].

use crate::{Commit, Objects, RawRow, Table, TableError, Transaction};
use futures_lite::{AsyncReadExt, FutureExt};
use ibiscove_http::CheckedConnector;
use ibiscove_io::{Transfer, TransferLimits};
use ibiscove_types::RowVersion;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use std::future::{Future, IntoFuture};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use trillium_client::{Client, Conn, KnownHeaderName, Status};
use trillium_http::ReceivedBody;
use trillium_http::transport::BoxedTransport;

/// Largest body of a response: the rows of a whole table.
const MAX_BODY_BYTES: u64 = 10 << 20;
/// Lowest mean rate of a response's body, in bytes per second: what one of some forty
/// connections gets on a link of 10 Mbit/s.
const MIN_RATE: u32 = 32 << 10;
/// Length of a request's body, in bytes, above which it gets time to be sent: shorter
/// ones take less than 0.1 s on a link of 10 Mbit/s.
const LONG_REQUEST_BYTES: usize = 64 << 10;
/// Rate at which a long request is sent, in bytes per second: a tenth of a link of
/// 10 Mbit/s. Its progress can't be seen, for the kernel buffers it.
const REQUEST_RATE: u32 = 128 << 10;
/// Most bytes of a body that are read at a time.
const PART_LEN: usize = 64 << 10;

/// The request body of the transaction route.
#[derive(Debug, Serialize, Deserialize)]
pub struct TransactionBody {
    /// Preconditions, all of which must hold.
    pub conditions: Vec<ConditionBody>,
    /// Writes, applied atomically.
    pub writes: Vec<WriteBody>,
}

/// A condition of a [`TransactionBody`].
#[derive(Debug, Serialize, Deserialize)]
pub struct ConditionBody {
    /// Key of the row.
    pub key: String,
    /// The required version; null if the row must not exist.
    pub version: Option<RowVersion>,
}

/// A write of a [`TransactionBody`].
#[derive(Debug, Serialize, Deserialize)]
pub struct WriteBody {
    /// Key of the row.
    pub key: String,
    /// The new content; null deletes the row.
    pub body: Option<String>,
}

/// The response body of the transaction route.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitBody {
    /// Committed: the new version of each written row, in order of writes.
    Versions(Vec<RowVersion>),
    /// Not committed: key of the first row that did not meet its condition.
    Conflict(String),
}

/// A row in the response to a scan.
#[derive(Debug, Serialize, Deserialize)]
pub struct RowBody {
    /// Key of the row.
    pub key: String,
    /// The version that the table assigned to the row.
    pub version: RowVersion,
    /// The row's content.
    pub body: String,
}

/// Address of the platform and timeout of calls.
#[derive(Clone, Debug)]
pub struct HttpSettings {
    /// The platform's address.
    pub addr: SocketAddr,
    /// Longest time until the head of a response, and without progress of its body.
    pub timeout: Duration,
}

impl Default for HttpSettings {
    fn default() -> Self {
        Self {
            addr: SocketAddr::from(([127, 0, 0, 1], 7400)),
            timeout: Duration::from_millis(1_000),
        }
    }
}

/// A client of a platform over HTTP. Clones share connections.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    settings: HttpSettings,
    client: Client,
}

impl HttpPlatform {
    /// Returns a client without connections; the first call opens one.
    pub fn new(settings: HttpSettings) -> Self {
        let connector = CheckedConnector(trillium_smol::ClientConfig::default().with_nodelay(true));
        Self {
            settings,
            client: Client::new(connector).with_default_pool(),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.addr)
    }

    /// Sends a request without a body and reads the complete response.
    async fn send(&self, conn: Conn) -> Result<PlatformResponse, TableError> {
        self.exchange(conn, self.settings.timeout).await
    }

    /// Sends a request with a body and reads the complete response.
    async fn send_body(&self, conn: Conn, body: Vec<u8>) -> Result<PlatformResponse, TableError> {
        let mut timeout = self.settings.timeout;
        if body.len() > LONG_REQUEST_BYTES {
            timeout += Duration::from_secs_f64(body.len() as f64 / f64::from(REQUEST_RATE));
        }
        self.exchange(conn.with_body(body), timeout).await
    }

    /// Sends a request, waits for `timeout` until the head of its response, and then reads
    /// the body while it makes progress.
    async fn exchange(
        &self,
        conn: Conn,
        timeout: Duration,
    ) -> Result<PlatformResponse, TableError> {
        let sending = async { conn.into_future().await.map_err(classify_error) };
        let conn = with_timeout(timeout, sending).await?;
        let status = conn.status().unwrap_or(Status::InternalServerError);
        let etag = conn
            .response_headers()
            .get_str(KnownHeaderName::Etag)
            .map(str::to_owned);
        // A call that is dropped reads its body to the end, to use the connection
        // again; a body that is dropped closes the connection.
        let body = ReceivedBody::<'static, BoxedTransport>::from(conn);
        let body = read_body(body.with_max_len(MAX_BODY_BYTES), self.settings.timeout).await;
        let body = body.map_err(|err| TableError::Unanswered(err.to_string()))?;
        let response = PlatformResponse { status, etag, body };
        match response.status {
            Status::ServiceUnavailable => Err(TableError::Unavailable("status 503".to_owned())),
            Status::NotFound | Status::PreconditionFailed => Ok(response),
            _ => response.ensure_success(),
        }
    }

    /// Writes one row by a conditional request.
    async fn put_row(
        &self,
        key: &str,
        version: Option<RowVersion>,
        body: Vec<u8>,
    ) -> Result<Commit, TableError> {
        let conn = self
            .client
            .put(self.url(&format!("/table/{}", encode(key))));
        let conn = match version {
            Some(version) => conn.with_request_header(KnownHeaderName::IfMatch, etag(version)),
            None => conn.with_request_header(KnownHeaderName::IfNoneMatch, "*"),
        };
        let response = self.send_body(conn, body).await?;
        match response.status {
            Status::PreconditionFailed => Ok(Commit::Conflict(key.to_owned())),
            _ => Ok(Commit::Done(vec![
                response.ensure_success()?.parse_version()?,
            ])),
        }
    }

    async fn transact(&self, txn: Transaction) -> Result<Commit, TableError> {
        let body = TransactionBody::try_from(txn)?;
        let body = serde_json::to_vec(&body).map_err(|e| malformed_response(e.to_string()))?;
        let conn = self.client.post(self.url("/transactions"));
        match self
            .send_body(conn, body)
            .await?
            .ensure_success()?
            .parse_json()?
        {
            CommitBody::Versions(versions) => Ok(Commit::Done(versions)),
            CommitBody::Conflict(key) => Ok(Commit::Conflict(key)),
        }
    }
}

struct PlatformResponse {
    status: Status,
    etag: Option<String>,
    body: Vec<u8>,
}

impl PlatformResponse {
    /// Fails unless the status is a success. Any other response, such as a
    /// redirect or one from an unrelated server, does not reveal the call's
    /// effect.
    fn ensure_success(self) -> Result<Self, TableError> {
        if self.status.is_success() {
            return Ok(self);
        }
        Err(malformed_response(format!("status {}", self.status)))
    }

    fn parse_version(&self) -> Result<RowVersion, TableError> {
        let etag = self
            .etag
            .as_deref()
            .and_then(|etag| etag.trim_matches('"').parse().ok());
        etag.ok_or_else(|| {
            malformed_response(format!("status {} without a usable ETag", self.status))
        })
    }

    fn parse_json<B: for<'a> Deserialize<'a>>(&self) -> Result<B, TableError> {
        serde_json::from_slice(&self.body).map_err(|err| malformed_response(err.to_string()))
    }
}

/// Characters to percent-encode in a path segment: all but the unreserved ones
/// (RFC 3986, section 2.3). Slashes are encoded too: a key is one segment, so
/// that no dot segment in it can be resolved.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

fn encode(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, ENCODED)
}

/// Returns the entity tag of a version.
pub fn etag(version: RowVersion) -> String {
    format!("\"{version}\"")
}

/// Returns the error for a malformed response, which does not reveal the call's
/// effect.
fn malformed_response(text: String) -> TableError {
    TableError::Unanswered(text)
}

fn classify_error(err: trillium_client::Error) -> TableError {
    match err {
        trillium_client::Error::Io(err) if err.kind() == io::ErrorKind::ConnectionRefused => {
            TableError::Unavailable(err.to_string())
        }
        err => TableError::Unanswered(err.to_string()),
    }
}

/// Reads a body that does not go silent for `silence` and keeps up [`MIN_RATE`].
async fn read_body(
    mut body: ReceivedBody<'static, BoxedTransport>,
    silence: Duration,
) -> io::Result<Vec<u8>> {
    let limits = TransferLimits {
        silence,
        min_rate: MIN_RATE,
    };
    let mut transfer = Transfer::new(limits, Instant::now());
    let mut bytes = Vec::new();
    let mut part = vec![0; PART_LEN];
    loop {
        let stalled = async {
            smol::Timer::at(transfer.deadline()).await;
            Err(io::ErrorKind::TimedOut.into())
        };
        let read = body.read(&mut part).or(stalled).await?;
        if read == 0 {
            return Ok(bytes);
        }
        transfer.record(read, Instant::now());
        bytes.extend_from_slice(&part[..read]);
        if bytes.len() as u64 > MAX_BODY_BYTES {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
    }
}

async fn with_timeout<A>(
    limit: Duration,
    call: impl Future<Output = Result<A, TableError>>,
) -> Result<A, TableError> {
    let timeout = async {
        smol::Timer::after(limit).await;
        Err(TableError::Unanswered("timeout".to_owned()))
    };
    call.or(timeout).await
}

fn row_text(body: Vec<u8>) -> Result<String, TableError> {
    String::from_utf8(body).map_err(|_| TableError::Unavailable("row is not UTF-8".to_owned()))
}

impl TryFrom<Transaction> for TransactionBody {
    type Error = TableError;

    fn try_from(txn: Transaction) -> Result<Self, TableError> {
        let conditions = txn.conditions.into_iter();
        let conditions = conditions
            .map(|c| ConditionBody {
                key: c.key,
                version: c.version,
            })
            .collect();
        let writes = txn.writes.into_iter().map(|w| {
            Ok(WriteBody {
                key: w.key,
                body: w.body.map(row_text).transpose()?,
            })
        });
        Ok(Self {
            conditions,
            writes: writes.collect::<Result<_, TableError>>()?,
        })
    }
}

impl Table for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        let response = self
            .send(
                self.client
                    .get(self.url(&format!("/table/{}", encode(key)))),
            )
            .await?;
        if response.status == Status::NotFound {
            return Ok(None);
        }
        let response = response.ensure_success()?;
        Ok(Some(RawRow {
            version: response.parse_version()?,
            body: response.body.into(),
        }))
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        let response = self
            .send(
                self.client
                    .get(self.url(&format!("/table?prefix={}", encode(prefix)))),
            )
            .await?;
        let rows: Vec<RowBody> = response.ensure_success()?.parse_json()?;
        let rows = rows.into_iter();
        Ok(rows
            .map(|row| {
                (
                    row.key,
                    RawRow {
                        version: row.version,
                        body: row.body.into_bytes().into(),
                    },
                )
            })
            .collect())
    }

    async fn commit(&self, mut txn: Transaction) -> Result<Commit, TableError> {
        let is_single_row = txn.conditions.len() == 1
            && txn.writes.len() == 1
            && txn.conditions[0].key == txn.writes[0].key
            && txn.writes[0].body.is_some();
        if !is_single_row {
            return self.transact(txn).await;
        }
        let version = txn.conditions[0].version;
        let write = txn.writes.remove(0);
        self.put_row(&write.key, version, write.body.unwrap_or_default())
            .await
    }
}

impl Objects for HttpPlatform {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), TableError> {
        let conn = self
            .client
            .put(self.url(&format!("/objects/{}", encode(name))));
        self.send_body(conn, body).await?.ensure_success().map(drop)
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        let response = self
            .send(
                self.client
                    .get(self.url(&format!("/objects/{}", encode(name)))),
            )
            .await?;
        if response.status == Status::NotFound {
            return Ok(None);
        }
        Ok(Some(response.ensure_success()?.body))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, TableError> {
        let url = self.url(&format!("/objects?prefix={}", encode(prefix)));
        self.send(self.client.get(url))
            .await?
            .ensure_success()?
            .parse_json()
    }
}
