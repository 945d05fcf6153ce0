//! Accepted versions, kept in the platform's table and object store.
//!
//! A change is one conditional write of the row `config/{kind}`, so of any
//! number of racing changes exactly one wins. Its text goes to the object
//! store before the row names it: a row never points at a text that is
//! missing. Each object names its predecessor, so that the history holds what
//! was accepted and nothing that lost a race. See `docs/operators/races.md`.
//!
//! A write without an answer is settled by writing it again under the same
//! condition: it then either takes effect, or conflicts with what took effect.

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

/// Longest text kept in the row itself, in bytes. Rows are pushed to several
/// peers by every node; a longer text is fetched once by each.
pub const MAX_ROW_BODY_BYTES: usize = 16 << 10;
/// Writes of one change before its outcome is called unknown.
const MAX_ATTEMPTS: u32 = 6;
/// Pause after a write without an answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Versions behind the one in force up to which a repeated change is found.
const MAX_REPEAT_DISTANCE: u64 = 16;
/// Most objects read for one history.
pub const MAX_HISTORY_LEN: usize = 1_000;

/// Why a version could not be read or changed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Nothing was written.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// The change may have taken effect, or may yet.
    #[error(
        "the table did not say whether the change took effect ({0}); \
         read the version in force before anything else"
    )]
    OutcomeUnknown(String),
    /// The table gave an older row than this node already has.
    #[error("the table gave {key} in version {read}, and version {known} is known")]
    Stale {
        /// Key of the row.
        key: String,
        /// The table's version of the row, as read.
        read: RowVersion,
        /// The table's version of the row, as known.
        known: RowVersion,
    },
    /// What is stored does not match its digest, or cannot be read at all.
    #[error("{name} is damaged: {cause}")]
    Damaged {
        /// Name of the row or object.
        name: String,
        /// What is wrong with it.
        cause: String,
    },
    /// No such version was ever accepted, or its object is gone.
    #[error("no {kind} in version {version}")]
    NoVersion {
        /// Inventory or rules.
        kind: ConfigKind,
        /// The version asked for.
        version: u64,
    },
}

impl From<TableError> for StoreError {
    fn from(err: TableError) -> Self {
        StoreError::Unavailable(err.to_string())
    }
}

/// A row that this change wrote, to be passed on to peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WrittenRow {
    /// Key of the row.
    pub key: String,
    /// The row as the table has it.
    pub row: RawRow,
}

/// What a node knows when it judges a change.
#[derive(Clone, Debug, Default)]
pub struct LocalState {
    /// The services that live.
    pub map: ClusterMap,
    /// The table's versions of the rows that the node has; none may be read
    /// back lower.
    pub inventory: Option<RowVersion>,
    /// See `inventory`.
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

/// Accepted versions of inventory and rules.
#[derive(Clone, Debug)]
pub struct ConfigStore<P, C> {
    platform: P,
    clock: C,
}

/// A row of the table with its text.
#[derive(Clone, Debug)]
struct Stored {
    row_version: RowVersion,
    row: ConfigRow,
    body: String,
}

impl Stored {
    fn info(&self) -> VersionInfo {
        VersionInfo {
            version: self.row.version,
            digest: self.row.digest.clone(),
            author: self.row.author.clone(),
            accepted_ms: self.row.accepted_ms,
        }
    }
}

/// Both rows, read before a change is judged.
struct Current {
    target: Option<Stored>,
    other: Option<Stored>,
}

/// A change that nothing speaks against.
struct Judged {
    changes: Vec<Change>,
    harms: Vec<crate::Harm>,
    findings: Vec<Finding>,
}

impl<P: Table + Objects, C: Clock> ConfigStore<P, C> {
    /// The versions that a platform keeps.
    pub fn new(platform: P, clock: C) -> Self {
        Self { platform, clock }
    }

    /// The version in force and its text; none before the first change.
    pub async fn current(&self, kind: ConfigKind) -> Result<Option<VersionBody>, StoreError> {
        let stored = self.read(kind, None).await?;
        Ok(stored.map(|stored| VersionBody {
            info: stored.info(),
            body: stored.body,
        }))
    }

    /// One accepted version and its text.
    pub async fn version(&self, kind: ConfigKind, version: u64) -> Result<VersionBody, StoreError> {
        let found = self.walk(kind, usize::MAX, |info| info.version <= version);
        match found.await?.pop() {
            Some(body) if body.info.version == version => Ok(body),
            _ => Err(StoreError::NoVersion { kind, version }),
        }
    }

    /// The newest accepted versions, newest first.
    pub async fn history(
        &self,
        kind: ConfigKind,
        limit: usize,
    ) -> Result<Vec<VersionInfo>, StoreError> {
        let found = self.walk(kind, limit, |_| false).await?;
        Ok(found.into_iter().map(|body| body.info).collect())
    }

    /// Follows predecessors from the version in force until `enough`.
    async fn walk(
        &self,
        kind: ConfigKind,
        limit: usize,
        enough: impl Fn(&VersionInfo) -> bool,
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
            let done = enough(&object.version.info);
            found.push(object.version);
            if done {
                break;
            }
        }
        Ok(found)
    }

    /// Reads a row and its text, and verifies them.
    async fn read(
        &self,
        kind: ConfigKind,
        known: Option<RowVersion>,
    ) -> Result<Option<Stored>, StoreError> {
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
        let mut stored = Stored {
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

    async fn read_both(&self, kind: ConfigKind, known: &LocalState) -> Result<Current, StoreError> {
        let other = other(kind);
        Ok(Current {
            target: self.read(kind, known.version(kind)).await?,
            other: self.read(other, known.version(other)).await?,
        })
    }

    /// Makes a change, or says why not. The written row is given back with an
    /// accepted change, for the caller to pass on.
    pub async fn change(
        &self,
        kind: ConfigKind,
        req: &ChangeRequest,
        known: &LocalState,
    ) -> Result<(ChangeResponse, Option<WrittenRow>), StoreError> {
        let mut lost = None;
        for _ in 0..MAX_ATTEMPTS {
            let current = match self.read_both(kind, known).await {
                Ok(current) => current,
                // After a lost answer, a failed read leaves the outcome open.
                Err(err) if lost.is_some() => {
                    return Err(StoreError::OutcomeUnknown(err.to_string()));
                }
                Err(err) => return Err(err),
            };
            if let Some(answer) = self.settled(kind, req, &current).await? {
                return Ok((answer, None));
            }
            let judged = match judge(kind, req, &current, &known.map) {
                Ok(judged) => judged,
                Err(answer) => return Ok((answer, None)),
            };
            if req.dry_run {
                return Ok((judged.would_accept(), None));
            }
            match self.write(kind, req, &current).await {
                Ok(Some((version, written))) => {
                    let changes = judged.changes;
                    return Ok((ChangeResponse::Accepted { version, changes }, Some(written)));
                }
                Ok(None) => {}
                Err(TableError::Unanswered(text)) => {
                    metrics::counter!("ibiscove_config_retries_total", "reason" => "lost-answer")
                        .increment(1);
                    lost = Some(text);
                    self.clock.sleep(RETRY_PAUSE).await;
                }
                Err(TableError::Unavailable(text)) if lost.is_some() => {
                    lost = Some(text);
                    self.clock.sleep(RETRY_PAUSE).await;
                }
                Err(err) => return Err(err.into()),
            }
        }
        Err(match lost {
            Some(text) => StoreError::OutcomeUnknown(text),
            None => StoreError::Unavailable("the rows kept changing".to_owned()),
        })
    }

    /// The answer when the rows alone decide: the change is already accepted,
    /// or another one is in its place.
    async fn settled(
        &self,
        kind: ConfigKind,
        req: &ChangeRequest,
        current: &Current,
    ) -> Result<Option<ChangeResponse>, StoreError> {
        let Some(stored) = &current.target else {
            return Ok((req.expect != 0).then(|| conflict(req, None)));
        };
        let in_force = stored.row.version;
        let repeats = in_force == req.expect && stored.row.digest == digest(req.body.as_bytes());
        if repeats || is_change(&stored.info(), req) {
            return Ok(Some(accepted(req, stored.info())));
        }
        if in_force == req.expect {
            return Ok(None);
        }
        // A repeat of a change that others have since built upon.
        let behind = in_force.saturating_sub(req.expect);
        if (2..=MAX_REPEAT_DISTANCE).contains(&behind)
            && let Ok(version) = self.version(kind, req.expect + 1).await
            && is_change(&version.info, req)
        {
            return Ok(Some(accepted(req, version.info)));
        }
        Ok(Some(conflict(req, Some(stored))))
    }

    /// Stores the text, then the row that names it; none after a conflict.
    async fn write(
        &self,
        kind: ConfigKind,
        req: &ChangeRequest,
        current: &Current,
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
        // An object without a row has no effect, whatever became of its write.
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
        // Inventory and rules were judged together, so neither may change now.
        let other_version = current.other.as_ref().map(|stored| stored.row_version);
        txn.require(&config_key(other(kind).as_str()), other_version);
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

    /// Reads the row in force, to pass on a change whose answer was lost.
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

impl Judged {
    fn would_accept(self) -> ChangeResponse {
        ChangeResponse::WouldAccept {
            changes: self.changes,
            harms: self.harms,
            findings: self.findings,
        }
    }
}

/// Whether a version is what the change made.
fn is_change(info: &VersionInfo, req: &ChangeRequest) -> bool {
    info.version == req.expect + 1
        && info.author == req.author
        && info.digest == digest(req.body.as_bytes())
}

fn accepted(req: &ChangeRequest, version: VersionInfo) -> ChangeResponse {
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

fn conflict(req: &ChangeRequest, stored: Option<&Stored>) -> ChangeResponse {
    metrics::counter!("ibiscove_config_refused_total", "reason" => "conflict").increment(1);
    let body = stored.map_or("", |stored| stored.body.as_str());
    ChangeResponse::Conflict {
        current: stored.map(Stored::info),
        changes: text_diff(body, &req.body),
    }
}

/// Differences between two texts of the same kind, as far as both are valid.
fn text_diff(before: &str, after: &str) -> Vec<Change> {
    if let (Ok(before), Ok(after)) = (Inventory::parse(before), Inventory::parse(after)) {
        return diff(&before, &after);
    }
    match (Rules::parse(before), Rules::parse(after)) {
        (Ok(before), Ok(after)) => diff(&before, &after),
        _ => Vec::new(),
    }
}

fn other(kind: ConfigKind) -> ConfigKind {
    match kind {
        ConfigKind::Inventory => ConfigKind::Rules,
        ConfigKind::Rules => ConfigKind::Inventory,
    }
}

/// Checks the change and looks for harm.
fn judge(
    kind: ConfigKind,
    req: &ChangeRequest,
    current: &Current,
    map: &ClusterMap,
) -> Result<Judged, ChangeResponse> {
    let before = current.target.as_ref().map_or("", |s| s.body.as_str());
    let other = current.other.as_ref().map(|s| s.body.as_str());
    let (findings, harms) = match kind {
        ConfigKind::Inventory => judge_inventory(req, before, other, map),
        ConfigKind::Rules => (judge_rules(req, other), Vec::new()),
    };
    if crate::has_errors(&findings) {
        metrics::counter!("ibiscove_config_refused_total", "reason" => "invalid").increment(1);
        return Err(ChangeResponse::Invalid { findings });
    }
    let may_go = req.force || req.dry_run;
    if harms
        .iter()
        .any(|harm| !may_go || !harm.kind.can_be_forced())
    {
        metrics::counter!("ibiscove_config_refused_total", "reason" => "harmful").increment(1);
        return Err(ChangeResponse::Harmful { harms });
    }
    Ok(Judged {
        changes: text_diff(before, &req.body),
        harms,
        findings,
    })
}

/// Checks an inventory, and the rules in force against it.
fn judge_inventory(
    req: &ChangeRequest,
    before: &str,
    rules: Option<&str>,
    map: &ClusterMap,
) -> (Vec<Finding>, Vec<crate::Harm>) {
    let (inventory, mut findings) = check_inventory("inventory", &req.body);
    too_long(&req.body, &mut findings);
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

fn judge_rules(req: &ChangeRequest, inventory: Option<&str>) -> Vec<Finding> {
    let inventory = inventory.and_then(|text| Inventory::parse(text).ok());
    let (_, mut findings) = check_rules("rules", &req.body, inventory.as_ref());
    too_long(&req.body, &mut findings);
    findings
}

fn too_long(body: &str, findings: &mut Vec<Finding>) {
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
