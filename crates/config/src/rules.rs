//! How requests are treated.

use crate::ParseError;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Timeout of a request when no rule names one, in milliseconds.
pub const DEFAULT_TIMEOUT_MS: u64 = 5_000;

/// Retries and hedges, as a share of requests, when no rule names one.
pub const DEFAULT_RETRY_BUDGET: f64 = 0.1;

/// Requests that may wait for one upstream when no rule names a number.
pub const DEFAULT_QUEUE: u32 = 64;

/// The rules file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Routes; the first whose method and prefix match decides.
    #[serde(rename = "route")]
    pub routes: Vec<Route>,
    /// Settings of single services.
    #[serde(rename = "service")]
    pub services: Vec<ServiceRules>,
}

/// How the requests of one route are treated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The service that answers.
    pub service: String,
    /// Path prefix, on whole segments.
    pub prefix: String,
    /// Methods; none: all.
    #[serde(default)]
    pub methods: Vec<String>,
    /// Where the key is found.
    #[serde(default)]
    pub key: KeySource,
    /// Whether a request may be run twice; none: as its method says
    /// (RFC 9110, section 9.2.2).
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Time for the whole request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
}

/// Where the key of a request is found.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// A path segment, counted from 0.
    Segment(usize),
    /// A header.
    Header(String),
    /// A parameter of the query.
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
    /// The service.
    pub name: String,
    /// Retries and hedges, as a share of requests.
    pub retry_budget: f64,
    /// Whether slow idempotent requests are sent a second time.
    pub hedge: bool,
    /// Requests that may wait for one upstream.
    pub queue: u32,
    /// Share of a service's keys that may change owner in a minute.
    pub churn_per_minute: f64,
    /// Load above the mean at which keys are moved, as a share.
    pub tolerated_imbalance: f64,
    /// Whether upstreams of the entry's data centre go first.
    pub prefer_own_data_centre: bool,
}

impl Default for ServiceRules {
    fn default() -> Self {
        Self {
            name: String::new(),
            retry_budget: DEFAULT_RETRY_BUDGET,
            hedge: true,
            queue: DEFAULT_QUEUE,
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
    /// Reads rules.
    pub fn parse(text: &str) -> Result<Self, ParseError> {
        toml::from_str(text).map_err(|cause| ParseError {
            what: "rules",
            cause: Box::new(cause),
        })
    }

    /// The first route that matches.
    pub fn route(&self, method: &str, path: &str) -> Option<&Route> {
        self.routes.iter().find(|route| route.matches(method, path))
    }

    /// Retries and hedges of a service, as a share of its requests.
    pub fn retry_budget(&self, name: &str) -> f64 {
        let named = self.services.iter().find(|service| service.name == name);
        named.map_or(DEFAULT_RETRY_BUDGET, |service| service.retry_budget)
    }

    /// Requests of a service that may wait for one upstream.
    pub fn queue_limit(&self, name: &str) -> u32 {
        let named = self.services.iter().find(|service| service.name == name);
        named.map_or(DEFAULT_QUEUE, |service| service.queue)
    }

    /// Whether upstreams of the entry's data centre go first.
    pub fn prefers_own_data_centre(&self, name: &str) -> bool {
        let named = self.services.iter().find(|service| service.name == name);
        named.is_none_or(|service| service.prefer_own_data_centre)
    }

    /// Whether slow idempotent requests of a service are sent a second time.
    pub fn hedges(&self, name: &str) -> bool {
        let named = self.services.iter().find(|service| service.name == name);
        named.is_none_or(|service| service.hedge)
    }

    /// The settings of a service, or the defaults.
    pub fn service(&self, name: &str) -> ServiceRules {
        let named = self.services.iter().find(|service| service.name == name);
        named.cloned().unwrap_or_else(|| ServiceRules {
            name: name.to_owned(),
            ..Default::default()
        })
    }
}

impl Route {
    /// The route that holds where no rule matches: `/{service}/{key}`.
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
        let method_fits =
            self.methods.is_empty() || self.methods.iter().any(|m| m.eq_ignore_ascii_case(method));
        method_fits && starts_with_segments(path, &self.prefix)
    }

    /// Whether a request with this method may be run twice.
    pub fn is_idempotent(&self, method: &str) -> bool {
        self.idempotent.unwrap_or(matches!(
            method,
            "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS"
        ))
    }

    /// Time for the whole request.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn starts_with_segments(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}

/// A segment of a path, counted from 0; none when it is missing or empty.
pub fn segment(path: &str, index: usize) -> Option<&str> {
    path.split('/')
        .skip(1)
        .nth(index)
        .filter(|segment| !segment.is_empty())
}
