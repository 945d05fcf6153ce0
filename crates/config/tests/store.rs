//! Contract of the configuration store under platform faults.

use ibiscove_config::change::{ChangeRequest, ChangeResponse, ConfigKind, digest};
use ibiscove_config::store::{ConfigStore, LocalState, MAX_ROW_BODY_BYTES, StoreError, WrittenRow};
use ibiscove_standin::FaultyPlatform;
use ibiscove_store::http::{HttpPlatform, HttpSettings};
use ibiscove_store::{Commit, MemoryPlatform, Objects, RawRow, Table, TableError, Transaction};
use ibiscove_types::rows::{ServiceRow, config_key, service_key};
use ibiscove_types::{Clock, ClusterMap, ServiceKind};
use std::time::{Duration, Instant, SystemTime};
use yare::parameterized;

const KIND: ConfigKind = ConfigKind::Inventory;
const EMPTY: &str = "";

/// A clock whose sleeps end immediately.
#[derive(Clone)]
struct InstantClock(Instant);

impl Clock for InstantClock {
    fn now(&self) -> Instant {
        self.0
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH
    }

    async fn sleep(&self, _duration: Duration) {
        smol::future::yield_now().await;
    }
}

fn store<P: Table + Objects>(platform: P) -> ConfigStore<P, InstantClock> {
    ConfigStore::new(platform, InstantClock(Instant::now()))
}

fn service(name: &str) -> String {
    format!("[[service]]\nname = '{name}'\nkind = 'divided'\n")
}

fn request(author: &str, expect: u64, body: &str) -> ChangeRequest {
    ChangeRequest {
        expect,
        author: author.to_owned(),
        body: body.to_owned(),
        force: false,
        dry_run: false,
    }
}

async fn change<P: Table + Objects>(
    store: &ConfigStore<P, InstantClock>,
    req: &ChangeRequest,
) -> Result<(ChangeResponse, Option<WrittenRow>), StoreError> {
    store.change(KIND, req, &LocalState::default()).await
}

fn accepted_version(
    result: &Result<(ChangeResponse, Option<WrittenRow>), StoreError>,
) -> Option<u64> {
    match result {
        Ok((ChangeResponse::Accepted { version, .. }, _)) => Some(version.version),
        _ => None,
    }
}

/// The outcome that is reported to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reported {
    Accepted,
    NothingChanged,
    Unknown,
}

#[parameterized(
    no_faults = { false, 0, Reported::Accepted, 2 },
    platform_down = { true, 0, Reported::NothingChanged, 1 },
    one_lost_response = { false, 1, Reported::Accepted, 2 },
    every_response_lost = { false, 100, Reported::Accepted, 2 },
)]
fn under_platform_faults_a_change_reports_the_outcome_that_reads_show(
    down: bool,
    lost_answers: u32,
    expected: Reported,
    in_force: u64,
) {
    smol::block_on(async {
        let platform = FaultyPlatform::new(MemoryPlatform::default());
        let store = store(platform.clone());
        change(&store, &request("awa", 0, EMPTY))
            .await
            .expect("the first version");
        platform.update_faults(|faults| {
            faults.unavailable = down;
            faults.lost_responses = lost_answers;
        });
        let result = change(&store, &request("awa", 1, &service("a"))).await;
        let reported = match &result {
            Ok((ChangeResponse::Accepted { .. }, _)) => Reported::Accepted,
            Err(StoreError::Unavailable(_)) => Reported::NothingChanged,
            Err(StoreError::OutcomeUnknown(_)) => Reported::Unknown,
            other => panic!("{other:?}"),
        };
        assert_eq!(reported, expected);
        platform.update_faults(|faults| *faults = Default::default());
        let current = store
            .current(KIND)
            .await
            .expect("readable")
            .expect("a version");
        assert_eq!(current.info.version, in_force);
    });
}

/// A platform that becomes unavailable with the first commit and loses its
/// response; `takes_effect` says whether the commit is applied.
#[derive(Clone)]
struct DisconnectingPlatform {
    platform: FaultyPlatform<MemoryPlatform>,
    takes_effect: bool,
}

impl Table for DisconnectingPlatform {
    async fn get(&self, key: &str) -> Result<Option<RawRow>, TableError> {
        self.platform.get(key).await
    }

    async fn scan(&self, prefix: &str) -> Result<Vec<(String, RawRow)>, TableError> {
        self.platform.scan(prefix).await
    }

    async fn commit(&self, txn: Transaction) -> Result<Commit, TableError> {
        if self.takes_effect {
            self.platform.commit(txn).await?;
        }
        self.platform
            .update_faults(|faults| faults.unavailable = true);
        Err(TableError::Unanswered("disconnected".to_owned()))
    }
}

impl Objects for DisconnectingPlatform {
    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), TableError> {
        self.platform.put(name, body).await
    }

    async fn fetch(&self, name: &str) -> Result<Option<Vec<u8>>, TableError> {
        self.platform.fetch(name).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<String>, TableError> {
        self.platform.list(prefix).await
    }
}

#[parameterized(commit_applied = { true }, commit_lost = { false })]
fn an_outcome_that_cannot_be_read_is_unknown_until_the_request_is_repeated(takes_effect: bool) {
    smol::block_on(async {
        let faulty = FaultyPlatform::new(MemoryPlatform::default());
        let disconnecting = store(DisconnectingPlatform {
            platform: faulty.clone(),
            takes_effect,
        });
        let req = request("awa", 0, EMPTY);
        let result = change(&disconnecting, &req).await;
        assert!(
            matches!(result, Err(StoreError::OutcomeUnknown(_))),
            "{result:?}"
        );
        faulty.update_faults(|faults| faults.unavailable = false);
        let duplicate = change(&store(faulty), &req).await;
        assert_eq!(accepted_version(&duplicate), Some(1));
    });
}

#[test]
fn a_duplicate_request_is_accepted_after_later_versions() {
    smol::block_on(async {
        let store = store(MemoryPlatform::default());
        let first = request("awa", 0, &service("a"));
        change(&store, &first).await.expect("accepted");
        change(&store, &request("moussa", 1, &service("b")))
            .await
            .expect("accepted");
        change(&store, &request("moussa", 2, &service("c")))
            .await
            .expect("accepted");
        assert_eq!(accepted_version(&change(&store, &first).await), Some(1));
        let other = change(&store, &request("moussa", 0, &service("a"))).await;
        assert_eq!(
            accepted_version(&other),
            None,
            "the same text of another author is another change"
        );
    });
}

#[test]
fn of_two_concurrent_changes_one_is_accepted_and_the_other_gets_author_and_differences() {
    smol::block_on(async {
        for seed in 0..64 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let platform = FaultyPlatform::new(MemoryPlatform::default());
            let store = store(platform.clone());
            change(&store, &request("awa", 0, EMPTY))
                .await
                .expect("the first version");
            platform.update_faults(|faults| faults.lost_responses = rng.u32(0..3));
            let (awa, moussa) = (
                request("awa", 1, &service("a")),
                request("moussa", 1, &service("b")),
            );
            let executor = smol::LocalExecutor::new();
            let mut tasks = Vec::new();
            let mut requests = [&awa, &moussa];
            rng.shuffle(&mut requests);
            for req in requests {
                tasks.push(
                    executor.spawn(async { (req.author.clone(), change(&store, req).await) }),
                );
            }
            let (mut winners, mut losers) = (Vec::new(), Vec::new());
            for task in tasks {
                let (author, result) = executor.run(task).await;
                match result.expect("the table responds") {
                    (ChangeResponse::Accepted { .. }, _) => winners.push(author),
                    (ChangeResponse::Conflict { current, changes }, _) => {
                        losers.push((current.expect("a version").author, changes));
                    }
                    other => panic!("seed {seed}: {other:?}"),
                }
            }
            assert_eq!((winners.len(), losers.len()), (1, 1), "seed {seed}");
            assert_eq!(losers[0].0, winners[0], "seed {seed}");
            assert_eq!(losers[0].1.len(), 2, "one service in place of another");
            let history = store.history(KIND, 10).await.expect("a history");
            let authors: Vec<_> = history.iter().map(|v| v.author.clone()).collect();
            assert_eq!(
                authors,
                [winners[0].clone(), "awa".to_owned()],
                "seed {seed}"
            );
        }
    });
}

#[test]
fn a_read_older_than_the_known_version_is_an_error() {
    smol::block_on(async {
        let store = store(MemoryPlatform::default());
        let written = change(&store, &request("awa", 0, EMPTY))
            .await
            .expect("accepted")
            .1;
        let known = LocalState {
            inventory: Some(written.expect("a row").row.version + 1),
            ..Default::default()
        };
        let result = store
            .change(KIND, &request("awa", 1, &service("a")), &known)
            .await;
        assert!(
            matches!(result, Err(StoreError::Stale { .. })),
            "{result:?}"
        );
    });
}

#[test]
fn a_long_text_is_stored_outside_the_row_and_verified_when_read() {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        let store = store(platform.clone());
        let body = format!("# {}\n", "x".repeat(MAX_ROW_BODY_BYTES));
        change(&store, &request("awa", 0, &body))
            .await
            .expect("accepted");
        let row = platform
            .get(&config_key("inventory"))
            .await
            .expect("up")
            .expect("a row");
        assert!(row.body.len() < 1_000);
        let current = store
            .current(KIND)
            .await
            .expect("readable")
            .expect("a version");
        assert_eq!(current.body, body);
        let name = platform.list("config/").await.expect("up").remove(0);
        let object = platform.fetch(&name).await.expect("up").expect("an object");
        let damaged = String::from_utf8(object)
            .expect("JSON")
            .replacen("xx", "xy", 1);
        platform.put(&name, damaged.into_bytes()).await.expect("up");
        let read = store.current(KIND).await;
        assert!(matches!(read, Err(StoreError::Damaged { .. })), "{read:?}");
    });
}

#[test]
fn with_the_object_store_down_no_row_is_written() {
    smol::block_on(async {
        let faulty = FaultyPlatform::new(MemoryPlatform::default());
        faulty.update_faults(|faults| faults.unavailable = true);
        let result = change(&store(faulty.clone()), &request("awa", 0, EMPTY)).await;
        assert!(
            matches!(result, Err(StoreError::Unavailable(_))),
            "{result:?}"
        );
        faulty.update_faults(|faults| faults.unavailable = false);
        assert_eq!(store(faulty).current(KIND).await.expect("up"), None);
    });
}

#[test]
fn an_older_version_can_be_read_and_restored() {
    smol::block_on(async {
        let store = store(MemoryPlatform::default());
        change(&store, &request("awa", 0, &service("a")))
            .await
            .expect("accepted");
        change(&store, &request("awa", 1, &service("b")))
            .await
            .expect("accepted");
        let old = store.version(KIND, 1).await.expect("the first version");
        assert_eq!(old.body, service("a"));
        let rollback = change(&store, &request("awa", 2, &old.body)).await;
        assert_eq!(
            accepted_version(&rollback),
            Some(3),
            "a rollback is a new version"
        );
        assert_eq!(
            store.version(KIND, 3).await.expect("the third").info.digest,
            digest(service("a").as_bytes())
        );
        let missing = store.version(KIND, 9).await;
        assert!(matches!(missing, Err(StoreError::NoVersion { .. })));
    });
}

/// The same contract over HTTP, where a lost response appears as a status that
/// leaves the outcome open.
#[parameterized(none_lost = { 0 }, one_lost = { 1 }, every_one_lost = { 100 })]
fn over_http_a_change_is_accepted_despite_lost_responses(lost_answers: u32) {
    smol::block_on(async {
        let faulty = FaultyPlatform::new(MemoryPlatform::default());
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        ibiscove_standin::platform::serve(listener, faulty.clone()).expect("it serves");
        let http = HttpPlatform::new(HttpSettings {
            addr,
            timeout: Duration::from_secs(30),
        });
        let store = store(http);
        faulty.update_faults(|faults| faults.lost_responses = lost_answers);
        for (version, body) in [(1, EMPTY.to_owned()), (2, service("a"))] {
            let result = change(&store, &request("awa", version - 1, &body)).await;
            assert_eq!(accepted_version(&result), Some(version), "{result:?}");
        }
        let conflicting = change(&store, &request("moussa", 1, &service("b"))).await;
        assert!(
            matches!(conflicting, Ok((ChangeResponse::Conflict { .. }, None))),
            "{conflicting:?}"
        );
        assert_eq!(store.history(KIND, 9).await.expect("a history").len(), 2);
    });
}

#[test]
fn a_dry_run_writes_nothing() {
    smol::block_on(async {
        let store = store(MemoryPlatform::default());
        let mut req = request("awa", 0, &service("a"));
        req.dry_run = true;
        let (result, written) = change(&store, &req).await.expect("evaluated");
        assert!(
            matches!(result, ChangeResponse::WouldAccept { .. }),
            "{result:?}"
        );
        assert_eq!(written, None);
        assert_eq!(store.current(KIND).await.expect("up"), None);
    });
}

#[test]
fn rules_in_force_are_checked_against_a_new_inventory() {
    smol::block_on(async {
        let store = store(MemoryPlatform::default());
        change(&store, &request("awa", 0, &service("a")))
            .await
            .expect("accepted");
        let rules = request("awa", 0, "[[route]]\nservice = 'a'\nprefix = '/a'\n");
        let rules = store
            .change(ConfigKind::Rules, &rules, &LocalState::default())
            .await;
        assert_eq!(accepted_version(&rules), Some(1));
        let (result, _) = change(&store, &request("awa", 1, EMPTY))
            .await
            .expect("evaluated");
        let ChangeResponse::Invalid { findings } = result else {
            panic!("{result:?}");
        };
        assert_eq!(findings[0].file, "rules in force");
    });
}

#[parameterized(not_forced = { false }, forced = { true })]
fn the_slot_count_of_an_existing_service_cannot_change_even_if_forced(force: bool) {
    smol::block_on(async {
        let row = ServiceRow::new("a".into(), ServiceKind::Divided, 64);
        let body = serde_json::to_vec(&row).expect("plain data");
        let known = LocalState {
            map: ClusterMap::from_rows([(service_key("a").as_str(), 1, &body[..])]),
            ..Default::default()
        };
        let store = store(MemoryPlatform::default());
        let mut req = request("awa", 0, &service("a"));
        req.force = force;
        let (result, _) = store.change(KIND, &req, &known).await.expect("evaluated");
        assert!(
            matches!(result, ChangeResponse::Harmful { .. }),
            "{result:?}"
        );
        assert_eq!(store.current(KIND).await.expect("up"), None);
    });
}
