//! The recipient of grants, when the node's connections to it show that it still runs.

use ibiscove_http::Pool;
use ibiscove_proxy::gate::CLOSE_DELAY;
use ibiscove_ranges::{GrantCall, GrantReply, Grantee, ReleaseCall, ReleaseReply};
use std::net::SocketAddr;

/// A recipient of grants that counts as ended only if none of the gate's connections to
/// the upstream is open. An address that refuses connections may be that of a process that
/// stops gracefully: it still holds its keys, and its last requests run on.
#[derive(Clone)]
pub(crate) struct LiveGrantee<G> {
    pub(crate) grantee: G,
    /// The gate's connections.
    pub(crate) pool: Pool,
    /// Address of the upstream.
    pub(crate) addr: SocketAddr,
}

impl<G: Grantee> Grantee for LiveGrantee<G> {
    async fn grant(&self, call: GrantCall) -> GrantReply {
        self.grantee.grant(call).await
    }

    async fn release(&self, call: ReleaseCall) -> ReleaseReply {
        let reply = self.grantee.release(call).await;
        if reply != ReleaseReply::Ended || self.pool.wait_until_closed(self.addr, CLOSE_DELAY).await
        {
            return reply;
        }
        ReleaseReply::Unanswered
    }
}
