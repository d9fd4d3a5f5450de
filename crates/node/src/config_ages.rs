//! Counts the ages of the configuration.

use {
    prometheus_client::{metrics::histogram::Histogram, registry::Registry},
    std::time::Duration,
};

/// Upper bounds of the buckets, in seconds; denser around the bounds within which a change must take
/// effect.
const BUCKETS_S: [f64; 9] = [0.1, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 4.0, 8.0];

/// The ages of the configuration in force, each taken as the next confirmation arrived and thus the
/// highest since the one before.
#[derive(Debug)]
pub struct ConfigAges {
    ages: Histogram,
}

impl Default for ConfigAges {
    fn default() -> Self {
        Self { ages: Histogram::new(BUCKETS_S) }
    }
}

impl ConfigAges {
    pub(crate) fn note(&self, age: Duration) {
        self.ages.observe(age.as_secs_f64());
    }

    pub(crate) fn register(&self, registry: &mut Registry) {
        let help = "Highest age of the configuration between two confirmations, in seconds";
        registry.register("config_highest_age_seconds", help, self.ages.clone());
    }
}
