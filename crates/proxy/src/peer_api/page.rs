//! Responses between nodes that are limited in size, so that little is lost when one
//! breaks off.

use crate::headers::{self, MORE_PAGES};
use crate::refusal::Refusal;
use hyper::Response;
use ibiscove_http::Body;
use ibiscove_types::Reason;
use serde::Serialize;

/// Largest page in bytes, except for one that holds a single larger item. It takes 52 ms
/// on a link of 10 Mbit/s, and costs one round trip.
const PAGE_BYTES: usize = 64 << 10;

/// A JSON array of items.
pub(super) struct Page {
    pub body: Vec<u8>,
    /// Whether there are items that it has no room for.
    has_more: bool,
}

impl Page {
    /// Returns a page of the first items, named by `what` in the log.
    pub fn of_first<T: Serialize>(
        what: &str,
        items: impl Iterator<Item = T>,
    ) -> Result<Self, Refusal> {
        let mut body = vec![b'['];
        let mut has_more = false;
        for item in items {
            let item = serialise(what, &item)?;
            let is_first = body.len() == 1;
            // With its comma and the closing bracket.
            if !is_first && body.len() + item.len() + 2 > PAGE_BYTES {
                has_more = true;
                break;
            }
            if !is_first {
                body.push(b',');
            }
            body.extend_from_slice(&item);
        }
        body.push(b']');
        Ok(Self { body, has_more })
    }

    /// Returns a page of all items, whatever their size.
    pub fn of_all<T: Serialize>(what: &str, items: &[T]) -> Result<Self, Refusal> {
        Ok(Self {
            body: serialise(what, items)?,
            has_more: false,
        })
    }

    pub fn response<G>(self) -> Response<Body<G>> {
        let mut response = Response::new(Body::whole(self.body));
        if self.has_more {
            let headers = response.headers_mut();
            headers.insert(MORE_PAGES, headers::value("1"));
        }
        response
    }
}

fn serialise(what: &str, content: &(impl Serialize + ?Sized)) -> Result<Vec<u8>, Refusal> {
    serde_json::to_vec(content).map_err(|err| {
        log::error!(what = what; "cannot be serialised and is not served: {err}");
        Refusal::not_run(Reason::NoOwner)
    })
}
