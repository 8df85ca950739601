use super::{Event, EventError, EventReader, MAX_EVENT_BYTES};

fn read_all(reader: &mut EventReader) -> Vec<Event> {
    std::iter::from_fn(|| reader.next_event()).collect()
}

#[test]
fn events_are_complete_for_every_chunk_size() {
    let text = b"id: 1\ndata: a\n\nversions: 3\r\nid: 2\r\ndata: b\r\ndata: c\r\n\r\nid: 3\ndata:d\n\n";
    for size in 1..text.len() {
        let mut reader = EventReader::default();
        let mut events = Vec::new();
        for chunk in text.chunks(size) {
            reader.push(chunk).expect("short events");
            events.extend(read_all(&mut reader));
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), Some(3)], "chunks of {size} bytes");
        let joined: Vec<u8> = events.iter().flat_map(|event| event.raw.to_vec()).collect();
        assert_eq!(joined, text, "the bytes of the events are unchanged");
        assert!(!reader.has_incomplete_event());
    }
}

#[test]
fn data_fields_of_an_event_are_joined_by_line_feeds() {
    let mut reader = EventReader::default();
    reader.push(b"id: 7\ndata: one\ndata:  two\n\n: a comment\n\n").expect("short events");
    let events = read_all(&mut reader);
    let mut data = Vec::new();
    for event in &events {
        event.append_data(&mut data);
    }
    assert_eq!(data, b"one\n two\n");
    assert_eq!(events.iter().map(Event::has_data).collect::<Vec<_>>(), [true, false]);
}

#[test]
fn an_incomplete_event_stays_buffered() {
    let mut reader = EventReader::default();
    reader.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("short events");
    assert_eq!(read_all(&mut reader).len(), 1);
    assert!(reader.has_incomplete_event());
    assert_eq!(&reader.take_incomplete_event()[..], b"id: 2\nda");
    assert!(!reader.has_incomplete_event());
}

#[test]
fn line_ends_after_the_last_event_begin_no_event() {
    for line_ends in ["\n", "\r\n", "\r"] {
        let mut reader = EventReader::default();
        reader.push(format!("id: 1\ndata: a\n\n{line_ends}").as_bytes()).expect("short events");
        assert_eq!(read_all(&mut reader).len(), 1);
        assert!(!reader.has_incomplete_event());
    }
}

#[test]
fn an_event_longer_than_the_limit_is_rejected() {
    let mut reader = EventReader::default();
    let chunk = vec![b'x'; MAX_EVENT_BYTES / 4];
    for _ in 0..4 {
        reader.push(&chunk).expect("within the limit");
        assert_eq!(reader.next_event(), None);
    }
    assert_eq!(reader.push(&chunk), Err(EventError::TooLong));
}

#[test]
fn arbitrary_bytes_pass_through_unchanged() {
    bolero::check!().with_type::<Vec<Vec<u8>>>().for_each(|chunks| {
        let mut reader = EventReader::default();
        let mut out = Vec::new();
        for chunk in chunks {
            if reader.push(chunk).is_err() {
                return;
            }
            for event in read_all(&mut reader) {
                out.extend_from_slice(&event.raw);
                let mut data = Vec::new();
                event.append_data(&mut data);
            }
        }
        out.extend_from_slice(&reader.take_incomplete_event());
        assert_eq!(out, chunks.concat());
    });
}
