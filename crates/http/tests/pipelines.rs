//! Load: clients that send requests before the ones before them are answered.

mod support;

use ibiscove_http::PipelineSettings;
use smol::future::FutureExt;
use smol::io::AsyncWriteExt;
use std::time::{Duration, Instant};
use support::{Client, early, get, post, serve, within};

fn served(path: &str) -> Option<(u16, bool, String)> {
    Some((200, false, format!("{path} 0")))
}

fn last_served(path: &str) -> Option<(u16, bool, String)> {
    Some((200, true, format!("{path} 0")))
}

#[test]
fn reads_of_a_pipeline_run_side_by_side_and_are_answered_in_order() {
    smol::block_on(async {
        let (addr, server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let paths = ["/hold/1", "/hold/2", "/hold/3"];
        client.send(paths.map(get).concat()).await;
        stage.wait_started(&paths).await;
        assert_eq!(server.in_flight(), 3);
        for path in paths.iter().rev() {
            stage.release(path);
        }
        for path in paths {
            assert_eq!(client.answer().await, served(path));
        }
        // The connection goes on.
        client.send(get("/next")).await;
        assert_eq!(client.answer().await, served("/next"));
    });
}

#[test]
fn without_look_ahead_each_request_waits_for_the_one_before() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(0)).await;
        let mut client = Client::connect(addr).await;
        let paths = ["/hold/1", "/2", "/3"];
        client.send(paths.map(get).concat()).await;
        stage.wait_started(&["/hold/1"]).await;
        stage.release("/hold/1");
        for path in paths {
            assert_eq!(client.answer().await, served(path));
        }
        let in_turn = [
            "start /hold/1",
            "end /hold/1",
            "start /2",
            "end /2",
            "start /3",
            "end /3",
        ];
        assert_eq!(stage.events(), in_turn);
    });
}

#[test]
fn an_answer_that_waits_for_its_turn_has_ended_its_work() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        client
            .send([get("/hold/1"), get("/2"), get("/hold/3")].concat())
            .await;
        stage.wait_started(&["/hold/1", "/2", "/hold/3"]).await;
        stage.release("/hold/3");
        // What a handler holds, such as a slot of an upstream, is free while the
        // first request is still at work.
        within("end of the second and third", async {
            while stage
                .events()
                .iter()
                .filter(|event| event.starts_with("end"))
                .count()
                < 2
            {
                smol::future::yield_now().await;
            }
        })
        .await;
        assert!(!stage.events().contains(&"end /hold/1".to_owned()));
        stage.release("/hold/1");
        for path in ["/hold/1", "/2", "/hold/3"] {
            assert_eq!(client.answer().await, served(path));
        }
    });
}

#[test]
fn a_request_that_must_not_be_repeated_starts_after_all_before_it_are_answered() {
    smol::block_on(async {
        for order in [post("/order", "five!"), get("/order/5")] {
            let (addr, _server, stage) = serve(early(16)).await;
            let mut client = Client::connect(addr).await;
            let requests = [get("/hold/1"), get("/hold/2"), order, get("/4")];
            client.send(requests.concat()).await;
            stage.wait_started(&["/hold/1", "/hold/2"]).await;
            assert_eq!(stage.started().len(), 2);
            stage.release("/hold/2");
            stage.release("/hold/1");
            let mut answers = Vec::new();
            for _ in 0..4 {
                answers.push(client.answer().await.expect("an answer").2);
            }
            assert_eq!(answers[..2], ["/hold/1 0", "/hold/2 0"]);
            assert_eq!(answers[3], "/4 0");
            let events = stage.events();
            let at = |event: &str| events.iter().position(|other| other.starts_with(event));
            assert!(at("end /hold/1") < at("start /order"), "{events:?}");
            assert!(at("end /hold/2") < at("start /order"), "{events:?}");
            assert!(at("end /order") < at("start /4"), "{events:?}");
            assert_eq!(stage.started().len(), 4, "{events:?}");
        }
    });
}

#[test]
fn a_client_that_leaves_cancels_all_its_requests() {
    smol::block_on(async {
        let (addr, server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let paths = ["/hold/1", "/hold/2", "/hold/3"];
        client.send(paths.map(get).concat()).await;
        client.send(post("/order", "")).await;
        stage.wait_started(&paths).await;
        drop(client);
        stage.wait_idle().await;
        assert_eq!(stage.started(), paths);
        within("end of the requests in flight", async {
            while server.in_flight() > 0 {
                smol::future::yield_now().await;
            }
        })
        .await;
    });
}

#[test]
fn a_drain_answers_what_was_started_and_starts_nothing_more() {
    smol::block_on(async {
        let (addr, server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let paths = ["/hold/1", "/hold/2", "/hold/3"];
        client.send(paths.map(get).concat()).await;
        client.send([post("/order", ""), get("/5")].concat()).await;
        stage.wait_started(&paths).await;
        server.drain();
        client.send(get("/6")).await;
        // The connection has learnt of the drain at the latest with the first answer.
        for path in &paths[..2] {
            stage.release(path);
            assert_eq!(client.answer().await, served(path));
        }
        stage.release("/hold/3");
        assert_eq!(client.answer().await, last_served("/hold/3"));
        assert_eq!(client.answer().await, None);
        assert_eq!(stage.started(), paths);
    });
}

#[test]
fn an_answer_that_closes_leaves_the_close_to_the_last_started_request() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let requests = [get("/hold/closing"), get("/hold/2"), post("/order", "")];
        client.send(requests.concat()).await;
        stage.wait_started(&["/hold/closing", "/hold/2"]).await;
        stage.release("/hold/closing");
        assert_eq!(client.answer().await, served("/hold/closing"));
        client.send(get("/4")).await;
        stage.release("/hold/2");
        assert_eq!(client.answer().await, last_served("/hold/2"));
        assert_eq!(client.answer().await, None);
        assert_eq!(stage.started(), ["/hold/closing", "/hold/2"]);
    });
}

#[test]
fn nothing_behind_a_request_that_closes_is_read() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let closing = "GET /last HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
        client
            .send([&*get("/hold/1"), &*get("/hold/2"), closing, &*get("/4")].concat())
            .await;
        stage.wait_started(&["/hold/1", "/hold/2"]).await;
        stage.release("/hold/1");
        stage.release("/hold/2");
        let answers = client.answers().await;
        assert_eq!(answers.len(), 3);
        assert_eq!(answers.last().cloned(), last_served("/last"));
        assert_eq!(stage.started(), ["/hold/1", "/hold/2", "/last"]);
    });
}

#[test]
fn thousands_of_tiny_requests_are_started_a_few_at_a_time() {
    smol::block_on(async {
        let (addr, server, stage) = serve(early(4)).await;
        let mut client = Client::connect(addr).await;
        let count = 5_000;
        let requests: String = (0..count).map(|n| get(&format!("/{n}"))).collect();
        client.send(get("/hold/first")).await;
        let mut sender = client.stream.clone();
        let sending = smol::spawn(async move { sender.write_all(requests.as_bytes()).await });
        stage
            .wait_started(&["/hold/first", "/0", "/1", "/2", "/3"])
            .await;
        assert_eq!(server.in_flight(), 5);
        stage.release("/hold/first");
        assert_eq!(client.answer().await, served("/hold/first"));
        for n in 0..count {
            assert_eq!(client.answer().await, served(&format!("/{n}")));
        }
        sending.await.expect("the server reads all requests");
        assert!(stage.max_running() <= 5, "{}", stage.max_running());
    });
}

#[test]
fn a_client_that_never_reads_is_served_no_more_than_the_bound() {
    smol::block_on(async {
        let (addr, server, stage) = serve(early(4)).await;
        let mut client = Client::connect(addr).await;
        client.send(get("/hold/first")).await;
        let mut sender = client.stream.clone();
        let sending = async move {
            // More than the buffers of both sockets hold.
            let requests = get("/hold/more").repeat(1_000);
            for _ in 0..(64 << 20) / requests.len() {
                sender
                    .write_all(requests.as_bytes())
                    .await
                    .expect("the connection is open");
            }
            panic!("the server has read all requests of a client that reads no answer");
        };
        // Without back-pressure the sender ends within this time.
        let watched = async {
            stage.wait_started(&["/hold/first", "/hold/more"]).await;
            smol::Timer::after(Duration::from_secs(1)).await;
        };
        watched.or(sending).await;
        assert_eq!(server.in_flight(), 5);
        // Its close is behind bytes that the server has not read. The next answer is
        // the latest moment at which it shows.
        drop(client);
        stage.release("/hold/first");
        stage.release("/hold/more");
        stage.wait_idle().await;
        assert_eq!(stage.max_running(), 5);
    });
}

#[test]
fn without_memory_for_look_ahead_requests_wait_for_each_other() {
    smol::block_on(async {
        let settings = PipelineSettings {
            max_total_bytes: 0,
            ..early(16)
        };
        let (addr, _server, stage) = serve(settings).await;
        let mut client = Client::connect(addr).await;
        client
            .send([get("/hold/1"), get("/2"), get("/3")].concat())
            .await;
        stage.wait_started(&["/hold/1"]).await;
        stage.release("/hold/1");
        for path in ["/hold/1", "/2", "/3"] {
            assert_eq!(client.answer().await, served(path));
        }
        assert_eq!(
            stage.events()[..3],
            ["start /hold/1", "end /hold/1", "start /2"]
        );
    });
}

#[test]
fn a_pipeline_may_arrive_byte_by_byte() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let paths = ["/hold/1", "/hold/2", "/hold/3"];
        for byte in paths.map(get).concat().bytes() {
            client.send([byte]).await;
            smol::future::yield_now().await;
        }
        stage.wait_started(&paths).await;
        for path in paths {
            stage.release(path);
            assert_eq!(client.answer().await, served(path));
        }
        // A body in parts, with a request behind it in the packet of its last part.
        let order = post("/order", "0123456789");
        let (first, second) = order.split_at(order.len() - 5);
        client.send(first).await;
        stage.wait_started(&["/order"]).await;
        client.send([second, &get("/5")].concat()).await;
        let answer = client.answer().await;
        assert_eq!(answer, Some((200, false, "/order 10".into())));
        assert_eq!(client.answer().await, served("/5"));
    });
}

/// Requests whose extent is disputable, each followed by what an attacker wants to be
/// taken for a request or for a part of one.
fn framing_attacks() -> Vec<String> {
    let head = "POST /attack HTTP/1.1\r\nHost: a.example\r\n";
    let inner = get("/smuggled");
    let length = inner.len();
    vec![
        format!("{head}Content-Length: {length}\r\nContent-Length: 0\r\n\r\n{inner}"),
        format!("{head}Content-Length: 0\r\nContent-Length: {length}\r\n\r\n{inner}"),
        format!("{head}Content-Length: {length}, 0\r\n\r\n{inner}"),
        format!("{head}Content-Length: +{length}\r\n\r\n{inner}"),
        format!("{head}Content-Length: -1\r\n\r\n{inner}"),
        format!("{head}Content-Length: \r\n\r\n{inner}"),
        format!("{head}Content-Length: 99999999999999999999\r\n\r\n{inner}"),
        format!("{head}Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n{inner}"),
        format!("{head}Content-Length : {length}\r\n\r\n{inner}"),
        format!("{head} Content-Length: {length}\r\n\r\n{inner}"),
        format!("{head}A: b\rContent-Length: {length}\r\n\r\n{inner}"),
        format!("GET /at tack HTTP/1.1\r\n\r\n{inner}"),
        format!("GET /attack\r\n\r\n{inner}"),
        format!("GET /attack HTTP/1.7\r\n\r\n{inner}"),
    ]
}

#[test]
fn disputable_requests_are_refused_and_nothing_behind_them_runs() {
    smol::block_on(async {
        for attack in framing_attacks() {
            let (addr, _server, stage) = serve(early(16)).await;
            let mut client = Client::connect(addr).await;
            client
                .send([&*get("/hold/1"), &*get("/hold/2"), &*attack].concat())
                .await;
            stage.wait_started(&["/hold/1", "/hold/2"]).await;
            stage.release("/hold/1");
            stage.release("/hold/2");
            assert_eq!(client.answer().await, served("/hold/1"));
            assert_eq!(client.answer().await, served("/hold/2"));
            let refusals = client.answers().await;
            assert_eq!(refusals.len(), 1, "{attack:?}: {refusals:?}");
            assert_eq!(refusals[0].0, 400, "{attack:?}");
            assert_eq!(stage.started(), ["/hold/1", "/hold/2"], "{attack:?}");
        }
    });
}

#[test]
fn a_body_that_looks_like_a_request_is_a_body() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let inner = get("/smuggled");
        let chunked = format!(
            "POST /order HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\
             Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{inner}\r\n0\r\n\r\n",
            inner.len()
        );
        let order = post("/order", &inner);
        client
            .send([&*get("/hold/1"), &*order, &*get("/3"), &*chunked].concat())
            .await;
        stage.wait_started(&["/hold/1"]).await;
        stage.release("/hold/1");
        assert_eq!(client.answer().await, served("/hold/1"));
        let body = format!("/order {}", inner.len());
        assert_eq!(client.answer().await, Some((200, false, body)));
        assert_eq!(client.answer().await, served("/3"));
        let _ = client.answer().await;
        assert!(!stage.started().contains(&"/smuggled".to_owned()));
    });
}

#[test]
fn an_endless_head_is_refused_in_its_turn() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        client.send([get("/hold/1"), get("/hold/2")].concat()).await;
        client
            .send("GET /endless HTTP/1.1\r\nHost: a.example\r\nA: ")
            .await;
        let mut sender = client.stream.clone();
        let sending =
            smol::spawn(async move { while sender.write_all(&[b'a'; 4_096]).await.is_ok() {} });
        stage.wait_started(&["/hold/1", "/hold/2"]).await;
        stage.release("/hold/1");
        stage.release("/hold/2");
        assert_eq!(client.answer().await, served("/hold/1"));
        assert_eq!(client.answer().await, served("/hold/2"));
        assert_eq!(client.answer().await.map(|answer| answer.0), Some(431));
        within("end of the connection", sending).await;
        assert_eq!(stage.started(), ["/hold/1", "/hold/2"]);
    });
}

#[test]
fn nothing_starts_beside_a_request_that_must_not_be_repeated() {
    smol::block_on(async {
        for order in [post("/order/hold", "five!"), get("/order/hold")] {
            let (addr, _server, stage) = serve(early(16)).await;
            let mut client = Client::connect(addr).await;
            client.send([&*order, &*get("/2")].concat()).await;
            stage.wait_started(&["/order/hold"]).await;
            // The read has arrived by the time of the release, or arrives later.
            client.send(get("/3")).await;
            for _ in 0..1_000 {
                smol::future::yield_now().await;
            }
            stage.release("/order/hold");
            assert!(client.answer().await.is_some());
            assert_eq!(client.answer().await, served("/2"));
            assert_eq!(client.answer().await, served("/3"));
            let events = stage.events();
            assert_eq!(events[..2], ["start /order/hold", "end /order/hold"]);
        }
    });
}

#[test]
fn reads_start_beside_a_request_with_a_body_that_may_be_repeated() {
    smol::block_on(async {
        let (addr, _server, stage) = serve(early(16)).await;
        let mut client = Client::connect(addr).await;
        let search = post("/hold/search", "words").replacen("POST", "GET", 1);
        client.send([&*search, &*get("/hold/2")].concat()).await;
        stage.wait_started(&["/hold/search", "/hold/2"]).await;
        stage.release("/hold/search");
        stage.release("/hold/2");
        let answer = Some((200, false, "/hold/search 5".into()));
        assert_eq!(client.answer().await, answer);
        assert_eq!(client.answer().await, served("/hold/2"));
    });
}

#[test]
fn a_connection_without_pipelined_requests_is_not_read_after_its_close() {
    smol::block_on(async {
        let (addr, _server, _stage) = serve(early(16)).await;
        // Half the time for which a connection is read that had pipelined requests. One
        // that is closed within it suffices, since the machine may be busy.
        let limit = Duration::from_millis(250);
        for _ in 0..40 {
            let mut client = Client::connect(addr).await;
            client.send(get("/closing")).await;
            assert_eq!(client.answer().await, last_served("/closing"));
            assert_eq!(client.answer().await, None);
            let closed = Instant::now();
            while closed.elapsed() < limit {
                if client.stream.write_all(b"G").await.is_err() {
                    return;
                }
                // Few enough bytes that their number does not end the reading.
                smol::Timer::after(Duration::from_millis(1)).await;
            }
        }
        panic!("the server goes on reading connections that it has closed");
    });
}
