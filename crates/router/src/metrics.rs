//! Counters, gauges and histograms of one instance.

use error::Kind;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// All metrics; clones share their values.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub requests: Family<EndLabel, Counter>,
    /// Refusals by kind.
    pub refusals: Family<KindLabel, Counter>,
    /// Attempts by what they were.
    pub attempts: Family<AttemptLabel, Counter>,
    /// Claims by what was found.
    pub claims: Family<ClaimLabel, Counter>,
    /// Bills by what became of them.
    pub bills: Family<BillLabel, Counter>,
    /// Halts that this instance wrote or learnt of.
    pub halts: Counter,
    /// Calls to the platform that failed.
    pub platform_errors: Counter,
    /// Exchanges with peers that failed.
    pub peer_errors: Counter,
    /// Engine orders by what became of them.
    pub orders: Family<OrderLabel, Counter>,
    /// Requests that have no whole answer yet.
    pub open: Gauge,
    /// Bills that wait for the table.
    pub bills_waiting: Gauge,
    /// The number of the configuration.
    pub config_number: Gauge,
    /// Time from arrival to the first byte of the answer.
    pub first_byte: Histogram,
}

macro_rules! labels {
    ($(#[$doc:meta])* $set:ident, $value:ident, $($(#[$each:meta])* $name:ident = $text:literal),+) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $value { $($(#[$each])* $name),+ }

        impl EncodeLabelValue for $value {
            fn encode(&self, encoder: &mut LabelValueEncoder) -> Result<(), std::fmt::Error> {
                let text = match self { $($value::$name => $text),+ };
                EncodeLabelValue::encode(&text, encoder)
            }
        }

        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
        pub struct $set {
            /// The only label.
            pub state: $value,
        }

        impl From<$value> for $set {
            fn from(state: $value) -> Self { $set { state } }
        }
    };
}

labels!(
    /// How a request ended.
    EndLabel, End,
    /// With a whole answer.
    Answered = "answered",
    /// With a refusal.
    Refused = "refused",
    /// With a cut answer.
    Cut = "cut",
    /// Its caller went away.
    Gone = "gone"
);

labels!(
    /// What an attempt was.
    AttemptLabel, AttemptKind,
    /// The first one.
    First = "first",
    /// One after a failure.
    Retry = "retry",
    /// One that races a late one.
    Hedge = "hedge"
);

labels!(
    /// What was found of a claim.
    ClaimLabel, ClaimFound,
    /// It was made.
    Claimed = "claimed",
    /// The stored answer was given.
    Replayed = "replayed",
    /// Another attempt still runs.
    InProgress = "in_progress",
    /// The outcome is not known.
    Unknown = "unknown",
    /// The key was used with another body.
    Reused = "reused",
    /// The table did not answer.
    StoreOut = "store_out",
    /// A claim was taken back because the call was not written.
    Voided = "voided"
);

labels!(
    /// What became of a bill.
    BillLabel, BillState,
    /// Peers hold copies.
    Held = "held",
    /// It was written at once, because peers could not hold it.
    Direct = "direct",
    /// Only this instance holds it.
    Alone = "alone",
    /// It is in the table.
    Written = "written",
    /// It was taken over from an instance that is gone.
    Adopted = "adopted"
);

labels!(
    /// What became of an engine order.
    OrderLabel, OrderState,
    /// The engine took it.
    Taken = "taken",
    /// The engine refused it.
    Refused = "refused",
    /// No answer came.
    Lost = "lost",
    /// The lease had run out before the order was sent.
    Lapsed = "lapsed"
);

/// The label of an error kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct KindLabel {
    /// The kind's name.
    pub kind: &'static str,
}

impl Metrics {
    /// Registers all metrics.
    pub fn new() -> Self {
        let mut metrics = Metrics {
            registry: Registry::with_prefix("lacewingchute"),
            requests: Family::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            claims: Family::default(),
            bills: Family::default(),
            halts: Counter::default(),
            platform_errors: Counter::default(),
            peer_errors: Counter::default(),
            orders: Family::default(),
            open: Gauge::default(),
            bills_waiting: Gauge::default(),
            config_number: Gauge::default(),
            first_byte: Histogram::new(exponential_buckets(0.005, 2.0, 14)),
        };
        metrics.register();
        metrics
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by how they ended", self.requests.clone());
        registry.register("refusals", "Refusals by kind", self.refusals.clone());
        registry.register("attempts", "Attempts by what they were", self.attempts.clone());
        registry.register("claims", "Claims by what was found", self.claims.clone());
        registry.register("bills", "Bills by what became of them", self.bills.clone());
        registry.register("halts", "Halts written or learnt of", self.halts.clone());
        let errors = self.platform_errors.clone();
        registry.register("platform_errors", "Failed calls to the platform", errors);
        let errors = self.peer_errors.clone();
        registry.register("peer_errors", "Failed exchanges with peers", errors);
        registry.register("orders", "Engine orders by what became of them", self.orders.clone());
        registry.register("open_requests", "Requests without a whole answer", self.open.clone());
        let waiting = self.bills_waiting.clone();
        registry.register("bills_waiting", "Bills that wait for the table", waiting);
        let number = self.config_number.clone();
        registry.register("config_number", "Number of the configuration", number);
        registry.register_with_unit(
            "first_byte",
            "Time from arrival to the first byte",
            Unit::Seconds,
            self.first_byte.clone(),
        );
    }

    /// Counts a refusal.
    pub fn refused(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind: kind.name() }).inc();
        self.requests.get_or_create(&End::Refused.into()).inc();
    }

    /// The metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
