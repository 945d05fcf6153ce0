//! Answers to peers' calls, one task for each connection.

use crate::client::deadline;
use crate::messages::{Call, Reply};
use crate::{PeerService, PeerSettings, auth, codec, frame, traffic};
use smol::io;
use smol::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts peers' connections until the task is dropped.
///
/// Tasks of connections end with the returned future: a node that stops
/// answers no call any more.
pub async fn serve(listener: TcpListener, settings: PeerSettings, handler: impl PeerService) {
    let settings = Arc::new(settings);
    let mut tasks: Vec<smol::Task<()>> = Vec::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tasks.retain(|task| !task.is_finished());
                if tasks.len() >= settings.max_connections {
                    log::warn!(open = tasks.len(); "refused a peer's connection: too many");
                    continue;
                }
                let task = connection(stream, Arc::clone(&settings), handler.clone());
                tasks.push(smol::spawn(task));
            }
            Err(err) => {
                log::warn!("accepting a peer failed: {err}");
                smol::Timer::after(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, settings: Arc<PeerSettings>, handler: impl PeerService) {
    if let Err(err) = answer_calls(stream, &settings, handler).await {
        log::debug!("connection of a peer ended: {err}");
    }
}

async fn answer_calls(
    mut stream: TcpStream,
    settings: &PeerSettings,
    handler: impl PeerService,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let accepting = auth::accept(&mut stream, &settings.key, settings.incarnation);
    let peer = deadline(settings.connect_timeout, accepting).await?;
    loop {
        let reading = frame::read(&mut stream, settings.max_frame_bytes);
        let bytes = deadline(settings.server_idle_timeout, reading).await?;
        let call: Call = codec::decode(&bytes).map_err(io::Error::other)?;
        traffic::received(traffic::request_kind(&call.request), bytes.len());
        let response = handler.handle(peer, call.request).await;
        let reply = Reply {
            id: call.id,
            response,
        };
        let kind = traffic::response_kind(&reply.response);
        let bytes = codec::encode(&reply).map_err(io::Error::other)?;
        traffic::sent(kind, bytes.len());
        deadline(settings.call_timeout, frame::write(&mut stream, &bytes)).await?;
    }
}
