//! Division of texts into chunks, and how receivers put them together.

use bytes::Bytes;
use ibiscove_chunks::{Assembly, ChunkError, ChunkedText, Manifest};

/// Returns a configuration of `routes` routes as operators write it, without line ends.
fn configuration(routes: usize) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(7);
    let mut word = |len: usize| -> String { (0..len).map(|_| rng.lowercase()).collect() };
    let mut route = || {
        format!(
            r#""r-{}":{{"host":"{}.example","prefix":"/{}/{}/","kind":"safe","timeout-s":1.2,"target-latency-s":0.3,"priority":1,"service":"{}","max-attempts":2}},"#,
            word(7),
            word(5),
            word(7),
            word(5),
            word(7)
        )
    };
    (0..routes).map(|_| route()).collect()
}

fn text(routes: &[String]) -> Bytes {
    routes.concat().into()
}

/// Returns the bytes of the manifest and of the chunks that a holder of `earlier` asks for,
/// after it has put the text together.
fn transfer(earlier: Option<&Bytes>, later: &Bytes) -> (usize, usize) {
    let holder = ChunkedText::new(2, later);
    let manifest = serde_json::to_vec(holder.manifest()).expect("it has plain fields");
    let read: Manifest = serde_json::from_slice(&manifest).expect("it is its own form");
    assert_eq!(&read, holder.manifest());
    let mut assembly = Assembly::new(read, earlier);
    let missing: Vec<usize> = assembly.missing().map(|(index, _)| index).collect();
    let mut sent = 0;
    for index in missing {
        let chunk = holder.compressed(index).expect("the manifest names it");
        sent += chunk.len();
        assembly.insert(index, &chunk).expect("it is whole");
    }
    assert!(assembly.is_complete());
    assert_eq!(assembly.finish().expect("it is complete"), later);
    (manifest.len(), sent)
}

/// Guards against a configuration that is sent whole where one route has changed, at sizes
/// from one route to tens of thousands.
#[test]
fn small_changes_cost_little_at_any_size() {
    for routes in [1, 30, 1_400, 2_800, 30_000] {
        let mut changed = configuration(routes);
        let earlier = text(&changed);
        changed[routes / 2] = changed[routes / 2].replace("\"priority\":1", "\"priority\":2");
        let later = text(&changed);
        let (manifest, chunks) = transfer(Some(&earlier), &later);
        let whole = transfer(None, &later).1;
        println!(
            "{routes} routes: {} bytes, compressed {whole}; one change: manifest {manifest}, chunks {chunks}",
            later.len()
        );
        // Twice the manifest of chunks at the balance of both, and the largest chunks at that.
        assert!(manifest + chunks < 400 + 24 * later.len().isqrt());
    }
}

/// Guards against boundaries that move after an insertion, and against chunks that are
/// asked for again because there are more of them now.
#[test]
fn growth_costs_what_was_added() {
    let all = configuration(2_800);
    let appended = text(&all[..1_400]);
    let (_, chunks) = transfer(Some(&appended), &text(&all));
    let (_, added) = transfer(None, &text(&all[1_400..]));
    println!("1,400 routes more: {chunks} bytes, they alone {added}");
    assert!(chunks < added + added / 10);
}

/// Guards against chunks that arrived for a version which was replaced meanwhile and that
/// are asked for again.
#[test]
fn next_version_keeps_what_has_arrived() {
    let mut routes = configuration(1_400);
    let holder = ChunkedText::new(2, &text(&routes));
    let mut assembly = Assembly::new(holder.manifest().clone(), None);
    let missing: Vec<usize> = assembly.missing().map(|(index, _)| index).collect();
    for index in &missing[..missing.len() / 2] {
        let chunk = holder.compressed(*index).expect("the manifest names it");
        assembly.insert(*index, &chunk).expect("it is whole");
    }
    let last = routes.len() - 1;
    routes[last] = routes[last].replace("safe", "upload");
    let next = ChunkedText::new(3, &text(&routes));
    let assembly = assembly.restart(next.manifest().clone(), None);
    assert!(assembly.missing().count() <= missing.len() - missing.len() / 2 + 2);
}

/// Guards against a text that a faulty peer has damaged.
#[test]
fn damaged_chunks_are_refused() {
    let holder = ChunkedText::new(2, &text(&configuration(100)));
    let mut assembly = Assembly::new(holder.manifest().clone(), None);
    let other = ChunkedText::new(2, &text(&configuration(50)[20..]));
    let foreign = other.compressed(0).expect("it has a chunk");
    assert!(matches!(
        assembly.insert(0, &foreign),
        Err(ChunkError::Checksum)
    ));
    let mut cut = holder.compressed(0).expect("it has a chunk").to_vec();
    cut.truncate(cut.len() / 2);
    assert!(assembly.insert(0, &cut).is_err());
    assert!(matches!(
        assembly.insert(9_999, &foreign),
        Err(ChunkError::NoSuchChunk(9_999))
    ));
    assert!(matches!(assembly.finish(), Err(ChunkError::Missing(_))));
}

/// Guards against manifests that make a node panic or reserve memory without bound.
#[test]
fn malformed_manifests_are_refused() {
    let malformed = [
        r#"{"version":1,"bits":12,"checksum":"0000000000000000","ids":"00","lengths":[1]}"#,
        r#"{"version":1,"bits":12,"checksum":"0000000000000000","ids":"+000000000000000","lengths":[1]}"#,
        r#"{"version":1,"bits":12,"checksum":"0000000000000000","ids":"","lengths":[1]}"#,
        r#"{"version":1,"bits":12,"checksum":"","ids":"","lengths":[]}"#,
        r#"{"version":1,"bits":12,"checksum":"0000000000000000","ids":"0000000000000000","lengths":[4294967295]}"#,
    ];
    for manifest in malformed {
        assert!(
            serde_json::from_str::<Manifest>(manifest).is_err(),
            "{manifest}"
        );
    }
}
