//! Operators' calls on the admin address.
//!
//! Every call needs the operators' token. A change is judged and written here,
//! by whichever node was asked, and passed on to peers; the platform's table
//! decides between two nodes that take changes at the same time.

use crate::process::Process;
use crate::{spreading, status};
use ibiscove_config::change::{ChangeAnswer, ChangeRequest, ConfigKind, MAX_BODY};
use ibiscove_config::store::{Known, MAX_HISTORY, StoreError, Written};
use ibiscove_spread::Entry;
use ibiscove_store::{Objects, Table};
use ibiscove_types::rows::config_key;
use ibiscove_types::{Clock, ClusterMap, NodeRow, NodeState};
use ibiscove_wire::SharedKey;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use trillium::{Conn, KnownHeaderName, Method, Status};

/// Start of the paths of operators' calls.
const PREFIX: &str = "/_ibiscove/operator/";
/// What the token's MACs are made of, so that two can be compared in constant
/// time.
const TOKEN_LABEL: &[u8] = b"ibiscove operator";
/// Versions in a history when the call names no number.
const DEFAULT_HISTORY: usize = 20;

/// Which key's owner is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerQuery {
    /// The service.
    pub service: String,
    /// The key, as it stands in requests.
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

/// What a drain gives up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainResponse {
    /// The draining instance.
    pub node: String,
    /// Slots that go to other nodes.
    pub slots: usize,
    /// Whether the drain has begun, rather than been tried only.
    pub started: bool,
}

/// A call that was not carried out.
struct Refused {
    status: Status,
    reason: &'static str,
    detail: String,
}

type Answered = Result<(Status, serde_json::Value), Refused>;

/// Whether a path is an operator's.
pub(crate) fn takes(path: &str) -> bool {
    path.starts_with(PREFIX)
}

/// Answers an operator's call.
pub(crate) async fn handle<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    mut conn: Conn,
) -> Conn {
    let answered = match authorise(process, &conn) {
        Ok(()) => answer(process, &mut conn).await,
        Err(refused) => Err(refused),
    };
    match answered {
        Ok((status, body)) => send(conn, status, "application/json", &body),
        Err(refused) => {
            metrics::counter!("ibiscove_operator_refusals_total", "reason" => refused.reason)
                .increment(1);
            let problem = serde_json::json!({
                "type": format!("urn:ibiscove:operator:{}", refused.reason),
                "title": refused.reason,
                "status": refused.status as u16,
                "detail": refused.detail,
            });
            send(conn, refused.status, "application/problem+json", &problem)
        }
    }
}

fn send(conn: Conn, status: Status, media_type: &'static str, body: &serde_json::Value) -> Conn {
    conn.with_status(status)
        .with_response_header(KnownHeaderName::ContentType, media_type)
        .with_body(body.to_string())
        .halt()
}

fn authorise<P, C>(process: &Process<P, C>, conn: &Conn) -> Result<(), Refused> {
    let refused = |reason, detail: &str| {
        Err(Refused {
            status: Status::Unauthorized,
            reason,
            detail: detail.to_owned(),
        })
    };
    let Some(token) = &process.settings.operator_token else {
        return refused("no-token-set", "the node was started without a token");
    };
    let given = conn
        .request_headers()
        .get_str(KnownHeaderName::Authorization)
        .and_then(|value| value.strip_prefix("Bearer "));
    let Some(given) = given else {
        return refused("no-token-given", "the call has no bearer token");
    };
    let given = SharedKey::new(given).sign(&[TOKEN_LABEL]);
    if token.verify(&[TOKEN_LABEL], &given) {
        return Ok(());
    }
    refused("wrong-token", "the token is not the node's")
}

async fn answer<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    conn: &mut Conn,
) -> Answered {
    let path = conn
        .path()
        .strip_prefix(PREFIX)
        .unwrap_or_default()
        .to_owned();
    let parts: Vec<&str> = path.splitn(3, '/').collect();
    match (conn.method(), parts.as_slice()) {
        (Method::Get, ["status"]) => ok(&status::cluster(process).await),
        (Method::Get, ["config", what]) => get(process, kind(what)?, conn.querystring()).await,
        (Method::Post, ["config", what]) => change(process, kind(what)?, conn).await,
        (Method::Get, ["config", what, "history"]) => {
            let limit = parameter(conn.querystring(), "limit")?.unwrap_or(DEFAULT_HISTORY);
            let history = process.configs.history(kind(what)?, limit.min(MAX_HISTORY));
            ok(&history.await?)
        }
        (Method::Post, ["owner"]) => owner(&process.replica.map(), &read_json(conn).await?),
        (Method::Post, ["drain"]) => drain(process, conn.querystring()),
        _ => Err(Refused {
            status: Status::NotFound,
            reason: "no-such-call",
            detail: format!("{} {path}", conn.method()),
        }),
    }
}

fn ok(body: &impl Serialize) -> Answered {
    Ok((Status::Ok, to_json(body)))
}

fn to_json(body: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(body).expect("plain data can be written")
}

fn kind(text: &str) -> Result<ConfigKind, Refused> {
    text.parse().map_err(|err| bad_call(&err))
}

fn bad_call(err: &impl ToString) -> Refused {
    Refused {
        status: Status::BadRequest,
        reason: "bad-call",
        detail: err.to_string(),
    }
}

/// A parameter of the query, if it is given.
fn parameter<T: std::str::FromStr>(query: &str, name: &str) -> Result<Option<T>, Refused> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let Some((_, text)) = pairs.find(|(key, _)| *key == name) else {
        return Ok(None);
    };
    let value = text.parse();
    value
        .map(Some)
        .map_err(|_| bad_call(&format!("{name} cannot be {text:?}")))
}

async fn get<P: Table + Objects, C: Clock>(
    process: &Process<P, C>,
    kind: ConfigKind,
    query: &str,
) -> Answered {
    if let Some(version) = parameter(query, "version")? {
        return ok(&process.configs.version(kind, version).await?);
    }
    let current = process.configs.current(kind).await?;
    let current = current.ok_or(StoreError::NoVersion { kind, version: 0 })?;
    ok(&current)
}

async fn change<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    kind: ConfigKind,
    conn: &mut Conn,
) -> Answered {
    let req: ChangeRequest = read_json(conn).await?;
    process.recorder.change(kind, &req, &process.clock);
    let map = process.replica.map();
    let known = Known {
        inventory: row_version(&map, ConfigKind::Inventory),
        rules: row_version(&map, ConfigKind::Rules),
        map: ClusterMap::clone(&map),
    };
    let (answer, written) = process.configs.change(kind, &req, &known).await?;
    let status = match &answer {
        ChangeAnswer::Accepted { version, .. } => {
            log::info!(
                kind:%, version = version.version, author:% = version.author;
                "change accepted"
            );
            publish(process, kind, &req.body, written).await;
            Status::Ok
        }
        ChangeAnswer::WouldAccept { .. } => Status::Ok,
        ChangeAnswer::Conflict { .. } => Status::Conflict,
        ChangeAnswer::Invalid { .. } => Status::UnprocessableEntity,
        ChangeAnswer::Harmful { .. } => Status::Forbidden,
    };
    Ok((status, to_json(&answer)))
}

async fn read_json<T: DeserializeOwned>(conn: &mut Conn) -> Result<T, Refused> {
    // JSON may write each byte of the text as an escape of six.
    let limit = 6 * MAX_BODY as u64;
    let body = conn.request_body().await.with_max_len(limit);
    let body = body.read_bytes().await.map_err(|err| bad_call(&err))?;
    serde_json::from_slice(&body).map_err(|err| bad_call(&err))
}

fn row_version(map: &ClusterMap, kind: ConfigKind) -> Option<u64> {
    map.config(kind.as_str()).map(|config| config.version)
}

/// Passes an accepted change on. A change that had been accepted before, when
/// its answer was lost, may have reached no node yet: the table has its row.
async fn publish<P: Table + Objects, C: Clock>(
    process: &Arc<Process<P, C>>,
    kind: ConfigKind,
    body: &str,
    written: Option<Written>,
) {
    let written = match written {
        Some(written) => Some(written),
        None => process.configs.written(kind).await.unwrap_or_else(|err| {
            log::warn!(key = config_key(kind.as_str()); "accepted change not read: {err}");
            None
        }),
    };
    let entries = written.into_iter().map(|written| Entry {
        key: written.key,
        version: written.row.version,
        body: written.row.body,
    });
    let mut newer = process.replica.apply(entries);
    if !process.replica.wanted_texts().is_empty() {
        newer.extend(process.replica.supply_text(body.as_bytes().to_vec()));
    }
    spreading::pass_on(process, None, newer);
}

fn owner(map: &ClusterMap, query: &OwnerQuery) -> Answered {
    let OwnerQuery { service, key } = query;
    let Some((slot, owner)) = map.locate(service, key) else {
        return Err(Refused {
            status: Status::NotFound,
            reason: "not-divided",
            detail: format!("no divided service {service:?} lives"),
        });
    };
    let owner = owner.and_then(|owner| Some((owner, map.node(owner.incarnation)?)));
    ok(&KeyOwner {
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

fn drain<P: Table + Objects, C: Clock>(process: &Arc<Process<P, C>>, query: &str) -> Answered {
    let dry_run = parameter(query, "dry_run")?.unwrap_or(false);
    let force = parameter(query, "force")?.unwrap_or(false);
    let row = process.ownership.row();
    if !dry_run && !force && is_last(&process.replica.map(), &row) {
        return Err(Refused {
            status: Status::Forbidden,
            reason: "last-upstream",
            detail: format!(
                "held, --force drains it: no other upstream serves beside {}",
                row.name
            ),
        });
    }
    if !dry_run {
        log::info!("drain asked for by an operator");
        let ownership = process.ownership.clone();
        smol::spawn(async move {
            if let Err(err) = ownership.drain().await {
                log::warn!("drain: {err}");
            }
        })
        .detach();
    }
    ok(&DrainResponse {
        node: row.name,
        slots: row.grants.len(),
        started: !dry_run,
    })
}

/// Whether no other node could take the slots of this one.
fn is_last(map: &ClusterMap, row: &NodeRow) -> bool {
    let Some(service) = row.service() else {
        return false;
    };
    let members = map.members(service).iter();
    let mut others = members.filter_map(|incarnation| map.node(*incarnation));
    !others.any(|node| node.row.incarnation != row.incarnation && node.row.state == NodeState::Live)
}

impl From<StoreError> for Refused {
    fn from(err: StoreError) -> Self {
        let (status, reason) = match &err {
            StoreError::Unavailable(_) => (Status::ServiceUnavailable, "unavailable"),
            StoreError::Unknown(_) => (Status::GatewayTimeout, "unknown"),
            StoreError::Stale { .. } => (Status::ServiceUnavailable, "stale"),
            StoreError::Damaged { .. } => (Status::InternalServerError, "damaged"),
            StoreError::NoVersion { .. } => (Status::NotFound, "no-version"),
        };
        Refused {
            status,
            reason,
            detail: err.to_string(),
        }
    }
}
