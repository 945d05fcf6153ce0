//! The contract of accepted versions, with faults of the platform.

use ibiscove_config::change::{ChangeAnswer, ChangeRequest, ConfigKind, digest};
use ibiscove_config::store::{ConfigStore, Known, MAX_ROW_BODY, StoreError, Written};
use ibiscove_standin::FaultyPlatform;
use ibiscove_store::http::{HttpPlatform, HttpSettings};
use ibiscove_store::{Commit, MemoryPlatform, Objects, RawRow, Table, TableError, Transaction};
use ibiscove_types::rows::{ServiceRow, config_key, service_key};
use ibiscove_types::{Clock, ClusterMap, ServiceKind};
use std::time::{Duration, Instant, SystemTime};
use yare::parameterized;

const KIND: ConfigKind = ConfigKind::Inventory;
const EMPTY: &str = "";

/// A clock whose sleeps end at once.
#[derive(Clone)]
struct EagerClock(Instant);

impl Clock for EagerClock {
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

fn store<P: Table + Objects>(platform: P) -> ConfigStore<P, EagerClock> {
    ConfigStore::new(platform, EagerClock(Instant::now()))
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
    store: &ConfigStore<P, EagerClock>,
    req: &ChangeRequest,
) -> Result<(ChangeAnswer, Option<Written>), StoreError> {
    store.change(KIND, req, &Known::default()).await
}

fn accepted_version(answer: &Result<(ChangeAnswer, Option<Written>), StoreError>) -> Option<u64> {
    match answer {
        Ok((ChangeAnswer::Accepted { version, .. }, _)) => Some(version.version),
        _ => None,
    }
}

/// Faults for the write of a second version, and what the operator is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Accepted,
    NothingChanged,
    Unknown,
}

#[parameterized(
    none = { false, 0, Told::Accepted, 2 },
    down = { true, 0, Told::NothingChanged, 1 },
    one_lost_answer = { false, 1, Told::Accepted, 2 },
    every_answer_lost = { false, 100, Told::Accepted, 2 },
)]
fn a_change_under_faults(down: bool, lost_answers: u32, told: Told, in_force: u64) {
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
        let answer = change(&store, &request("awa", 1, &service("a"))).await;
        let seen = match &answer {
            Ok((ChangeAnswer::Accepted { .. }, _)) => Told::Accepted,
            Err(StoreError::Unavailable(_)) => Told::NothingChanged,
            Err(StoreError::Unknown(_)) => Told::Unknown,
            other => panic!("{other:?}"),
        };
        assert_eq!(seen, told);
        platform.update_faults(|faults| *faults = Default::default());
        let current = store
            .current(KIND)
            .await
            .expect("readable")
            .expect("a version");
        assert_eq!(current.info.version, in_force);
    });
}

/// A platform whose commits lose their answer, take effect or not as told,
/// and after which nothing can be read.
#[derive(Clone)]
struct Severed {
    platform: FaultyPlatform<MemoryPlatform>,
    takes_effect: bool,
}

impl Table for Severed {
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
        Err(TableError::Unanswered("severed".to_owned()))
    }
}

impl Objects for Severed {
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

#[parameterized(took_effect = { true }, did_not = { false })]
fn an_outcome_that_cannot_be_read_is_called_unknown_and_a_repeat_settles_it(takes_effect: bool) {
    smol::block_on(async {
        let faulty = FaultyPlatform::new(MemoryPlatform::default());
        let severed = store(Severed {
            platform: faulty.clone(),
            takes_effect,
        });
        let req = request("awa", 0, EMPTY);
        let answer = change(&severed, &req).await;
        assert!(matches!(answer, Err(StoreError::Unknown(_))), "{answer:?}");
        faulty.update_faults(|faults| faults.unavailable = false);
        let repeat = change(&store(faulty), &req).await;
        assert_eq!(accepted_version(&repeat), Some(1));
    });
}

#[test]
fn a_repeat_is_accepted_even_when_others_have_built_upon_it() {
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
            "another author's change is another change"
        );
    });
}

#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told_who_and_what() {
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
                let (author, answer) = executor.run(task).await;
                match answer.expect("the table answers") {
                    (ChangeAnswer::Accepted { .. }, _) => winners.push(author),
                    (ChangeAnswer::Conflict { current, changes }, _) => {
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
fn a_read_older_than_what_the_node_has_is_refused() {
    smol::block_on(async {
        let store = store(MemoryPlatform::default());
        let written = change(&store, &request("awa", 0, EMPTY))
            .await
            .expect("accepted")
            .1;
        let known = Known {
            inventory: Some(written.expect("a row").row.version + 1),
            ..Default::default()
        };
        let answer = store
            .change(KIND, &request("awa", 1, &service("a")), &known)
            .await;
        assert!(
            matches!(answer, Err(StoreError::Stale { .. })),
            "{answer:?}"
        );
    });
}

#[test]
fn a_long_text_stays_out_of_the_row_and_is_verified_when_read() {
    smol::block_on(async {
        let platform = MemoryPlatform::default();
        let store = store(platform.clone());
        let body = format!("# {}\n", "x".repeat(MAX_ROW_BODY));
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
fn an_object_store_that_is_down_leaves_the_row_alone() {
    smol::block_on(async {
        let faulty = FaultyPlatform::new(MemoryPlatform::default());
        faulty.update_faults(|faults| faults.unavailable = true);
        let answer = change(&store(faulty.clone()), &request("awa", 0, EMPTY)).await;
        assert!(
            matches!(answer, Err(StoreError::Unavailable(_))),
            "{answer:?}"
        );
        faulty.update_faults(|faults| faults.unavailable = false);
        assert_eq!(store(faulty).current(KIND).await.expect("up"), None);
    });
}

#[test]
fn an_older_version_can_be_read_and_put_back() {
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
        let back = change(&store, &request("awa", 2, &old.body)).await;
        assert_eq!(
            accepted_version(&back),
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

/// The same contract through the platform's HTTP side, where a lost answer is
/// a status without a verdict.
#[parameterized(none = { 0 }, one_lost = { 1 }, every_one_lost = { 100 })]
fn over_http_a_lost_answer_is_settled_too(lost_answers: u32) {
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
            let answer = change(&store, &request("awa", version - 1, &body)).await;
            assert_eq!(accepted_version(&answer), Some(version), "{answer:?}");
        }
        let loser = change(&store, &request("moussa", 1, &service("b"))).await;
        assert!(
            matches!(loser, Ok((ChangeAnswer::Conflict { .. }, None))),
            "{loser:?}"
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
        let (answer, written) = change(&store, &req).await.expect("judged");
        assert!(
            matches!(answer, ChangeAnswer::WouldAccept { .. }),
            "{answer:?}"
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
            .change(ConfigKind::Rules, &rules, &Known::default())
            .await;
        assert_eq!(accepted_version(&rules), Some(1));
        let (answer, _) = change(&store, &request("awa", 1, EMPTY))
            .await
            .expect("judged");
        let ChangeAnswer::Invalid { findings } = answer else {
            panic!("{answer:?}");
        };
        assert_eq!(findings[0].file, "rules in force");
    });
}

#[parameterized(held = { false }, forced = { true })]
fn a_slot_count_of_a_living_service_never_changes(force: bool) {
    smol::block_on(async {
        let row = ServiceRow::new("a".into(), ServiceKind::Divided, 64);
        let body = serde_json::to_vec(&row).expect("plain data");
        let known = Known {
            map: ClusterMap::from_rows([(service_key("a").as_str(), 1, &body[..])]),
            ..Default::default()
        };
        let store = store(MemoryPlatform::default());
        let mut req = request("awa", 0, &service("a"));
        req.force = force;
        let (answer, _) = store.change(KIND, &req, &known).await.expect("judged");
        assert!(matches!(answer, ChangeAnswer::Harmful { .. }), "{answer:?}");
        assert_eq!(store.current(KIND).await.expect("up"), None);
    });
}
