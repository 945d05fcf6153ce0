//! Load: streams of valid and mangled requests, in packets of any size. They are
//! answered with look-ahead exactly as without.

mod support;

use fastrand::Rng;
use ibiscove_http::PipelineSettings;
use smol::io::AsyncWriteExt;
use support::{Answer, Client, early, get, post, serve, within};

const STREAMS: u64 = 300;

/// Ends any body or head that is still open, and the connection.
fn ending() -> String {
    let last = "GET /last HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n";
    ["\r\n0\r\n\r\n", &last.repeat(8)].concat()
}

fn request(rng: &mut Rng, number: usize) -> Vec<u8> {
    let path = format!("/{number}");
    let order = format!("/order/{number}");
    let size = rng.usize(0..40);
    let text = match rng.u8(0..12) {
        0..5 => get(&path),
        5 => get(&order),
        6 => post(&order, &"b".repeat(size)),
        7 => post(&order, &get("/smuggled")),
        8 => format!(
            "POST {order} HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n\
             3\r\nabc\r\n0\r\n\r\n"
        ),
        9 => format!("\r\n{}", get(&path)),
        10 => get(&path).replace("\r\n", "\n"),
        _ => format!("GET {path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 0\r\n\r\n"),
    };
    text.into_bytes()
}

fn mangle(rng: &mut Rng, bytes: &mut Vec<u8>) {
    let at = rng.usize(0..bytes.len());
    let replacements = b"\r\n :\0a0,/\t\x80";
    let byte = replacements[rng.usize(0..replacements.len())];
    match rng.u8(0..3) {
        0 => bytes[at] = byte,
        1 => bytes.insert(at, byte),
        _ => {
            bytes.remove(at);
        }
    }
}

fn stream(rng: &mut Rng) -> Vec<u8> {
    let mut bytes = Vec::new();
    for number in 0..rng.usize(1..10) {
        let mut next = request(rng, number);
        if rng.u8(0..12) == 0 {
            mangle(rng, &mut next);
        }
        bytes.extend(next);
    }
    bytes.extend(ending().into_bytes());
    bytes
}

/// Returns the answers to a stream that is sent in parts, and the requests that were
/// started, in the order of the stream.
async fn exchange(
    settings: PipelineSettings,
    bytes: &[u8],
    parts: &[usize],
) -> (Vec<Answer>, Vec<String>) {
    let (addr, _server, stage) = serve(settings).await;
    let mut client = Client::connect(addr).await;
    let mut sender = client.stream.clone();
    let (bytes, parts) = (bytes.to_vec(), parts.to_vec());
    let sending = smol::spawn(async move {
        let mut rest = &bytes[..];
        for part in parts {
            let (next, later) = rest.split_at(part.min(rest.len()));
            // The server may have refused the stream already.
            let _ = sender.write_all(next).await;
            smol::future::yield_now().await;
            rest = later;
        }
        let _ = sender.write_all(rest).await;
    });
    let answers = client.answers().await;
    within("end of the sender", sending).await;
    stage.wait_idle().await;
    let mut started = stage.started();
    started.sort();
    (answers, started)
}

#[test]
fn streams_are_answered_with_look_ahead_as_without() {
    smol::block_on(async {
        for seed in 0..STREAMS {
            let mut rng = Rng::with_seed(seed);
            let bytes = stream(&mut rng);
            let parts: Vec<usize> = match rng.bool() {
                true => Vec::new(),
                false => (0..20).map(|_| rng.usize(1..60)).collect(),
            };
            let expected = exchange(early(0), &bytes, &parts).await;
            let found = exchange(early(8), &bytes, &parts).await;
            let text = String::from_utf8_lossy(&bytes);
            assert_eq!(found, expected, "seed {seed}, stream {text:?}");
            let is_smuggled = found.1.iter().any(|path| path == "/smuggled");
            assert!(!is_smuggled, "seed {seed}, stream {text:?}");
        }
    });
}
