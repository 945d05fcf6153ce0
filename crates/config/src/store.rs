//! Versioned storage of the configuration in the platform's table and object
//! store, with optimistic concurrency control.
//!
//! A change is one conditional write of the row `config/{kind}`, so exactly one
//! of several concurrent changes is accepted. Its text is written to the object
//! store before the row refers to it, so that a row never refers to a missing
//! text. Each object names its predecessor, so that the history holds only
//! accepted versions. See `docs/operators/races.md`.
//!
//! A write without a response is repeated under the same condition: it then
//! either takes effect or conflicts with what took effect.

mod object;

use crate::change::{
    ChangeRequest, ChangeResponse, ConfigKind, MAX_BODY_BYTES, VersionBody, VersionInfo, digest,
};
use crate::{Change, Finding, Inventory, Rules, check_inventory, check_rules, diff, find_harms};
use ibiscove_store::{Commit, Objects, RawRow, Table, TableError, Transaction};
use ibiscove_types::rows::config_key;
use ibiscove_types::{Clock, ClusterMap, ConfigRow, RowVersion};
use object::Object;
use std::time::{Duration, UNIX_EPOCH};

/// Limit on a text stored in the row itself, in bytes. Every node pushes a row to
/// several peers, whereas each node fetches a longer text once.
pub const MAX_ROW_BODY_BYTES: usize = 16 << 10;
/// Number of attempts to write a change before its outcome counts as unknown.
const MAX_WRITE_ATTEMPTS: u32 = 6;
/// Delay before a write is retried after a lost response.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How many versions behind the one in force a duplicate request is recognised.
const MAX_DUPLICATE_LAG_VERSIONS: u64 = 16;
/// Limit on the number of versions in one history.
pub const MAX_HISTORY_LEN: usize = 1_000;

/// Why a version could not be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Nothing was written.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// The change may have taken effect, or may still take effect.
    #[error(
        "the table did not report whether the change took effect ({0}); \
         read the version in force before anything else"
    )]
    OutcomeUnknown(String),
    /// The table returned an older row than this node already has.
    #[error("the table returned {key} in version {read}, older than the known version {known}")]
    Stale {
        /// Key of the row.
        key: String,
        /// The table's version of the row, as read.
        read: RowVersion,
        /// The table's version of the row, as known.
        known: RowVersion,
    },
    /// A stored row or text is unreadable or does not match its digest.
    #[error("{name} is damaged: {cause}")]
    Damaged {
        /// Name of the row or object.
        name: String,
        /// How it is damaged.
        cause: String,
    },
    /// The version was never accepted, or its object no longer exists.
    #[error("no {kind} in version {version}")]
    NoVersion {
        /// The part of the configuration.
        kind: ConfigKind,
        /// The requested version.
        version: u64,
    },
}

impl From<TableError> for StoreError {
    fn from(err: TableError) -> Self {
        StoreError::Unavailable(err.to_string())
    }
}

/// A written row, for the caller to replicate to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenRow {
    /// Key of the row.
    pub key: String,
    /// The row as stored in the table.
    pub row: RawRow,
}

/// A node's own replicated state, against which it evaluates a change.
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// The cluster map.
    pub map: ClusterMap,
    /// The table's version of the inventory row that the node has. A read that
    /// returns a lower version is rejected as stale.
    pub inventory: Option<RowVersion>,
    /// The same for the rules row.
    pub rules: Option<RowVersion>,
}

impl LocalState {
    fn version(&self, kind: ConfigKind) -> Option<RowVersion> {
        match kind {
            ConfigKind::Inventory => self.inventory,
            ConfigKind::Rules => self.rules,
        }
    }
}

/// Store of the accepted versions of inventory and rules.
#[derive(Clone, Debug)]
pub struct ConfigStore<P, C> {
    platform: P,
    clock: C,
}

/// The version in force: its row in the table and its text.
#[derive(Clone, Debug)]
struct StoredVersion {
    row_version: RowVersion,
    row: ConfigRow,
    body: String,
}

impl StoredVersion {
    fn info(&self) -> VersionInfo {
        VersionInfo {
            version: self.row.version,
            digest: self.row.digest.clone(),
            author: self.row.author.clone(),
            accepted_ms: self.row.accepted_ms,
        }
    }
}

/// The versions in force against which a change is evaluated.
struct CurrentVersions {
    /// The version that the change would replace.
    target: Option<StoredVersion>,
    /// The other part of the configuration.
    other: Option<StoredVersion>,
}

/// A change that passed validation and the impact check.
struct EvaluatedChange {
    changes: Vec<Change>,
    harms: Vec<crate::Harm>,
    findings: Vec<Finding>,
}

impl<P: Table + Objects, C: Clock> ConfigStore<P, C> {
    /// Returns the store of the given platform.
    pub fn new(platform: P, clock: C) -> Self {
        Self { platform, clock }
    }

    /// Returns the version in force with its text; none before the first change.
    pub async fn current(&self, kind: ConfigKind) -> Result<Option<VersionBody>, StoreError> {
        let stored = self.read(kind, None).await?;
        Ok(stored.map(|stored| VersionBody {
            info: stored.info(),
            body: stored.body,
        }))
    }

    /// Returns one accepted version with its text.
    pub async fn version(&self, kind: ConfigKind, version: u64) -> Result<VersionBody, StoreError> {
        let found = self.walk_history(kind, usize::MAX, |info| info.version <= version);
        match found.await?.pop() {
            Some(body) if body.info.version == version => Ok(body),
            _ => Err(StoreError::NoVersion { kind, version }),
        }
    }

    /// Returns the latest accepted versions, newest first.
    pub async fn history(
        &self,
        kind: ConfigKind,
        limit: usize,
    ) -> Result<Vec<VersionInfo>, StoreError> {
        let found = self.walk_history(kind, limit, |_| false).await?;
        Ok(found.into_iter().map(|body| body.info).collect())
    }

    /// Reads the version in force and its predecessors, up to the first for which
    /// `is_last` returns true or to `limit` versions.
    async fn walk_history(
        &self,
        kind: ConfigKind,
        limit: usize,
        is_last: impl Fn(&VersionInfo) -> bool,
    ) -> Result<Vec<VersionBody>, StoreError> {
        let mut found = Vec::new();
        let Some(stored) = self.read(kind, None).await? else {
            return Ok(found);
        };
        let mut next = Some(object::name(kind, &stored.info()));
        while let Some(name) = next.take()
            && found.len() < limit.min(MAX_HISTORY_LEN)
        {
            let object = Object::read(&self.platform, &name).await?;
            next = object.previous;
            let done = is_last(&object.version.info);
            found.push(object.version);
            if done {
                break;
            }
        }
        Ok(found)
    }

    /// Reads a row and its text. A row older than `known` is an error, and a text
    /// from the object store is verified against its digest.
    async fn read(
        &self,
        kind: ConfigKind,
        known: Option<RowVersion>,
    ) -> Result<Option<StoredVersion>, StoreError> {
        let key = config_key(kind.as_str());
        let raw = self.platform.get(&key).await?;
        let read = raw.as_ref().map_or(0, |raw| raw.version);
        if let Some(known) = known
            && read < known
        {
            return Err(StoreError::Stale { key, read, known });
        }
        let Some(raw) = raw else {
            return Ok(None);
        };
        let row: ConfigRow =
            serde_json::from_slice(&raw.body).map_err(|err| StoreError::Damaged {
                name: key.clone(),
                cause: err.to_string(),
            })?;
        let mut stored = StoredVersion {
            row_version: raw.version,
            body: row.body.clone(),
            row,
        };
        if digest(stored.body.as_bytes()) != stored.row.digest {
            let name = object::name(kind, &stored.info());
            stored.body = Object::read(&self.platform, &name).await?.version.body;
        }
        Ok(Some(stored))
    }

    async fn read_both(
        &self,
        kind: ConfigKind,
        local: &LocalState,
    ) -> Result<CurrentVersions, StoreError> {
        let other = other_kind(kind);
        Ok(CurrentVersions {
            target: self.read(kind, local.version(kind)).await?,
            other: self.read(other, local.version(other)).await?,
        })
    }

    /// Evaluates a change and writes it if it is acceptable. Returns the written
    /// row with a newly accepted change, for the caller to replicate.
    pub async fn change(
        &self,
        kind: ConfigKind,
        req: &ChangeRequest,
        local: &LocalState,
    ) -> Result<(ChangeResponse, Option<WrittenRow>), StoreError> {
        let mut lost_response = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let current = match self.read_both(kind, local).await {
                Ok(current) => current,
                // After a lost response, a failed read leaves the outcome unknown.
                Err(err) if lost_response.is_some() => {
                    return Err(StoreError::OutcomeUnknown(err.to_string()));
                }
                Err(err) => return Err(err),
            };
            if let Some(response) = self.outcome_from_rows(kind, req, &current).await? {
                return Ok((response, None));
            }
            let evaluated = match evaluate(kind, req, &current, &local.map) {
                Ok(evaluated) => evaluated,
                Err(response) => return Ok((response, None)),
            };
            if req.dry_run {
                return Ok((evaluated.into_dry_run_response(), None));
            }
            match self.write(kind, req, &current).await {
                Ok(Some((version, written))) => {
                    let changes = evaluated.changes;
                    return Ok((ChangeResponse::Accepted { version, changes }, Some(written)));
                }
                Ok(None) => {}
                Err(TableError::Unanswered(text)) => {
                    metrics::counter!("ibiscove_config_retries_total", "reason" => "lost-answer")
                        .increment(1);
                    lost_response = Some(text);
                    self.clock.sleep(RETRY_DELAY).await;
                }
                Err(TableError::Unavailable(text)) if lost_response.is_some() => {
                    lost_response = Some(text);
                    self.clock.sleep(RETRY_DELAY).await;
                }
                Err(err) => return Err(err.into()),
            }
        }
        Err(match lost_response {
            Some(text) => StoreError::OutcomeUnknown(text),
            None => StoreError::Unavailable("the rows kept changing".to_owned()),
        })
    }

    /// Returns the response if the rows alone determine it: the change was
    /// accepted before, or another one was accepted in its place.
    async fn outcome_from_rows(
        &self,
        kind: ConfigKind,
        req: &ChangeRequest,
        current: &CurrentVersions,
    ) -> Result<Option<ChangeResponse>, StoreError> {
        let Some(stored) = &current.target else {
            return Ok((req.expect != 0).then(|| conflict_response(req, None)));
        };
        let in_force = stored.row.version;
        let is_duplicate =
            in_force == req.expect && stored.row.digest == digest(req.body.as_bytes());
        if is_duplicate || is_version_of(&stored.info(), req) {
            return Ok(Some(accepted_response(req, stored.info())));
        }
        if in_force == req.expect {
            return Ok(None);
        }
        // A duplicate of a change that later versions have replaced.
        let versions_behind = in_force.saturating_sub(req.expect);
        if (2..=MAX_DUPLICATE_LAG_VERSIONS).contains(&versions_behind)
            && let Ok(version) = self.version(kind, req.expect + 1).await
            && is_version_of(&version.info, req)
        {
            return Ok(Some(accepted_response(req, version.info)));
        }
        Ok(Some(conflict_response(req, Some(stored))))
    }

    /// Writes the text, then the row that refers to it; returns none after a
    /// conflict.
    async fn write(
        &self,
        kind: ConfigKind,
        req: &ChangeRequest,
        current: &CurrentVersions,
    ) -> Result<Option<(VersionInfo, WrittenRow)>, TableError> {
        let info = VersionInfo {
            version: req.expect + 1,
            digest: digest(req.body.as_bytes()),
            author: req.author.clone(),
            accepted_ms: self.wall_ms(),
        };
        let previous = current.target.as_ref();
        let object = Object {
            version: VersionBody {
                info: info.clone(),
                body: req.body.clone(),
            },
            previous: previous.map(|stored| object::name(kind, &stored.info())),
        };
        // An object that no row refers to has no effect, so a failed or
        // unanswered write of it leaves the change undone.
        object
            .write(&self.platform, &object::name(kind, &info))
            .await
            .map_err(|err| TableError::Unavailable(err.to_string()))?;
        let in_row = req.body.len() <= MAX_ROW_BODY_BYTES;
        let row = ConfigRow {
            version: info.version,
            digest: info.digest.clone(),
            author: info.author.clone(),
            accepted_ms: info.accepted_ms,
            body: if in_row {
                req.body.clone()
            } else {
                String::new()
            },
        };
        let key = config_key(kind.as_str());
        let body = serde_json::to_vec(&row).expect("plain data can be written");
        let mut txn = Transaction::default();
        txn.replace(
            &key,
            previous.map(|stored| stored.row_version),
            body.clone(),
        );
        // Inventory and rules were evaluated together, so the other row must be
        // unchanged as well.
        let other_version = current.other.as_ref().map(|stored| stored.row_version);
        txn.require(&config_key(other_kind(kind).as_str()), other_version);
        match self.platform.commit(txn).await? {
            Commit::Conflict(_) => Ok(None),
            Commit::Done(versions) => {
                let row = RawRow {
                    version: versions.first().copied().unwrap_or_default(),
                    body: body.into(),
                };
                Ok(Some((info, WrittenRow { key, row })))
            }
        }
    }

    /// Reads the row in force, to replicate a change whose response was lost.
    pub async fn current_row(&self, kind: ConfigKind) -> Result<Option<WrittenRow>, StoreError> {
        let key = config_key(kind.as_str());
        let row = self.platform.get(&key).await?;
        Ok(row.map(|row| WrittenRow { key, row }))
    }

    fn wall_ms(&self) -> u64 {
        let since = self.clock.wall().duration_since(UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

impl EvaluatedChange {
    fn into_dry_run_response(self) -> ChangeResponse {
        ChangeResponse::WouldAccept {
            changes: self.changes,
            harms: self.harms,
            findings: self.findings,
        }
    }
}

/// Returns whether a version results from the requested change.
fn is_version_of(info: &VersionInfo, req: &ChangeRequest) -> bool {
    info.version == req.expect + 1
        && info.author == req.author
        && info.digest == digest(req.body.as_bytes())
}

fn accepted_response(req: &ChangeRequest, version: VersionInfo) -> ChangeResponse {
    if !req.dry_run {
        return ChangeResponse::Accepted {
            version,
            changes: Vec::new(),
        };
    }
    ChangeResponse::WouldAccept {
        changes: Vec::new(),
        harms: Vec::new(),
        findings: Vec::new(),
    }
}

fn conflict_response(req: &ChangeRequest, stored: Option<&StoredVersion>) -> ChangeResponse {
    metrics::counter!("ibiscove_config_refused_total", "reason" => "conflict").increment(1);
    let body = stored.map_or("", |stored| stored.body.as_str());
    ChangeResponse::Conflict {
        current: stored.map(StoredVersion::info),
        changes: text_diff(body, &req.body),
    }
}

/// Returns the differences between two texts of the same kind; none if one is
/// invalid.
fn text_diff(before: &str, after: &str) -> Vec<Change> {
    if let (Ok(before), Ok(after)) = (Inventory::parse(before), Inventory::parse(after)) {
        return diff(&before, &after);
    }
    match (Rules::parse(before), Rules::parse(after)) {
        (Ok(before), Ok(after)) => diff(&before, &after),
        _ => Vec::new(),
    }
}

fn other_kind(kind: ConfigKind) -> ConfigKind {
    match kind {
        ConfigKind::Inventory => ConfigKind::Rules,
        ConfigKind::Rules => ConfigKind::Inventory,
    }
}

/// Validates a change and checks its impact.
fn evaluate(
    kind: ConfigKind,
    req: &ChangeRequest,
    current: &CurrentVersions,
    map: &ClusterMap,
) -> Result<EvaluatedChange, ChangeResponse> {
    let before = current.target.as_ref().map_or("", |s| s.body.as_str());
    let other = current.other.as_ref().map(|s| s.body.as_str());
    let (findings, harms) = match kind {
        ConfigKind::Inventory => evaluate_inventory(req, before, other, map),
        ConfigKind::Rules => (evaluate_rules(req, other), Vec::new()),
    };
    if crate::has_errors(&findings) {
        metrics::counter!("ibiscove_config_refused_total", "reason" => "invalid").increment(1);
        return Err(ChangeResponse::Invalid { findings });
    }
    let may_be_forced = req.force || req.dry_run;
    if harms
        .iter()
        .any(|harm| !may_be_forced || !harm.kind.can_be_forced())
    {
        metrics::counter!("ibiscove_config_refused_total", "reason" => "harmful").increment(1);
        return Err(ChangeResponse::Harmful { harms });
    }
    Ok(EvaluatedChange {
        changes: text_diff(before, &req.body),
        harms,
        findings,
    })
}

/// Validates an inventory and the rules in force against it, and returns the
/// findings and harms.
fn evaluate_inventory(
    req: &ChangeRequest,
    before: &str,
    rules: Option<&str>,
    map: &ClusterMap,
) -> (Vec<Finding>, Vec<crate::Harm>) {
    let (inventory, mut findings) = check_inventory("inventory", &req.body);
    check_length(&req.body, &mut findings);
    let Some(inventory) = inventory else {
        return (findings, Vec::new());
    };
    let rules = rules.unwrap_or_default();
    findings.extend(check_rules("rules in force", rules, Some(&inventory)).1);
    let before = Inventory::parse(before).unwrap_or_default();
    let rules = Rules::parse(rules).unwrap_or_default();
    let harms = find_harms(&before, &inventory, &rules, map);
    (findings, harms)
}

/// Validates rules against the inventory in force.
fn evaluate_rules(req: &ChangeRequest, inventory: Option<&str>) -> Vec<Finding> {
    let inventory = inventory.and_then(|text| Inventory::parse(text).ok());
    let (_, mut findings) = check_rules("rules", &req.body, inventory.as_ref());
    check_length(&req.body, &mut findings);
    findings
}

fn check_length(body: &str, findings: &mut Vec<Finding>) {
    if body.len() > MAX_BODY_BYTES {
        findings.push(Finding {
            severity: crate::Severity::Error,
            file: "text".to_owned(),
            line: 1,
            field: "text".to_owned(),
            problem: format!("it has {} bytes", body.len()),
            remedy: format!("keep it within {MAX_BODY_BYTES} bytes"),
        });
    }
}
