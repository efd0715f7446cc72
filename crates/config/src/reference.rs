//! The route file reference: every key with its unit, default and range.

use std::fmt::Write;

/// The documentation of one key.
#[derive(Debug)]
pub struct KeyDoc {
    /// The table that contains the key.
    pub table: &'static str,
    /// The key.
    pub key: &'static str,
    /// The type and unit.
    pub unit: &'static str,
    /// The default, or `required`.
    pub default: &'static str,
    /// The valid range or values.
    pub range: &'static str,
    /// A description of the setting.
    pub description: &'static str,
}

const fn key(
    table: &'static str,
    key: &'static str,
    unit: &'static str,
    default: &'static str,
    range: &'static str,
    description: &'static str,
) -> KeyDoc {
    KeyDoc { table, key, unit, default, range, description }
}

const ACCOUNT: &str = "account.NAME";
const ROUTE: &str = "route.NAME";
const VERSION: &str = "route.NAME.version";

/// Every key of a route file.
#[rustfmt::skip]
pub const KEYS: &[KeyDoc] = &[
    key(ACCOUNT, "key_sha256", "list of strings", "required", "64 hexadecimal digits each", "SHA-256 of each API key of the account."),
    key(ACCOUNT, "weight", "number", "1", "0.01 to 1000", "Share of capacity relative to other accounts."),
    key(ROUTE, "kind", "string", "required", "model, service", "Kind of backend servers that serve the route."),
    key(ROUTE, "accounts", "list of names", "required", "at least one", "Client accounts that may use the route."),
    key(ROUTE, "quality", "mean rating", "0", "0 to 1", "Mean rating that answers must reach; the cheapest version that reaches it is selected."),
    key(ROUTE, "work", "string", "short", "short, long", "Expected length of requests; long requests may use a limited share of each server."),
    key(ROUTE, "deadline_ms", "milliseconds", "60000", "1 to 3600000", "Time limit from arrival to the end of the answer."),
    key(ROUTE, "first_byte_ms", "milliseconds", "10000", "1 to 3600000", "Time limit for the first byte from one server."),
    key(ROUTE, "sessions", "boolean", "false", "true, false", "Whether a session stays on the version that it started with."),
    key(ROUTE, "repeatable", "boolean", "true for models, false for services", "true, false", "Whether a failed request may be retried; if not, requests need an Idempotency-Key header."),
    key(ROUTE, "cut_off", "string", "serve_stable", "serve_stable, stop", "What an instance does while it can't confirm its configuration."),
    key(ROUTE, "on_halt", "string", "withdraw", "withdraw, retire", "What happens to the sessions of a halted version."),
    key(ROUTE, "rated", "share", "0.05", "0 to 1", "Fraction of answers sent to the rating service."),
    key(ROUTE, "price_micro", "millionths", "0", "0 or more", "Price of a request to a plain service."),
    key(ROUTE, "service", "name", "required for services", "a name", "Name under which the backend servers are listed."),
    key(ROUTE, "version", "list of tables", "required for models", "one or more, one stable", "The versions."),
    key(VERSION, "name", "name", "required", "letters, digits, - _ .", "Name under which backend servers list the version."),
    key(VERSION, "cost_micro", "millionths for 1,000 tokens", "required", "0 or more", "Cost of 1,000 tokens."),
    key(VERSION, "quality", "mean rating", "required", "0 to 1", "Prior mean rating."),
    key(VERSION, "evidence", "count", "20", "0 or more", "Weight of the prior mean, as a number of ratings."),
    key(VERSION, "stage", "string", "required", "rollout, stable, retiring, withdrawn", "Lifecycle stage."),
    key(VERSION, "successor", "name", "the cheapest stable version", "a stable version of the route", "Version that the sessions move to when this one is withdrawn."),
    key(VERSION, "accounts", "list of names", "all of the route's", "accounts", "Client accounts that may use the version."),
    key(VERSION, "steps", "list of { share, hold_s }", "required in stage rollout", "share 0 to 1, hold_s in seconds", "Steps of the rollout."),
];

/// Renders the reference as a Markdown page.
pub fn reference_markdown() -> String {
    let mut page = String::from(
        "# Route files\n\nA route file is TOML and its name ends in `.route.toml`. \
         This page is printed by `lacewingchute check --reference`.\n\n\
         | table | key | type and unit | default | range | meaning |\n\
         | --- | --- | --- | --- | --- | --- |\n",
    );
    for doc in KEYS {
        let KeyDoc { table, key, unit, default, range, description } = doc;
        let _ = writeln!(
            page,
            "| `{table}` | `{key}` | {unit} | {default} | {range} | {description} |"
        );
    }
    page
}
