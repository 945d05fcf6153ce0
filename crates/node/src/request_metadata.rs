//! The metadata that an entry sends with a request to a gate.
//!
//! It passes from entry to gate in headers, signed with the cluster's key, so
//! that a caller cannot pose as an entry.

use crate::headers;
use ibiscove_types::{Incarnation, Reason, RequestId, ServiceName, Slot};
use ibiscove_wire::SharedKey;
use std::time::Duration;
use trillium_http::{Headers, Method};

/// What an entry determined about a request, for the gate that is to run it.
#[derive(Clone, Debug)]
pub(crate) struct RequestMetadata {
    /// Id of this attempt.
    pub(crate) request_id: RequestId,
    pub(crate) service: ServiceName,
    /// None for a shared service.
    pub(crate) slot: Option<Slot>,
    /// Hash of the key; 0 for a shared service's request without one.
    pub(crate) key_hash: u64,
    pub(crate) idempotent: bool,
    /// Time until the deadline.
    pub(crate) timeout: Duration,
    /// Time since the caller first sent the request, if known.
    pub(crate) first_sent: Option<Duration>,
}

impl RequestMetadata {
    /// Writes the metadata headers, signed for the next node together with the
    /// request's method and target, see [`signed_target`].
    pub(crate) fn write(
        &self,
        to: &mut Headers,
        key: &SharedKey,
        from: Incarnation,
        signed_target: &str,
    ) {
        let fields = self.fields();
        for (name, value) in &fields {
            to.insert(*name, value.clone());
        }
        let from = from.to_string();
        let signature: String = key
            .sign(&signed_parts(&from, signed_target, &fields))
            .iter()
            .map(|b| format!("{b:02x}"))
            .collect();
        to.insert(headers::PEER, format!("{from}.{signature}"));
    }

    /// Reads the metadata headers of a request that a peer forwarded.
    pub(crate) fn read(
        from: &Headers,
        key: &SharedKey,
        signed_target: &str,
    ) -> Result<Self, Reason> {
        let field = |name| headers::text(from, name).ok_or(Reason::Unauthenticated);
        let parse_millis = |text| parse_number(text).map(Duration::from_millis);
        let metadata = Self {
            request_id: field(headers::REQUEST_ID)?.into(),
            service: field(headers::SERVICE)?.into(),
            slot: headers::text(from, headers::SLOT)
                .map(parse_number)
                .transpose()?,
            key_hash: parse_number(field(headers::KEY_HASH)?)?,
            idempotent: field(headers::IDEMPOTENT)? == "true",
            timeout: parse_millis(field(headers::TIMEOUT_MS)?)?,
            first_sent: headers::text(from, headers::FIRST_SENT_MS)
                .map(parse_millis)
                .transpose()?,
        };
        let (peer, signature) = field(headers::PEER)?
            .split_once('.')
            .ok_or(Reason::Unauthenticated)?;
        let signature = hex_bytes(signature).ok_or(Reason::Unauthenticated)?;
        if key.verify(
            &signed_parts(peer, signed_target, &metadata.fields()),
            &signature,
        ) {
            return Ok(metadata);
        }
        Err(Reason::Unauthenticated)
    }

    /// Returns the metadata headers except the signature.
    fn fields(&self) -> Vec<(&'static str, String)> {
        let mut fields = vec![
            (headers::REQUEST_ID, self.request_id.to_string()),
            (headers::SERVICE, self.service.to_string()),
            (headers::KEY_HASH, self.key_hash.to_string()),
            (headers::IDEMPOTENT, self.idempotent.to_string()),
            (headers::TIMEOUT_MS, self.timeout.as_millis().to_string()),
        ];
        if let Some(slot) = self.slot {
            fields.push((headers::SLOT, slot.to_string()));
        }
        if let Some(age) = self.first_sent {
            fields.push((headers::FIRST_SENT_MS, age.as_millis().to_string()));
        }
        fields
    }
}

/// Returns the method and target of a request in the form that is signed.
pub(crate) fn signed_target(method: Method, path_and_query: &str) -> String {
    format!("{method} {path_and_query}")
}

fn signed_parts<'a>(
    peer: &'a str,
    signed_target: &'a str,
    fields: &'a [(&'static str, String)],
) -> Vec<&'a [u8]> {
    let fields = fields
        .iter()
        .flat_map(|(name, value)| [name.as_bytes(), value.as_bytes()]);
    let head = [peer.as_bytes(), signed_target.as_bytes()];
    head.into_iter().chain(fields).collect()
}

fn parse_number<N: std::str::FromStr>(text: &str) -> Result<N, Reason> {
    text.parse().map_err(|_| Reason::BadHeader)
}

fn hex_bytes(hex: &str) -> Option<Vec<u8>> {
    let digits = hex.as_bytes().chunks(2);
    digits
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok())
        .collect()
}
