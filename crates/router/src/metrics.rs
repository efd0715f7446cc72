//! Metrics of one instance.

use error::Kind;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// All metrics of an instance.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub requests: Family<RequestOutcomeLabel, Counter>,
    /// Refusals by kind.
    pub refusals: Family<RefusalKindLabel, Counter>,
    /// Attempts by type.
    pub attempts: Family<AttemptKindLabel, Counter>,
    /// Claims by result.
    pub claims: Family<ClaimResultLabel, Counter>,
    /// Bills by state.
    pub bills: Family<BillStateLabel, Counter>,
    /// Halts that this instance wrote or received.
    pub halts: Counter,
    /// Failed calls to the platform.
    pub platform_errors: Counter,
    /// Failed exchanges with peers.
    pub peer_errors: Counter,
    /// Engine orders by outcome.
    pub orders: Family<OrderOutcomeLabel, Counter>,
    /// Requests without a complete answer.
    pub open: Gauge,
    /// Bills not yet written to the table.
    pub bills_waiting: Gauge,
    /// The version number of the configuration.
    pub config_number: Gauge,
    /// Time from arrival to the first byte of the answer.
    pub first_byte: Histogram,
}

/// Defines an enum of label values with their texts, and the label set that holds one.
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
            /// The value of the only label.
            pub state: $value,
        }

        impl From<$value> for $set {
            fn from(state: $value) -> Self { $set { state } }
        }
    };
}

labels!(
    /// How a request ended.
    RequestOutcomeLabel, RequestOutcome,
    /// The request was answered completely.
    Answered = "answered",
    /// The request was refused.
    Refused = "refused",
    /// The answer was truncated.
    Truncated = "cut",
    /// The caller disconnected.
    Disconnected = "gone"
);

labels!(
    /// The type of an attempt.
    AttemptKindLabel, AttemptKind,
    /// The first attempt of a request.
    First = "first",
    /// An attempt after a failed one.
    Retry = "retry",
    /// An attempt started in parallel because the first byte of another one is late.
    Hedge = "hedge"
);

labels!(
    /// The result of claiming an idempotency key.
    ClaimResultLabel, ClaimResult,
    /// The claim was created.
    Claimed = "claimed",
    /// The stored answer was replayed.
    Replayed = "replayed",
    /// Another attempt is still running.
    InProgress = "in_progress",
    /// The outcome of the earlier attempt is unknown.
    Unknown = "unknown",
    /// The key was used before with another body.
    KeyReused = "reused",
    /// The table service did not answer.
    StoreUnavailable = "store_out",
    /// The claim was withdrawn because the call was never sent.
    Withdrawn = "voided"
);

labels!(
    /// The state of a bill.
    BillStateLabel, BillState,
    /// A peer in the same failure domain and one in another domain hold copies.
    Replicated = "held",
    /// The bill was written immediately because peers could not hold it.
    Stored = "direct",
    /// Only this instance and at most one peer hold the bill.
    Degraded = "alone",
    /// The bill was written to the table.
    Written = "written",
    /// The bill was adopted from another instance.
    Adopted = "adopted"
);

labels!(
    /// The outcome of an engine order.
    OrderOutcomeLabel, OrderOutcome,
    /// The engine accepted the order.
    Accepted = "taken",
    /// The engine refused the order.
    Refused = "refused",
    /// No answer was received.
    NoAnswer = "lost",
    /// The lease expired before the order was sent.
    LeaseExpired = "lapsed"
);

/// The label of an error kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalKindLabel {
    /// The kind's name.
    pub kind: &'static str,
}

impl Metrics {
    /// Creates and registers all metrics.
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
        self.refusals.get_or_create(&RefusalKindLabel { kind: kind.name() }).inc();
        self.requests.get_or_create(&RequestOutcome::Refused.into()).inc();
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
