//! Tests of the parser for server-sent events.

use gateway::EventReader;

/// Reads the events from chunks; also returns whether an incomplete event is left.
fn read(chunks: &[&str]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for chunk in chunks {
        assert!(reader.push(chunk.as_bytes()));
        while let Some(event) = reader.next_event() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, reader.has_partial_event())
}

#[test]
fn next_event_complete() {
    let (events, partial) = read(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"]);
    assert_eq!(events.iter().map(|event| event.1).collect::<Vec<_>>(), [Some(1), Some(2)]);
    assert!(!partial);
}

#[test]
fn next_event_does_not_depend_on_chunks() {
    let text = "x-weight-versions: 2\nid: 12\ndata: a\n\r\nid:13\r\ndata: b\r\n\r\n";
    let chunks: Vec<String> = text.chars().map(String::from).collect();
    let chunks: Vec<&str> = chunks.iter().map(String::as_str).collect();
    let (split, partial) = read(&chunks);
    assert_eq!(split, read(&[text]).0);
    assert_eq!(split.iter().map(|event| event.1).collect::<Vec<_>>(), [Some(12), Some(13)]);
    assert_eq!(split.iter().map(|event| event.0.as_str()).collect::<String>(), text);
    assert!(!partial);
}

#[test]
fn next_event_keeps_incomplete_event() {
    let (events, partial) = read(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(partial);
}

#[test]
fn next_event_without_id() {
    assert_eq!(read(&["data: a\n\n"]).0[0].1, None);
    assert_eq!(read(&["id: x\n\n"]).0[0].1, None);
}

#[test]
fn push_reports_oversized_event() {
    let mut reader = EventReader::default();
    let block = vec![b'x'; 64 << 10];
    assert!((0..100).any(|_| !reader.push(&block)));
}
