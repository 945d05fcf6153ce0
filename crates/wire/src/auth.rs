//! Mutual authentication: a handshake in which both ends of a connection prove
//! that they hold the shared key.
//!
//! Each end sends a nonce, then a MAC over both nonces, both incarnations and a
//! label of its role, so that no proof can be replayed or reflected.

use crate::messages::{Hello, Proof};
use crate::{codec, frame};
use hmac::{Hmac, Mac};
use ibiscove_types::Incarnation;
use sha2::Sha256;
use smol::io::{self, AsyncRead, AsyncWrite};
use std::fmt;
use std::sync::Arc;

/// Random bytes in a nonce.
const NONCE_LEN: usize = 16;
/// Largest accepted handshake message, in bytes; its sender is not yet
/// authenticated.
const MAX_HANDSHAKE_LEN: usize = 256;

/// The secret shared by all nodes of a cluster. It is never printed.
#[derive(Clone, Default)]
pub struct SharedKey(Arc<[u8]>);

impl SharedKey {
    /// Makes a key of the bytes of the secret.
    pub fn new(secret: impl AsRef<[u8]>) -> Self {
        Self(secret.as_ref().into())
    }

    /// Returns whether the secret is empty, so that any peer can authenticate.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the MAC of the parts. Each part is preceded by its length, so
    /// that different lists of parts are different inputs.
    pub fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.mac(parts).finalize().into_bytes().to_vec()
    }

    /// Returns whether `signature` is the MAC of the parts, in constant time.
    pub fn verify(&self, parts: &[&[u8]], signature: &[u8]) -> bool {
        self.mac(parts).verify_slice(signature).is_ok()
    }

    fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::new_from_slice(&self.0).expect("HMAC takes keys of any length");
        for part in parts {
            mac.update(&(part.len() as u64).to_be_bytes());
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("SharedKey(hidden)")
    }
}

#[derive(Clone, Copy)]
enum Role {
    Client,
    Server,
}

impl Role {
    fn label(self) -> &'static [u8] {
        match self {
            Role::Client => b"ibiscove client",
            Role::Server => b"ibiscove server",
        }
    }
}

struct Transcript {
    client: Hello,
    server: Hello,
}

impl Transcript {
    fn sign(&self, key: &SharedKey, role: Role) -> Proof {
        Proof {
            mac: key.mac(&self.parts(role)).finalize().into_bytes().to_vec(),
        }
    }

    fn verify(&self, key: &SharedKey, role: Role, proof: &Proof) -> io::Result<()> {
        if key.verify(&self.parts(role), &proof.mac) {
            return Ok(());
        }
        Err(io::Error::new(
            io::ErrorKind::PermissionDenied,
            "peer does not hold the shared key",
        ))
    }

    fn parts(&self, role: Role) -> [&[u8]; 3] {
        // Each nonce ends in its sender's incarnation, see `hello`.
        [role.label(), &self.client.nonce, &self.server.nonce]
    }
}

fn hello(incarnation: Incarnation) -> Hello {
    let mut nonce = vec![0; NONCE_LEN];
    fastrand::Rng::new().fill(&mut nonce);
    nonce.extend_from_slice(&incarnation.to_be_bytes());
    Hello {
        incarnation: incarnation as i64,
        nonce,
    }
}

fn check_hello(hello: &Hello) -> io::Result<()> {
    let incarnation = (hello.incarnation as u64).to_be_bytes();
    if hello.nonce.len() == NONCE_LEN + incarnation.len() && hello.nonce.ends_with(&incarnation) {
        return Ok(());
    }
    Err(io::Error::new(
        io::ErrorKind::InvalidData,
        "the hello's nonce does not end in its incarnation",
    ))
}

async fn send(
    stream: &mut (impl AsyncWrite + Unpin),
    message: &impl thrift::protocol::TSerializable,
) -> io::Result<()> {
    frame::write(stream, &codec::encode(message).map_err(io::Error::other)?).await
}

async fn receive<M: thrift::protocol::TSerializable>(
    stream: &mut (impl AsyncRead + Unpin),
) -> io::Result<M> {
    let bytes = frame::read(stream, MAX_HANDSHAKE_LEN).await?;
    codec::decode(&bytes).map_err(io::Error::other)
}

/// Performs the client's side of the handshake; returns the server's
/// incarnation.
pub(crate) async fn handshake_as_client(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &SharedKey,
    incarnation: Incarnation,
) -> io::Result<Incarnation> {
    let client = hello(incarnation);
    send(stream, &client).await?;
    let server: Hello = receive(stream).await?;
    check_hello(&server)?;
    let transcript = Transcript { client, server };
    send(stream, &transcript.sign(key, Role::Client)).await?;
    let proof: Proof = receive(stream).await?;
    transcript.verify(key, Role::Server, &proof)?;
    Ok(transcript.server.incarnation as Incarnation)
}

/// Performs the server's side of the handshake; returns the client's
/// incarnation.
pub(crate) async fn handshake_as_server(
    stream: &mut (impl AsyncRead + AsyncWrite + Unpin),
    key: &SharedKey,
    incarnation: Incarnation,
) -> io::Result<Incarnation> {
    let client: Hello = receive(stream).await?;
    check_hello(&client)?;
    let server = hello(incarnation);
    send(stream, &server).await?;
    let transcript = Transcript { client, server };
    let proof: Proof = receive(stream).await?;
    transcript.verify(key, Role::Client, &proof)?;
    send(stream, &transcript.sign(key, Role::Server)).await?;
    Ok(transcript.client.incarnation as Incarnation)
}
