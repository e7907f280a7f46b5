//! Streams with a wrong byte, which may be any byte and arrive in any way: what the caller gets of
//! them together with the server that resumes them.

use savoryport::node::event_relay::EventRelay;

/// The number of events in a stream.
const EVENTS: u64 = 12;

/// The wrong values of a byte: those with a meaning, and some without one.
const WRONG_BYTES: &[u8] = b"\n\r: ;idx-+.0123456789\x00\x80\xc3\xff";

fn event(number: u64, line_end: &str) -> String {
    let version = if number.is_multiple_of(5) {
        format!("x-weight-versions: 2{line_end}")
    } else {
        String::new()
    };
    format!("{version}id: {number}{line_end}data: token {number} of x{line_end}{line_end}")
}

fn events(from: u64, line_end: &str) -> String {
    (from..=EVENTS).map(|number| event(number, line_end)).collect()
}

/// Returns what the caller gets of a stream whose first server sends these bytes in such pieces, and
/// whether another server resumed it.
fn relay(sent: &[u8], piece: usize, last_known: Option<u64>, line_end: &str) -> (String, bool) {
    let mut relay = EventRelay::new(last_known);
    let mut received = Vec::new();
    let mut is_interrupted = false;
    for data in sent.chunks(piece) {
        let relayed = relay.push(data);
        received.extend(relayed.events);
        is_interrupted = relayed.is_interrupted;
        if is_interrupted {
            break;
        }
    }
    is_interrupted |= relay.has_partial_event();
    if is_interrupted {
        relay.start_server();
        let rest = events(relay.last_forwarded().unwrap_or(0) + 1, line_end);
        let relayed = relay.push(rest.as_bytes());
        assert!(!relayed.is_interrupted && !relay.has_partial_event());
        received.extend(relayed.events);
    }
    received.extend(relay.finish());
    (String::from_utf8_lossy(&received).into_owned(), is_interrupted)
}

/// Returns the number of the event that has the byte at this position.
fn event_at(position: usize, from: u64, line_end: &str) -> u64 {
    let mut end = 0;
    let is_behind = |number: &u64| {
        end += event(*number, line_end).len();
        position < end
    };
    (from..=EVENTS).find(is_behind).expect("a position in the stream")
}

/// Guards against a sound event that is lost, or comes twice, because of a wrong byte in another one.
#[test]
fn a_wrong_byte_neither_loses_nor_repeats_another_event() {
    for (line_end, last_known) in [("\n", None), ("\r\n", None), ("\n", Some(8))] {
        let from = last_known.unwrap_or(0) + 1;
        let sound = events(from, line_end);
        for position in 0..sound.len() {
            let spoiled = event_at(position, from, line_end);
            for wrong in WRONG_BYTES {
                let mut sent = sound.clone().into_bytes();
                sent[position] = *wrong;
                for piece in
                    [1, 7, event(1, line_end).len(), 3 * event(1, line_end).len(), sent.len()]
                {
                    let (received, _) = relay(&sent, piece, last_known, line_end);
                    let case = format!("{wrong:#x} at {position} by {piece}: {received}");
                    for number in from..=EVENTS {
                        let id = format!("id: {number}{line_end}");
                        let ids = received.matches(&id).count();
                        let whole = received.matches(&event(number, line_end)).count();
                        assert!(whole <= 1 && ids <= 1, "{number} comes again: {case}");
                        assert!(whole == 1 || number == spoiled, "{number} is lost: {case}");
                        assert!(received.contains(&format!("id: {number}")), "{number}: {case}");
                    }
                }
            }
        }
    }
}

/// Guards against streams that are resumed without need.
#[test]
fn bytes_of_the_data_are_the_callers_matter() {
    let sound = events(1, "\n");
    let at = sound.find("token 5").expect("an event");
    for wrong in [0x00, 0x80, 0xc3, 0xff] {
        let mut sent = sound.clone().into_bytes();
        sent[at] = wrong;
        let mut relay = EventRelay::new(None);
        let relayed = relay.push(&sent);
        assert_eq!((&relayed.events[..], relayed.is_interrupted), (&sent[..], false));
    }
}

#[test]
fn comments_and_events_without_a_number_are_forwarded() {
    let sent = ": hello\n\nid: 0\ndata: a\n\n:\n\nid: 1\nevent: token\ndata: b\ndata: c\n\ndata: [DONE]\n\n";
    for piece in 1..sent.len() {
        let mut relay = EventRelay::new(None);
        let mut received = Vec::new();
        for data in sent.as_bytes().chunks(piece) {
            let relayed = relay.push(data);
            assert!(!relayed.is_interrupted, "by {piece}");
            received.extend(relayed.events);
        }
        assert_eq!(
            (String::from_utf8_lossy(&received), relay.last_forwarded()),
            (sent.into(), Some(1))
        );
    }
}
