//! RPC server: executes peers' calls, one task for each connection.

use crate::client::with_timeout;
use crate::messages::{Call, Reply};
use crate::{PeerService, PeerSettings, auth, codec, frame, traffic};
use ibiscove_io::{WriteTimeout, Yielding};
use smol::io;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Delay after a failed accept, so that exhausted descriptors cause no busy
/// loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts peers' connections until the returned future is dropped.
///
/// That also cancels the connections' tasks: a stopped node executes no calls.
pub async fn serve(listener: TcpListener, settings: PeerSettings, service: impl PeerService) {
    let settings = Arc::new(settings);
    let mut tasks: Vec<smol::Task<()>> = Vec::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tasks.retain(|task| !task.is_finished());
                if tasks.len() >= settings.max_connections {
                    log::warn!(open = tasks.len();
                        "peer server: connection limit reached, rejects a connection");
                    continue;
                }
                let task = serve_connection(stream, Arc::clone(&settings), service.clone());
                tasks.push(smol::spawn(task));
                // Peers may connect faster than they are accepted.
                smol::future::yield_now().await;
            }
            Err(err) => {
                log::warn!("peer server: accept failed, retries: {err}");
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    settings: Arc<PeerSettings>,
    service: impl PeerService,
) {
    if let Err(err) = execute_calls(stream, &settings, service).await {
        log::debug!("peer server: connection closed: {err}");
    }
}

async fn execute_calls(
    stream: TcpStream,
    settings: &PeerSettings,
    service: impl PeerService,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    // A peer that takes nothing of a reply is gone; a long reply may take its time.
    let stream = WriteTimeout::new(stream, settings.call_timeout);
    let mut stream = Yielding::new(stream);
    let handshake = auth::handshake_as_server(&mut stream, &settings.key, settings.incarnation);
    let peer = with_timeout(settings.connect_timeout, handshake).await?;
    loop {
        let reading = frame::read(&mut stream, settings.max_frame_bytes);
        let bytes = with_timeout(settings.server_idle_timeout, reading).await?;
        let call: Call = codec::decode(&bytes).map_err(io::Error::other)?;
        traffic::count_received(traffic::request_kind(&call.request), bytes.len());
        let response = service.handle(peer, call.request).await;
        let reply = Reply {
            id: call.id,
            response,
        };
        let kind = traffic::response_kind(&reply.response);
        let bytes = codec::encode(&reply).map_err(io::Error::other)?;
        traffic::count_sent(kind, bytes.len());
        let longest = settings.message_limits().longest(bytes.len());
        with_timeout(longest, frame::write(&mut stream, &bytes)).await?;
    }
}
