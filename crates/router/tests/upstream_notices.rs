//! Notices that upstreams put into their answers: a limit, and that they leave.

mod support;

use hyper::header::{HeaderName, HeaderValue};
use ibiscove_http::{Pool, PoolSettings};
use ibiscove_proxy::gate::GateLoad;
use ibiscove_store::MemoryPlatform;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::{CountingUpstream, addr, send_request, start_node, wait_until_served};

fn set_notice(upstream: &CountingUpstream, name: &'static str, value: &'static str) {
    let (name, value) = (
        HeaderName::from_static(name),
        HeaderValue::from_static(value),
    );
    let mut notice = upstream.notice.lock().expect("no holder panics");
    notice.insert(name, value);
}

/// Guards against an upstream that names a limit and gets more requests than that,
/// from the callers of all nodes together.
#[test]
fn upstream_gets_no_more_than_the_limit_that_it_names() {
    const LIMIT: f64 = 10.0;
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (gallery, signs, at_gallery) = start_node(11, "gallery", &table).await;
        let (_other, _deposits, at_other) = start_node(12, "deposits", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(gallery.apply_config("7".into()));
        wait_until_served(&pool, at_other, "/signs/1").await;
        set_notice(&signs, "ibiscove-max-rate", "10");
        assert_eq!(send_request(&pool, at_gallery, "/signs/1").await.0, 200);

        let (started, before) = (Instant::now(), signs.runs.load(Ordering::SeqCst));
        let mut refused = 0;
        while started.elapsed() < Duration::from_secs(3) {
            for entry in [at_gallery, at_other] {
                let (status, body) = send_request(&pool, entry, "/signs/2").await;
                if status != 200 {
                    assert!(body.contains("not-run"), "{status}: {body}");
                    refused += 1;
                }
            }
        }
        let runs = signs.runs.load(Ordering::SeqCst) - before;
        let allowed = 1.5 * LIMIT * started.elapsed().as_secs_f64() + 5.0;
        assert!(f64::from(runs) <= allowed, "{runs} ran, {refused} refused");
        assert!(f64::from(runs) >= 0.6 * LIMIT * started.elapsed().as_secs_f64());
    });
}

/// Guards against requests to a leaving upstream that has said so only in its
/// answers: none of its announcements says that it drains.
#[test]
fn upstream_that_says_in_an_answer_that_it_leaves_gets_no_new_requests() {
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (gallery, signs, at_gallery) = start_node(13, "gallery", &table).await;
        let (_other, _deposits, at_other) = start_node(14, "deposits", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(gallery.apply_config("7".into()));
        wait_until_served(&pool, at_other, "/signs/1").await;
        set_notice(&signs, "ibiscove-leaving", "1");
        assert_eq!(send_request(&pool, at_other, "/signs/1").await.0, 200);

        let before = signs.runs.load(Ordering::SeqCst);
        // Announcements that say nothing of it arrive meanwhile.
        for _ in 0..10 {
            for entry in [at_gallery, at_other] {
                let (status, body) = send_request(&pool, entry, "/signs/2").await;
                assert_eq!(status, 503, "{body}");
                assert!(body.contains("not-run"), "{body}");
            }
            smol::Timer::after(Duration::from_millis(100)).await;
        }
        assert_eq!(signs.runs.load(Ordering::SeqCst), before);
    });
}

/// Returns the service time that a gate reports to other nodes, in microseconds.
async fn reported_service_us(pool: &Pool, node: u8) -> u64 {
    let req = hyper::Request::new(ibiscove_http::Body::whole(""));
    let sent = pool.send(addr(node, 7_401), req, Duration::from_secs(1));
    let exchange = sent.await.expect("the gate answers");
    let load = exchange.response.headers()["ibiscove-gate-load"].to_str();
    let load = GateLoad::from_header(load.expect("a text")).expect("a valid load");
    u64::try_from(load.service_time.as_micros()).expect("a short time")
}

/// Guards against a gate that does not tell entries that its machine is slow right now.
#[test]
fn gate_reports_longer_service_times_while_its_machine_is_slow() {
    const STATED_LOAD: &str = "ibiscove-upstream-load";
    smol::block_on(async {
        let table = MemoryPlatform::default();
        let (gallery, signs, at_gallery) = start_node(17, "gallery", &table).await;
        let pool = Pool::new(PoolSettings::default());
        assert!(gallery.apply_config("7".into()));
        wait_until_served(&pool, at_gallery, "/signs/1").await;
        set_notice(&signs, STATED_LOAD, "1,0,4,100");
        for _ in 0..20 {
            assert_eq!(send_request(&pool, at_gallery, "/signs/1").await.0, 200);
        }
        // What cannot be read changes nothing.
        set_notice(&signs, STATED_LOAD, "1,0,4,-900");
        assert_eq!(send_request(&pool, at_gallery, "/signs/1").await.0, 200);
        let usual_us = reported_service_us(&pool, 17).await;
        set_notice(&signs, STATED_LOAD, "1,0,4,1000");
        // The figure fades; on a busy machine it may have when it is asked for.
        for _ in 0..10 {
            assert_eq!(send_request(&pool, at_gallery, "/signs/1").await.0, 200);
            if reported_service_us(&pool, 17).await > 3 * usual_us {
                return;
            }
        }
        panic!("the gate reports {usual_us} us as before");
    });
}
