//! Tests of the parser for server-sent events.

use gateway::EventReader;

fn read(pieces: &[&str]) -> (Vec<(String, Option<u64>)>, bool) {
    let mut reader = EventReader::default();
    let mut events = Vec::new();
    for piece in pieces {
        assert!(reader.push(piece.as_bytes()));
        while let Some(event) = reader.next_event() {
            events.push((String::from_utf8_lossy(&event.bytes).into_owned(), event.id));
        }
    }
    (events, reader.has_partial_event())
}

#[test]
fn next_event_whole() {
    let (events, rest) = read(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"]);
    assert_eq!(events.iter().map(|event| event.1).collect::<Vec<_>>(), [Some(1), Some(2)]);
    assert!(!rest);
}

#[test]
fn next_event_byte_by_byte_is_the_same() {
    let text = "x-weight-versions: 2\nid: 12\ndata: a\n\r\nid:13\r\ndata: b\r\n\r\n";
    let pieces: Vec<String> = text.chars().map(String::from).collect();
    let pieces: Vec<&str> = pieces.iter().map(String::as_str).collect();
    let (split, rest) = read(&pieces);
    assert_eq!(split, read(&[text]).0);
    assert_eq!(split.iter().map(|event| event.1).collect::<Vec<_>>(), [Some(12), Some(13)]);
    assert_eq!(split.iter().map(|event| event.0.as_str()).collect::<String>(), text);
    assert!(!rest);
}

#[test]
fn next_event_torn_stays() {
    let (events, rest) = read(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(rest);
}

#[test]
fn next_event_without_id() {
    assert_eq!(read(&["data: a\n\n"]).0[0].1, None);
    assert_eq!(read(&["id: x\n\n"]).0[0].1, None);
}

#[test]
fn push_endless_event_is_bounded() {
    let mut reader = EventReader::default();
    let block = vec![b'x'; 64 << 10];
    assert!((0..100).any(|_| !reader.push(&block)));
}
