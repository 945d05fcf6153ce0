//! Responds to other nodes' control messages.

use crate::listen::BoundListener;
use crate::process::Process;
use ibiscove_store::{Objects, Table};
use ibiscove_types::{Clock, Incarnation};
use ibiscove_wire::PeerService;
use ibiscove_wire::messages::{Done, Failed, Request, Response};
use smol::net::TcpListener;
use std::sync::Arc;

struct PeerHandler<P, C>(Arc<Process<P, C>>);

impl<P, C> Clone for PeerHandler<P, C> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

impl<P: Table + Objects, C: Clock> PeerService for PeerHandler<P, C> {
    async fn handle(&self, from: Incarnation, req: Request) -> Response {
        let process = &self.0;
        let now = process.clock.now();
        let req = match req {
            Request::OutcomeQuery(query) => {
                let own = process.ownership.incarnation();
                return Response::OutcomeAnswer(process.records.respond(&query, own, now));
            }
            Request::LoadReport(report) => {
                process.balance.accept_report(report, now);
                return Response::Done(Done {});
            }
            Request::Handover(handover) => {
                process.records.import(handover, now);
                return Response::Done(Done {});
            }
            req => req,
        };
        if let Some(response) = process.ownership.respond(from, &req) {
            return response;
        }
        match ibiscove_spread::handle_request(&process.replica, req) {
            Some((response, new_rows)) => {
                if !new_rows.is_empty() {
                    process.ownership.notify_rows_changed();
                }
                crate::spreading::propagate(process, Some(from), new_rows);
                response
            }
            None => Response::Failed(Failed {
                message: "unknown request".to_owned(),
            }),
        }
    }
}

/// Serves the peer address until the task is dropped.
pub(crate) async fn serve<P: Table + Objects, C: Clock>(
    process: Arc<Process<P, C>>,
    bound: BoundListener,
) {
    let listener = TcpListener::try_from(bound.listener)
        .expect("a listening socket can be registered with the reactor");
    let settings = process.peer_settings.clone();
    ibiscove_wire::serve(listener, settings, PeerHandler(process)).await;
}
