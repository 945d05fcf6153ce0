//! A server whose requests begin and end when a test says so, and a client that
//! pipelines.

#![allow(dead_code, reason = "each test binary uses its part")]

use event_listener::Event;
use http_body_util::BodyExt;
use hyper::{Method, Request, Response};
use ibiscove_http::{Body, PipelineSettings, RequestBody, Server, ServerSettings};
use smol::future::FutureExt;
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::{TcpListener, TcpStream};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Far more than any step takes, so that only one that never ends fails.
pub const PATIENCE: Duration = Duration::from_secs(60);

#[derive(Default)]
struct Log {
    /// `start PATH` and `end PATH`, in their order.
    events: Vec<String>,
    released: HashSet<String>,
    running: usize,
    max_running: usize,
}

/// Requests whose path begins or ends with `/hold` end once they are released.
#[derive(Clone, Default)]
pub struct Stage {
    log: Arc<Mutex<Log>>,
    changed: Arc<Event>,
}

struct Running(Stage);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.update(|log| log.running -= 1);
    }
}

impl Stage {
    fn update<R>(&self, change: impl FnOnce(&mut Log) -> R) -> R {
        let result = change(&mut self.log.lock().expect("no holder panics"));
        self.changed.notify(usize::MAX);
        result
    }

    async fn wait_for(&self, condition: impl Fn(&Log) -> bool) {
        loop {
            let changed = self.changed.listen();
            if condition(&self.log.lock().expect("no holder panics")) {
                return;
            }
            changed.await;
        }
    }

    pub fn release(&self, path: &str) {
        self.update(|log| log.released.insert(path.into()));
    }

    pub fn events(&self) -> Vec<String> {
        self.log.lock().expect("no holder panics").events.clone()
    }

    /// Returns the paths of the requests that were started, in that order.
    pub fn started(&self) -> Vec<String> {
        let events = self.events().into_iter();
        let started = events.filter_map(|event| Some(event.strip_prefix("start ")?.to_owned()));
        started.collect()
    }

    pub fn max_running(&self) -> usize {
        self.log.lock().expect("no holder panics").max_running
    }

    pub async fn wait_started(&self, paths: &[&str]) {
        let wait = self.wait_for(|log| {
            let has = |path: &&str| log.events.contains(&format!("start {path}"));
            paths.iter().all(has)
        });
        within(&format!("start of {paths:?}"), wait).await;
    }

    pub async fn wait_idle(&self) {
        within("end of all work", self.wait_for(|log| log.running == 0)).await;
    }

    async fn handle(self, req: Request<RequestBody>, running: Running) -> Response<Body<()>> {
        let path = req.uri().path().to_owned();
        let body = req.into_body().collect().await;
        let length = body.map_or(0, |body| body.to_bytes().len());
        if path.starts_with("/hold") || path.ends_with("/hold") {
            self.wait_for(|log| log.released.contains(&path)).await;
        }
        self.update(|log| log.events.push(format!("end {path}")));
        drop(running);
        let mut response = Response::new(Body::whole(format!("{path} {length}")));
        if path.ends_with("/closing") {
            let close = hyper::header::HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        response
    }

    fn begin(&self, path: &str) -> Running {
        self.update(|log| {
            log.events.push(format!("start {path}"));
            log.running += 1;
            log.max_running = log.max_running.max(log.running);
        });
        Running(self.clone())
    }
}

/// Starts a server that may start all GET requests early but those to `/order`.
pub async fn serve(pipeline: PipelineSettings) -> (SocketAddr, Server, Stage) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    let (server, stage) = (Server::default(), Stage::default());
    let settings = ServerSettings {
        pipeline,
        ..ServerSettings::default()
    };
    let handler = stage.clone();
    let running = server.clone().run_pipelined(
        listener,
        settings,
        |head| head.method == Method::GET && !head.uri.path().starts_with("/order"),
        move |req| {
            let running = handler.begin(req.uri().path());
            handler.clone().handle(req, running)
        },
    );
    smol::spawn(running).detach();
    (addr, server, stage)
}

pub fn early(max_requests: usize) -> PipelineSettings {
    PipelineSettings {
        max_requests,
        ..PipelineSettings::default()
    }
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n")
}

pub fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// One response: its status, whether it closes the connection, and its body.
pub type Answer = (u16, bool, String);

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    read: Vec<u8>,
}

impl Client {
    pub async fn connect(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).await.expect("the server listens");
        let read = Vec::new();
        Self { stream, read }
    }

    pub async fn send(&mut self, requests: impl AsRef<[u8]>) {
        let sent = self.stream.write_all(requests.as_ref()).await;
        sent.expect("the server accepts bytes");
    }

    /// Returns the next answer, or none when the connection is closed.
    pub async fn answer(&mut self) -> Option<Answer> {
        within("answer", async {
            loop {
                if let Some(answer) = self.take_answer() {
                    return Some(answer);
                }
                let mut buf = [0; 4096];
                match self.stream.read(&mut buf).await {
                    Ok(len @ 1..) => self.read.extend_from_slice(&buf[..len]),
                    _ => return None,
                }
            }
        })
        .await
    }

    fn take_answer(&mut self) -> Option<Answer> {
        let mut fields = [httparse::EMPTY_HEADER; 16];
        let mut head = httparse::Response::new(&mut fields);
        let parsed = head.parse(&self.read).expect("the bytes are a response");
        let httparse::Status::Complete(head_len) = parsed else {
            return None;
        };
        let field = |name: &str| {
            let mut all = head.headers.iter();
            let field = all.find(|field| field.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(field.value).ok()
        };
        let length = field("content-length").map_or(0, |text| text.parse().expect("a length"));
        let closes = field("connection") == Some("close");
        let status = head.code.expect("a complete head has a status");
        let body = self.read.get(head_len..head_len + length)?.to_vec();
        self.read.drain(..head_len + length);
        Some((status, closes, String::from_utf8_lossy(&body).into_owned()))
    }

    /// Returns all further answers until the connection is closed.
    pub async fn answers(&mut self) -> Vec<Answer> {
        let mut answers = Vec::new();
        while let Some(answer) = self.answer().await {
            answers.push(answer);
        }
        answers
    }
}

pub async fn within<T>(what: &str, future: impl Future<Output = T>) -> T {
    let timeout = async {
        smol::Timer::after(PATIENCE).await;
        panic!("no {what} within {PATIENCE:?}");
    };
    future.or(timeout).await
}
