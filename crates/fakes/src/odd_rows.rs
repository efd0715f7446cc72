//! Odd rows and entries, as other writers may leave them in a table.

/// Values that no reader understands, with a name for each.
pub fn odd_values() -> Vec<(&'static str, Vec<u8>)> {
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let text = |text: &str| text.as_bytes().to_vec();
    vec![
        ("nested", nested.clone().into_bytes()),
        ("nested-field", format!("{{\"service\":{nested}}}").into_bytes()),
        (
            "number",
            text(
                r#"{"service":"desk","address":"127.0.0.1:1","zone":"z1","version":"v1","slots":1e999,"state":"ready","born":99999999999999999999,"tries":1e99,"incarnation":-1,"link_mbps":1e40,"peers":"127.0.0.1:1","domain":"z1","to":"v2","duration_s":1e999,"began_ms":1e30}"#,
            ),
        ),
        (
            "port",
            text(
                r#"{"service":"desk","address":"127.0.0.1:70000","zone":"z1","version":"v1","state":"ready","peers":"127.0.0.1:70000","domain":"z1","incarnation":1,"link_mbps":1}"#,
            ),
        ),
        ("type", text(r#"{"service":7,"address":[],"state":{},"to":null}"#)),
        ("bytes", vec![0xff, 0xfe, 0, 1, 2]),
        ("empty", Vec::new()),
    ]
}

/// Rows and entries that can't be read even as such, in JSON.
pub fn unreadable_entries() -> Vec<String> {
    let nested = "[".repeat(2_000) + &"]".repeat(2_000);
    vec![
        r#"{"key":"\ud800","value":"e30=","schema_version":3,"version":3}"#.to_owned(),
        r#"{"key":"odd/number","value":"e30=","schema_version":1e999,"version":1e999}"#.to_owned(),
        format!(r#"{{"key":{nested},"value":{nested},"schema_version":3,"version":3}}"#),
        r#"{"value":7}"#.to_owned(),
        nested,
        "7".to_owned(),
    ]
}

/// Adds entries to a list in a JSON text, in front of its first one; `start` are the characters
/// that begin the list.
pub(crate) fn insert_entries(text: &str, start: &str, entries: &[String]) -> String {
    let Some(position) = text.find(start).filter(|_| !entries.is_empty()) else {
        return text.to_owned();
    };
    let (head, tail) = text.split_at(position + start.len());
    let separator = if tail.starts_with(']') { "" } else { "," };
    format!("{head}{}{separator}{tail}", entries.join(","))
}
