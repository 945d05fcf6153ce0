//! An HTTP server for the platform's interface: rows, transactions and objects.

use ibiscove_store::http::{CommitBody, RowBody, TransactionBody, etag};
use ibiscove_store::{Commit, Condition, Objects, Table, TableError, Transaction, Write};
use std::net::TcpListener;
use trillium::{Conn, Handler, KnownHeaderName, Method, Status};
use trillium_smol::async_net;

/// Largest accepted request body, in bytes.
const MAX_BODY_LEN: u64 = 64 << 20;

/// Serves `platform` over HTTP until the returned stopper is stopped.
pub fn serve(
    listener: TcpListener,
    platform: impl Table + Objects,
) -> std::io::Result<trillium_smol::Stopper> {
    listener.set_nonblocking(true)?;
    let stopper = trillium_smol::Stopper::new();
    let _ = trillium_smol::config()
        .without_signals()
        .with_nodelay()
        .with_stopper(stopper.clone())
        .with_prebound_server(async_net::TcpListener::try_from(listener)?)
        .spawn(handler(platform));
    Ok(stopper)
}

fn handler(platform: impl Table + Objects) -> impl Handler {
    move |conn: Conn| {
        let platform = platform.clone();
        async move { handle(platform, conn).await }
    }
}

async fn handle(platform: impl Table + Objects, mut conn: Conn) -> Conn {
    let body = conn
        .request_body()
        .await
        .with_max_len(MAX_BODY_LEN)
        .read_bytes()
        .await;
    let Ok(body) = body else {
        return conn.with_status(Status::BadRequest).halt();
    };
    let path = conn.path().to_owned();
    let prefix = conn.querystring().strip_prefix("prefix=");
    let prefix = percent_decode(prefix.unwrap_or_default());
    let result = match (conn.method(), path.as_str()) {
        (Method::Post, "/transactions") => commit_transaction(&platform, &body).await,
        (Method::Get, "/table") => scan(&platform, &prefix).await,
        (Method::Get, "/objects") => list(&platform, &prefix).await,
        (method, path) => match path.strip_prefix('/').and_then(|path| path.split_once('/')) {
            Some(("table", key)) if method == Method::Get => {
                get(&platform, &percent_decode(key)).await
            }
            Some(("table", key)) if method == Method::Put => {
                put(&platform, &conn, &percent_decode(key), body).await
            }
            Some(("objects", name)) if method == Method::Get => {
                fetch(&platform, &percent_decode(name)).await
            }
            Some(("objects", name)) if method == Method::Put => platform
                .put(&percent_decode(name), body)
                .await
                .map(|()| PlatformResponse::from_status(Status::NoContent)),
            _ => Ok(PlatformResponse::from_status(Status::NotFound)),
        },
    };
    match result {
        Ok(resp) => resp.send(conn),
        Err(TableError::Unavailable(text)) => conn
            .with_status(Status::ServiceUnavailable)
            .with_body(text)
            .halt(),
        Err(TableError::Unanswered(text)) => conn
            .with_status(Status::GatewayTimeout)
            .with_body(text)
            .halt(),
    }
}

fn percent_decode(text: &str) -> String {
    percent_encoding::percent_decode_str(text)
        .decode_utf8_lossy()
        .into_owned()
}

struct PlatformResponse {
    status: Status,
    version: Option<u64>,
    body: Vec<u8>,
}

impl PlatformResponse {
    fn from_status(status: Status) -> Self {
        Self {
            status,
            version: None,
            body: Vec::new(),
        }
    }

    fn from_json(body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(body).expect("the body serializes to JSON");
        Self {
            status: Status::Ok,
            version: None,
            body,
        }
    }

    fn send(self, conn: Conn) -> Conn {
        let conn = match self.version {
            Some(version) => conn.with_response_header(KnownHeaderName::Etag, etag(version)),
            None => conn,
        };
        conn.with_status(self.status).with_body(self.body).halt()
    }
}

async fn commit_transaction(
    platform: &impl Table,
    body: &[u8],
) -> Result<PlatformResponse, TableError> {
    let Ok(body) = serde_json::from_slice::<TransactionBody>(body) else {
        return Ok(PlatformResponse::from_status(Status::BadRequest));
    };
    let conditions = body.conditions.into_iter();
    let writes = body.writes.into_iter();
    let txn = Transaction {
        conditions: conditions
            .map(|c| Condition {
                key: c.key,
                version: c.version,
            })
            .collect(),
        writes: writes
            .map(|w| Write {
                key: w.key,
                body: w.body.map(String::into_bytes),
            })
            .collect(),
    };
    let body = match platform.commit(txn).await? {
        Commit::Done(versions) => CommitBody::Versions(versions),
        Commit::Conflict(key) => CommitBody::Conflict(key),
    };
    Ok(PlatformResponse::from_json(&body))
}

async fn scan(platform: &impl Table, prefix: &str) -> Result<PlatformResponse, TableError> {
    let rows = platform.scan(prefix).await?.into_iter();
    let rows = rows.map(|(key, row)| RowBody {
        key,
        version: row.version,
        body: String::from_utf8_lossy(&row.body).into_owned(),
    });
    Ok(PlatformResponse::from_json(&rows.collect::<Vec<_>>()))
}

async fn list(platform: &impl Objects, prefix: &str) -> Result<PlatformResponse, TableError> {
    Ok(PlatformResponse::from_json(&platform.list(prefix).await?))
}

async fn get(platform: &impl Table, key: &str) -> Result<PlatformResponse, TableError> {
    Ok(match platform.get(key).await? {
        Some(row) => PlatformResponse {
            status: Status::Ok,
            version: Some(row.version),
            body: row.body.to_vec(),
        },
        None => PlatformResponse::from_status(Status::NotFound),
    })
}

async fn fetch(platform: &impl Objects, name: &str) -> Result<PlatformResponse, TableError> {
    Ok(match platform.fetch(name).await? {
        Some(body) => PlatformResponse {
            status: Status::Ok,
            version: None,
            body,
        },
        None => PlatformResponse::from_status(Status::NotFound),
    })
}

async fn put(
    platform: &impl Table,
    conn: &Conn,
    key: &str,
    body: Vec<u8>,
) -> Result<PlatformResponse, TableError> {
    let headers = conn.request_headers();
    let version = headers.get_str(KnownHeaderName::IfMatch);
    let version = version.and_then(|etag| etag.trim_matches('"').parse().ok());
    let mut txn = Transaction::default();
    txn.replace(key, version, body);
    Ok(match platform.commit(txn).await? {
        Commit::Done(versions) => PlatformResponse {
            version: versions.first().copied(),
            ..PlatformResponse::from_status(Status::NoContent)
        },
        Commit::Conflict(_) => PlatformResponse::from_status(Status::PreconditionFailed),
    })
}
