//! Client of a platform that is reached over HTTP.
//!
//! A single row is written by a conditional request (RFC 9110: `ETag`,
//! `If-Match`, `If-None-Match`), several rows by the transaction route.
//! `docs/platform.md` specifies the routes.
//!
//! A refused connection and status 503 certainly had no effect; any other
//! failure of a write is reported as [`TableError::Unanswered`].

use crate::{Commit, Objects, RawRow, Table, TableError, Transaction};
use futures_lite::FutureExt;
use ibiscove_http::CheckedConnector;
use ibiscove_types::RowVersion;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::{Deserialize, Serialize};
use std::future::{Future, IntoFuture};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use trillium_client::{Client, Conn, KnownHeaderName, Status};
use trillium_http::ReceivedBody;
use trillium_http::transport::BoxedTransport;

/// Largest body of a response: the rows of a whole table.
const MAX_BODY_BYTES: u64 = 10 << 20;

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
    /// Timeout of one call.
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

    /// Sends a request and reads the complete response.
    async fn send(&self, conn: Conn) -> Result<PlatformResponse, TableError> {
        let exchange = async {
            let conn = conn.into_future().await.map_err(classify_error)?;
            let status = conn.status().unwrap_or(Status::InternalServerError);
            let etag = conn
                .response_headers()
                .get_str(KnownHeaderName::Etag)
                .map(str::to_owned);
            // A call that is dropped reads its body to the end, to use the connection
            // again; a body that is dropped closes the connection.
            let body = ReceivedBody::<'static, BoxedTransport>::from(conn);
            let body = body.with_max_len(MAX_BODY_BYTES).read_bytes().await;
            let body = body.map_err(|err| TableError::Unanswered(err.to_string()))?;
            Ok(PlatformResponse { status, etag, body })
        };
        let response = with_timeout(self.settings.timeout, exchange).await?;
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
            .put(self.url(&format!("/table/{}", encode(key))))
            .with_body(body);
        let conn = match version {
            Some(version) => conn.with_request_header(KnownHeaderName::IfMatch, etag(version)),
            None => conn.with_request_header(KnownHeaderName::IfNoneMatch, "*"),
        };
        let response = self.send(conn).await?;
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
        let conn = self.client.post(self.url("/transactions")).with_body(body);
        match self.send(conn).await?.ensure_success()?.parse_json()? {
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
            .put(self.url(&format!("/objects/{}", encode(name))))
            .with_body(body);
        self.send(conn).await?.ensure_success().map(drop)
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
