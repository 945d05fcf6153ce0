//! The rules file: routes, and per-service settings of request handling.

use crate::ParseError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Default timeout of a request, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// Default limit on retries and hedges, as a share of requests.
pub const DEFAULT_RETRY_BUDGET: f64 = 0.1;

/// Default limit on the requests queued for one upstream.
pub const DEFAULT_QUEUE_LIMIT: u32 = 64;

/// The rules file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Routes; the first one with matching method and prefix applies.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// Settings of individual services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceRules>,
}

/// A route: which requests it matches and how they are handled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The service that handles the requests.
    pub service: String,
    /// Path prefix, compared by whole segments.
    pub prefix: String,
    /// Matching methods; empty for all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Where in the request the key is.
    #[serde(default)]
    pub key: KeySource,
    /// Whether requests are idempotent; none for the method's default (RFC 9110,
    /// section 9.2.2).
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Timeout of the whole request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// The part of a request that holds its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// The path segment with this index, counted from 0.
    Segment(usize),
    /// The header with this name.
    Header(String),
    /// The query parameter with this name.
    Query(String),
}

impl Default for KeySource {
    fn default() -> Self {
        Self::Segment(1)
    }
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceRules {
    /// The service's name.
    pub name: String,
    /// Limit on retries and hedges, as a share of requests.
    pub retry_budget: f64,
    /// Whether slow idempotent requests are hedged, that is, sent a second time.
    pub hedge: bool,
    /// Limit on the requests queued for one upstream.
    pub queue: u32,
    /// Limit on the share of keys that change owner per minute.
    pub churn_per_minute: f64,
    /// Load above the mean from which keys are moved, as a share of the mean.
    pub tolerated_imbalance: f64,
    /// Whether upstreams in the data centre of the entry, the node that received
    /// the request from the caller, are preferred.
    pub prefer_own_data_centre: bool,
}

impl Default for ServiceRules {
    fn default() -> Self {
        Self {
            name: String::new(),
            retry_budget: DEFAULT_RETRY_BUDGET,
            hedge: true,
            queue: DEFAULT_QUEUE_LIMIT,
            churn_per_minute: 0.05,
            tolerated_imbalance: 0.2,
            prefer_own_data_centre: true,
        }
    }
}

fn default_timeout_ms() -> u64 {
    DEFAULT_TIMEOUT_MS
}

impl Rules {
    /// Parses rules.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        toml::from_str(text).map_err(|cause| ParseError {
            what: "rules",
            cause: Box::new(cause),
        })
    }

    /// Returns the first route that matches a request.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(method, path))
    }

    /// Returns a service's limit on retries and hedges, as a share of its
    /// requests.
    pub fn retry_budget(&self, name: &str) -> f64 {
        let configured = self.services.iter().find(|service| service.name == name);
        configured.map_or(DEFAULT_RETRY_BUDGET, |service| service.retry_budget)
    }

    /// Returns a service's limit on the requests queued for one upstream.
    pub fn queue_limit(&self, name: &str) -> u32 {
        let configured = self.services.iter().find(|service| service.name == name);
        configured.map_or(DEFAULT_QUEUE_LIMIT, |service| service.queue)
    }

    /// Returns whether a service prefers upstreams in the entry's data centre.
    pub fn prefers_own_data_centre(&self, name: &str) -> bool {
        let configured = self.services.iter().find(|service| service.name == name);
        configured.is_none_or(|service| service.prefer_own_data_centre)
    }

    /// Returns whether a service's slow idempotent requests are hedged.
    pub fn hedges(&self, name: &str) -> bool {
        let configured = self.services.iter().find(|service| service.name == name);
        configured.is_none_or(|service| service.hedge)
    }

    /// Returns the settings of a service, or the defaults.
    pub fn service(&self, name: &str) -> ServiceRules {
        let configured = self.services.iter().find(|service| service.name == name);
        configured.cloned().unwrap_or_else(|| ServiceRules {
            name: name.to_owned(),
            ..Default::default()
        })
    }
}

impl Route {
    /// Returns the route of a request that no rule matches: `/{service}/{key}`.
    pub fn default_for_path(path: &str) -> Option<Self> {
        let service = segment(path, 0)?;
        Some(Self {
            service: service.to_owned(),
            prefix: format!("/{service}"),
            methods: Vec::new(),
            key: KeySource::default(),
            idempotent: None,
            timeout_ms: DEFAULT_TIMEOUT_MS,
        })
    }

    fn matches(&self, method: &str, path: &str) -> bool {
        let method_matches =
            self.methods.is_empty() || self.methods.iter().any(|m| m.eq_ignore_ascii_case(method));
        method_matches && has_path_prefix(path, &self.prefix)
    }

    /// Returns whether requests with this method are idempotent.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.unwrap_or(matches!(
            method,
            "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS"
        ))
    }

    /// Returns the timeout of the whole request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// Returns a segment of a path, counted from 0; none if it is missing or empty.
pub fn segment(path: &str, index: usize) -> Option<&str> {
    path.split('/')
        .skip(1)
        .nth(index)
        .filter(|segment| !segment.is_empty())
}
