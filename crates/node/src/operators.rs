//! Operators' calls on the admin address.
//!
//! Every call needs the operators' token. A configuration change is checked and
//! written by the node that is called, and propagated to peers; the platform's
//! table decides between two nodes that accept changes at the same time.

use crate::process::Process;
use crate::{spreading, status};
use ibiscove_config::change::{ChangeRequest, ChangeResponse, ConfigKind, MAX_BODY_BYTES};
use ibiscove_config::store::{LocalState, MAX_HISTORY_LEN, StoreError, WrittenRow};
use ibiscove_spread::ReplicatedRow;
use ibiscove_store::{Objects, Table};
use ibiscove_types::rows::config_key;
use ibiscove_types::{Clock, ClusterMap, NodeRow, NodeState};
use ibiscove_wire::SharedKey;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use trillium::{Conn, KnownHeaderName, Method, Status};

/// Path prefix of operators' calls.
const PREFIX: &str = "/_ibiscove/operator/";
/// Message over which the token's MACs are computed, so that two tokens can be
/// compared in constant time.
const TOKEN_LABEL: &[u8] = b"ibiscove operator";
/// Number of versions in a history if the call states none.
const DEFAULT_HISTORY_LEN: usize = 20;

/// A query for the owner of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerQuery {
    /// The service.
    pub service: String,
    /// The key, as it appears in requests.
    pub key: String,
}

/// The owner of a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyOwner {
    /// The service.
    pub service: String,
    /// The key.
    pub key: String,
    /// The key's slot.
    pub slot: u32,
    /// The owner; none while the slot is vacant.
    pub owner: Option<OwnerNode>,
}

/// A node that owns a slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerNode {
    /// The instance's name.
    pub name: String,
    /// Its data centre.
    pub data_centre: String,
    /// Its address for callers.
    pub caller_addr: String,
    /// The fence under which it serves the slot.
    pub fence: u64,
}

/// The effect of a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// The draining instance.
    pub node: String,
    /// Slots that are handed over to other nodes.
    pub slots: usize,
    /// Whether the drain has begun; false for a dry run.
    pub started: bool,
}

/// Why a call was not executed.
struct CallError {
    status: Status,
    reason: &'static str,
    detail: String,
}

type CallResult = Result<(Status, serde_json::Value), CallError>;

/// Returns whether a path is that of an operator's call.
pub(crate) fn is_operator_path(path: &str) -> bool {
    path.starts_with(PREFIX)
}

/// Handles an operator's call.
pub(crate) async fn handle<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    mut conn: Conn,
) -> Conn {
    let result = match authorise(process, &conn) {
        Ok(()) => dispatch(process, &mut conn).await,
        Err(error) => Err(error),
    };
    match result {
        Ok((status, body)) => send_json(conn, status, "application/json", &body),
        Err(error) => {
            metrics::counter!("ibiscove_operator_refusals_total", "reason" => error.reason)
                .increment(1);
            let problem = serde_json::json!({
                "type": format!("urn:ibiscove:operator:{}", error.reason),
                "title": error.reason,
                "status": error.status as u16,
                "detail": error.detail,
            });
            send_json(conn, error.status, "application/problem+json", &problem)
        }
    }
}

fn send_json(
    conn: Conn,
    status: Status,
    media_type: &'static str,
    body: &serde_json::Value,
) -> Conn {
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, media_type)
        .with_body(body.to_string())
        .halt()
}

fn authorise<P, C>(process: &Process<P, C>, conn: &Conn) -> Result<(), CallError> {
    let unauthorised = |reason, detail: &str| {
        Err(CallError {
            status: Status::Unauthorized,
            reason,
            detail: detail.to_owned(),
        })
    };
    let Some(token) = &process.settings.operator_token else {
        return unauthorised("no-token-set", "the node was started without a token");
    };
    let presented = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization)
        .and_then(|value| value.strip_prefix("Bearer "));
    let Some(presented) = presented else {
        return unauthorised("no-token-given", "the call has no bearer token");
    };
    let presented = SharedKey::new(presented).sign(&[TOKEN_LABEL]);
    if token.verify(&[TOKEN_LABEL], &presented) {
        return Ok(());
    }
    unauthorised("wrong-token", "the token differs from that of the node")
}

async fn dispatch<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    conn: &mut Conn,
) -> CallResult {
    let path = conn
        .path()
        .strip_prefix(PREFIX)
        .unwrap_or_default()
        .to_owned();
    let parts: Vec<&str> = path.splitn(3, '/').collect();
    match (conn.method(), parts.as_slice()) {
        (Method::Get, ["status"]) => success(&status::cluster_status(process).await),
        (Method::Get, ["config", what]) => {
            get_config(process, parse_kind(what)?, conn.querystring()).await
        }
        (Method::Post, ["config", what]) => change_config(process, parse_kind(what)?, conn).await,
        (Method::Get, ["config", what, "history"]) => {
            let limit =
                query_parameter(conn.querystring(), "limit")?.unwrap_or(DEFAULT_HISTORY_LEN);
            let history = process
                .configs
                .history(parse_kind(what)?, limit.min(MAX_HISTORY_LEN));
            success(&history.await?)
        }
        (Method::Post, ["owner"]) => find_owner(&process.replica.map(), &read_json(conn).await?),
        (Method::Post, ["drain"]) => begin_drain(process, conn.querystring()),
        _ => Err(CallError {
            status: Status::NotFound,
            reason: "no-such-call",
            detail: format!("{} {path}", conn.method()),
        }),
    }
}

fn success(body: &impl Serialize) -> CallResult {
    Ok((Status::Ok, to_json(body)))
}

fn to_json(body: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(body).expect("plain data can be written")
}

fn parse_kind(text: &str) -> Result<ConfigKind, CallError> {
    text.parse().map_err(|err| bad_call(&err))
}

fn bad_call(err: &impl ToString) -> CallError {
    CallError {
        status: Status::BadRequest,
        reason: "bad-call",
        detail: err.to_string(),
    }
}

/// Parses a parameter of the query string; none if it is absent.
fn query_parameter<T: std::str::FromStr>(query: &str, name: &str) -> Result<Option<T>, CallError> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    let value = text.parse();
    value
        .map(Some)
        .map_err(|_| bad_call(&format!("{name} cannot be {text:?}")))
}

async fn get_config<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    kind: ConfigKind,
    query: &str,
) -> CallResult {
    if let Some(version) = query_parameter(query, "version")? {
        return success(&process.configs.version(kind, version).await?);
    }
    let current = process.configs.current(kind).await?;
    let current = current.ok_or(StoreError::NoVersion { kind, version: 0 })?;
    success(&current)
}

async fn change_config<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    kind: ConfigKind,
    conn: &mut Conn,
) -> CallResult {
    let req: ChangeRequest = read_json(conn).await?;
    process.recorder.record_change(kind, &req, &process.clock);
    let map = process.replica.map();
    let known = LocalState {
        inventory: row_version(&map, ConfigKind::Inventory),
        rules: row_version(&map, ConfigKind::Rules),
        map: ClusterMap::clone(&map),
    };
    let (response, written) = process.configs.change(kind, &req, &known).await?;
    let status = match &response {
        ChangeResponse::Accepted { version, .. } => {
            log::info!(
                kind:%, version = version.version, author:% = version.author;
                "configuration change accepted"
            );
            publish(process, kind, &req.body, written).await;
            Status::Ok
        }
        ChangeResponse::WouldAccept { .. } => Status::Ok,
        ChangeResponse::Conflict { .. } => Status::Conflict,
        ChangeResponse::Invalid { .. } => Status::UnprocessableEntity,
        ChangeResponse::Harmful { .. } => Status::Forbidden,
    };
    Ok((status, to_json(&response)))
}

async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, CallError> {
    // JSON may escape each byte of the text as six bytes.
    let limit = 6 * MAX_BODY_BYTES as u64;
    let body = conn.request_body().await.with_max_len(limit);
    let body = body.read_bytes().await.map_err(|err| bad_call(&err))?;
    serde_json::from_slice(&body).map_err(|err| bad_call(&err))
}

fn row_version(map: &ClusterMap, kind: ConfigKind) -> Option<u64> {
    map.config(kind.as_str()).map(|config| config.version)
}

/// Propagates an accepted change. One that had been accepted before, with the
/// response lost, may have reached no node yet: its row is then read from the
/// table.
async fn publish<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    kind: ConfigKind,
    body: &str,
    written: Option<WrittenRow>,
) {
    let written = match written {
        Some(written) => Some(written),
        None => process.configs.current_row(kind).await.unwrap_or_else(|err| {
            log::warn!(
                key = config_key(kind.as_str());
                "an accepted change cannot be read from the table, it is not propagated now: {err}"
            );
            None
        }),
    };
    let rows = written.into_iter().map(|written| ReplicatedRow {
        key: written.key,
        version: written.row.version,
        body: written.row.body,
    });
    let mut new_rows = process.replica.apply(rows);
    if !process.replica.missing_texts().is_empty() {
        new_rows.extend(process.replica.supply_text(body.as_bytes().to_vec()));
    }
    spreading::propagate(process, None, new_rows);
}

fn find_owner(map: &ClusterMap, query: &OwnerQuery) -> CallResult {
    let OwnerQuery { service, key } = query;
    let Some((slot, owner)) = map.locate(service, key) else {
        return Err(CallError {
            status: Status::NotFound,
            reason: "not-divided",
            detail: format!("there is no divided service {service:?}"),
        });
    };
    let owner = owner.and_then(|owner| Some((owner, map.node(owner.incarnation)?)));
    success(&KeyOwner {
        service: service.clone(),
        key: key.clone(),
        slot,
        owner: owner.map(|(owner, node)| OwnerNode {
            name: node.row.name.clone(),
            data_centre: node.row.data_centre.to_string(),
            caller_addr: node.row.caller_addr.to_string(),
            fence: owner.fence,
        }),
    })
}

fn begin_drain<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    query: &str,
) -> CallResult {
    let dry_run = query_parameter(query, "dry_run")?.unwrap_or(false);
    let force = query_parameter(query, "force")?.unwrap_or(false);
    let row = process.ownership.row();
    if !dry_run && !force && is_last_live_upstream(&process.replica.map(), &row) {
        return Err(CallError {
            status: Status::Forbidden,
            reason: "last-upstream",
            detail: format!(
                "refused, --force drains it: no other upstream is live besides that of {}",
                row.name
            ),
        });
    }
    if !dry_run {
        log::info!("drain requested by an operator: the node hands its slots over");
        let ownership = process.ownership.clone();
        smol::spawn(async move {
            if let Err(err) = ownership.drain().await {
                log::warn!(
                    "drain requested by an operator: the slots could not be handed over: {err}"
                );
            }
        })
        .detach();
    }
    success(&DrainResponse {
        node: row.name,
        slots: row.grants.len(),
        started: !dry_run,
    })
}

/// Returns whether no other node could own the slots of this one.
fn is_last_live_upstream(map: &ClusterMap, row: &NodeRow) -> bool {
    let Some(service) = row.service() else {
        return false;
    };
    let members = map.members(service).iter();
    let mut others = members.filter_map(|incarnation| map.node(*incarnation));
    !others.any(|node| node.row.incarnation != row.incarnation && node.row.state == NodeState::Live)
}

impl From<StoreError> for CallError {
    fn from(err: StoreError) -> Self {
        let (status, reason) = match &err {
            StoreError::Unavailable(_) => (Status::ServiceUnavailable, "unavailable"),
            StoreError::OutcomeUnknown(_) => (Status::GatewayTimeout, "unknown"),
            StoreError::Stale { .. } => (Status::ServiceUnavailable, "stale"),
            StoreError::Damaged { .. } => (Status::InternalServerError, "damaged"),
            StoreError::NoVersion { .. } => (Status::NotFound, "no-version"),
        };
        CallError {
            status,
            reason,
            detail: err.to_string(),
        }
    }
}
