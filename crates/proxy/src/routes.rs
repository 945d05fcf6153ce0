//! Routing rules: which service serves a request, and with which limits.

use bytes::Bytes;
use event_listener::{Event, EventListener};
use hyper::http::uri::PathAndQuery;
use ibiscove_chunks::ChunkedText;
use ibiscove_routing::admission::Priority;
use ibiscove_types::ServiceName;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

/// A service with its weight in a route's traffic split.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the shares.
    pub weight: u32,
}

/// What may be done with the requests of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// They may run more than once.
    Idempotent,
    /// They must not run twice.
    NonIdempotent,
    /// They must not run twice, and their bodies are large.
    Upload,
}

impl RequestKind {
    /// Returns whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        self == RequestKind::Idempotent
    }
}

/// The rules for requests whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The `Host` that it matches, in lower case.
    pub host: String,
    /// Begins and ends with a slash.
    pub prefix: String,
    /// What may be done with its requests.
    pub kind: RequestKind,
    /// Upper limit of the time that a caller waits for a response.
    pub timeout: Duration,
    /// Latency that responses should not exceed.
    pub target_latency: Duration,
    /// Upper limit of the attempts at one request that may have run.
    pub max_attempts: u32,
    /// Priority of its requests; 0 is the most urgent.
    pub priority: Priority,
    /// The services that serve its requests; one or more.
    pub shares: Vec<Share>,
}

impl Route {
    /// Picks the service for a request by weight and a random number.
    pub fn pick_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        if total == 0 {
            return self.shares.first().map(|share| &share.service);
        }
        let mut point = random % total;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}

/// What upstreams of a service take while their caches are cold.
#[derive(Clone, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests a second that a cold upstream takes; above 0.
    pub max_rate: f64,
    /// Where upstreams answer health checks, which tell for how long they stay cold.
    pub health_path: Option<PathAndQuery>,
    /// Longest time for which a health answer may say that an upstream stays cold.
    pub max_duration: Option<Duration>,
}

/// The configuration of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Whether each key has one owner.
    pub is_divided: bool,
    /// Connections that its upstreams accept in total.
    pub max_connections: Option<u32>,
    /// What its cold upstreams take; none where that is not limited.
    pub cold_start: Option<ColdStart>,
}

/// Limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum body size in bytes.
    pub max_body_bytes: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 64 << 20,
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// The version; newer configurations have higher versions.
    pub version: u64,
    /// Services by name.
    pub services: HashMap<ServiceName, Service>,
    /// Limits on callers' requests.
    pub limits: CallerLimits,
    /// Routes by host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouteError {
    /// A route refers to a service that is not configured.
    #[error("route {route} refers to service {service}, which is not configured")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: ServiceName,
    },
    /// A prefix does not begin and end with a slash.
    #[error("the prefix {prefix:?} of route {route} must begin and end with a slash")]
    Prefix {
        /// The route.
        route: Arc<str>,
        /// The prefix.
        prefix: String,
    },
    /// A route has no service.
    #[error("route {route} has no service with a weight above 0")]
    NoService {
        /// The route.
        route: Arc<str>,
    },
    /// A duration or count is zero.
    #[error("{field} of route {route} must be above 0")]
    Zero {
        /// The route.
        route: Arc<str>,
        /// The field.
        field: &'static str,
    },
}

impl RouteTable {
    /// Creates a table after checking the routes against the services.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: HashMap<ServiceName, Service>,
        limits: CallerLimits,
    ) -> Result<Self, RouteError> {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            validate(&route, &services)?;
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Ok(Self {
            version,
            services,
            limits,
            by_host,
        })
    }

    /// Finds the route of a request: the one of its host with the longest
    /// matching prefix.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns whether there is a route of this name.
    pub fn has_route(&self, name: &str) -> bool {
        self.by_host
            .values()
            .flatten()
            .any(|route| &*route.name == name)
    }

    /// Returns whether each key of a service has one owner.
    pub fn is_divided(&self, service: &str) -> bool {
        self.services
            .get(service)
            .is_some_and(|service| service.is_divided)
    }
}

fn validate(route: &Route, services: &HashMap<ServiceName, Service>) -> Result<(), RouteError> {
    let name = || Arc::clone(&route.name);
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        return Err(RouteError::Prefix {
            route: name(),
            prefix: route.prefix.clone(),
        });
    }
    if !route.shares.iter().any(|share| share.weight > 0) {
        return Err(RouteError::NoService { route: name() });
    }
    let unknown = route
        .shares
        .iter()
        .find(|share| !services.contains_key(&share.service));
    if let Some(share) = unknown {
        return Err(RouteError::UnknownService {
            route: name(),
            service: Arc::clone(&share.service),
        });
    }
    let zero = |field| RouteError::Zero {
        route: name(),
        field,
    };
    if route.timeout.is_zero() {
        return Err(zero("timeout"));
    }
    if route.max_attempts == 0 {
        return Err(zero("max_attempts"));
    }
    Ok(())
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The configuration in force at this node, with its source text, which other
/// nodes may fetch. Clones share it.
#[derive(Clone, Default)]
pub struct ConfigCell {
    inner: Arc<Inner>,
}

#[derive(Default)]
struct Inner {
    current: Mutex<Option<Current>>,
    changed: Event,
}

#[derive(Clone)]
struct Current {
    table: Arc<RouteTable>,
    text: Bytes,
    /// Filled once another node asks for it.
    chunked: Arc<OnceLock<Arc<ChunkedText>>>,
}

impl ConfigCell {
    /// Returns the configuration in force; none before the first.
    pub fn get(&self) -> Option<Arc<RouteTable>> {
        self.lock()
            .as_ref()
            .map(|current| Arc::clone(&current.table))
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> u64 {
        self.lock()
            .as_ref()
            .map_or(0, |current| current.table.version)
    }

    /// Returns the source text of the configuration in force.
    pub fn text(&self) -> Option<Bytes> {
        self.lock().as_ref().map(|current| current.text.clone())
    }

    /// Returns the text of the configuration in force, divided into chunks.
    pub(crate) fn chunked(&self) -> Option<Arc<ChunkedText>> {
        let current = self.lock().clone()?;
        let chunked = current.chunked.get_or_init(|| {
            let chunked = ChunkedText::new(current.table.version, &current.text);
            Arc::new(chunked)
        });
        Some(Arc::clone(chunked))
    }

    /// Puts a configuration in force if it is newer than the current one. Returns
    /// whether it is.
    pub fn replace_if_newer(&self, table: RouteTable, text: Bytes) -> bool {
        let mut current = self.lock();
        if current
            .as_ref()
            .is_some_and(|current| current.table.version >= table.version)
        {
            return false;
        }
        log::info!(version = table.version, services = table.services.len(), bytes = text.len();
            "configuration in force");
        *current = Some(Current {
            table: Arc::new(table),
            text,
            chunked: Arc::default(),
        });
        drop(current);
        self.inner.changed.notify(usize::MAX);
        true
    }

    /// Returns a listener that is notified when a newer configuration is in force.
    pub fn changed(&self) -> EventListener {
        self.inner.changed.listen()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Current>> {
        self.inner
            .current
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
