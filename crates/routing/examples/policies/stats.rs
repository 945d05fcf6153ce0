//! Results of a simulation run.

/// Results of a simulation run.
pub struct Summary {
    /// Busy time of each upstream's servers, in seconds.
    pub busy_s: Vec<f64>,
    /// Response times, in seconds.
    pub response_times_s: Vec<f64>,
    /// Number of requests.
    pub requests: usize,
    /// Number of responses within the deadline.
    pub within_deadline: usize,
    /// Number of requests that the upstreams could have served during the run.
    pub capacity_requests: f64,
}

impl Summary {
    /// Column headers of [`Summary::row`].
    pub const HEADER: &str = "policy            max/mean   CV     p50 ms   p99 ms  p99.9 ms  goodput/offered  goodput/capacity";

    /// Formats the results as a table row.
    pub fn row(&self, name: &str) -> String {
        let mut response_times_s = self.response_times_s.clone();
        response_times_s.sort_by(f64::total_cmp);
        let ms = |quantile: f64| quantile_of(&response_times_s, quantile) * 1e3;
        let within_deadline = self.within_deadline as f64;
        format!(
            "{name:16} {:9.2} {:6.2} {:9.2} {:8.2} {:9.2} {:16.3} {:17.3}",
            max_over_mean(&self.busy_s),
            coefficient_of_variation(&self.busy_s),
            ms(0.5),
            ms(0.99),
            ms(0.999),
            within_deadline / self.requests as f64,
            within_deadline / self.capacity_requests,
        )
    }
}

/// Returns a quantile of sorted values.
pub fn quantile_of(sorted: &[f64], quantile: f64) -> f64 {
    let index = (sorted.len() as f64 * quantile) as usize;
    sorted
        .get(index)
        .or(sorted.last())
        .copied()
        .unwrap_or(f64::NAN)
}

/// Returns the highest value over the mean.
pub fn max_over_mean(values: &[f64]) -> f64 {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    values.iter().copied().fold(0.0, f64::max) / mean
}

/// Returns the coefficient of variation.
pub fn coefficient_of_variation(values: &[f64]) -> f64 {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count;
    let squared_deviations: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
    (squared_deviations / count).sqrt() / mean
}
