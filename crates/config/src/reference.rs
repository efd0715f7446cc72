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
    pub text: &'static str,
}

const fn key(
    table: &'static str,
    key: &'static str,
    unit: &'static str,
    default: &'static str,
    range: &'static str,
    text: &'static str,
) -> KeyDoc {
    KeyDoc { table, key, unit, default, range, text }
}

const ACCOUNT: &str = "account.NAME";
const ROUTE: &str = "route.NAME";
const VERSION: &str = "route.NAME.version";

/// Every key of a route file.
#[rustfmt::skip]
pub const KEYS: &[KeyDoc] = &[
    key(ACCOUNT, "key_sha256", "list of strings", "required", "64 hexadecimal digits each", "SHA-256 of each API key of the account."),
    key(ACCOUNT, "weight", "number", "1", "0.01 to 1000", "Share of the capacity against other accounts."),
    key(ROUTE, "kind", "string", "required", "model, service", "What stands behind the route."),
    key(ROUTE, "accounts", "list of names", "required", "at least one", "Client accounts that may use the route."),
    key(ROUTE, "quality", "mean rating", "0", "0 to 1", "What answers must reach; the cheapest version that does is taken."),
    key(ROUTE, "work", "string", "short", "short, long", "Length of the work; long work has a bounded share of each server."),
    key(ROUTE, "deadline_ms", "milliseconds", "60000", "1 to 3600000", "Longest time from arrival to the end of the answer."),
    key(ROUTE, "first_byte_ms", "milliseconds", "10000", "1 to 3600000", "Longest wait for the first byte from one server."),
    key(ROUTE, "sessions", "boolean", "false", "true, false", "Whether sessions keep their version."),
    key(ROUTE, "repeatable", "boolean", "true for models, false for services", "true, false", "Whether a call may be sent again after a failure; if not, it needs an Idempotency-Key."),
    key(ROUTE, "cut_off", "string", "serve_stable", "serve_stable, stop", "What an instance does that cannot confirm its configuration."),
    key(ROUTE, "on_halt", "string", "withdraw", "withdraw, retire", "What a halt does to sessions of the halted version."),
    key(ROUTE, "rated", "share", "0.05", "0 to 1", "Share of answers sent to the rating service."),
    key(ROUTE, "price_micro", "millionths", "0", "0 or more", "Charge for one call of a plain service."),
    key(ROUTE, "service", "name", "required for services", "a name", "Name that the backend servers of the service list."),
    key(ROUTE, "version", "list of tables", "required for models", "one or more, one stable", "The versions."),
    key(VERSION, "name", "name", "required", "letters, digits, - _ .", "Name that backend servers list."),
    key(VERSION, "cost_micro", "millionths for 1,000 tokens", "required", "0 or more", "Cost of the version."),
    key(VERSION, "quality", "mean rating", "required", "0 to 1", "Expected mean rating."),
    key(VERSION, "evidence", "count", "20", "0 or more", "How many ratings the expected mean stands for."),
    key(VERSION, "stage", "string", "required", "rollout, stable, retiring, withdrawn", "Stage of the version's life."),
    key(VERSION, "successor", "name", "the cheapest stable version", "a stable version of the route", "Takes over the sessions of a withdrawn version."),
    key(VERSION, "accounts", "list of names", "all of the route's", "accounts", "Client accounts that may use the version."),
    key(VERSION, "steps", "list of { share, hold_s }", "required in roll-out", "share 0 to 1, hold_s in seconds", "Steps of the roll-out."),
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
        let KeyDoc { table, key, unit, default, range, text } = doc;
        let _ = writeln!(page, "| `{table}` | `{key}` | {unit} | {default} | {range} | {text} |");
    }
    page
}
