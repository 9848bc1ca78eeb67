//! Which answers count, and which events a stream goes on with.

use dispatch::configuration::RouteKind;
use dispatch::registry::ServerId;
use gateway::forward::events::EventSequence;
use gateway::forward::validation::{self, AnswerClass, Expectation};
use http::{Response, response};
use quickcheck::{Gen, QuickCheck};

const CASES: u64 = 2_000;
const SIZE: usize = 24;

fn head(status: u16, headers: &[(&str, &str)]) -> response::Parts {
    let builder = Response::builder().status(status);
    let builder =
        headers.iter().fold(builder, |builder, (name, value)| builder.header(*name, *value));
    builder.body(()).unwrap().into_parts().0
}

fn classify(head: &response::Parts, route_kind: RouteKind, is_continuation: bool) -> AnswerClass {
    let server = ServerId::new("engine-0");
    validation::classify(head, &Expectation { server: &server, route_kind, is_continuation })
}

const SEAL: (&str, &str) = ("x-server-seal", "s");
const EVENTS: (&str, &str) = ("content-type", "text/event-stream");
const NOT_EXECUTED: (&str, &str) = ("x-not-executed", "1");

/// Each head as the first answer to an order and to a stream, and as the continuation of a stream.
#[test]
fn heads_are_classified() {
    let heads = [
        head(200, &[SEAL]),
        head(200, &[SEAL, EVENTS]),
        head(200, &[SEAL, ("content-type", "Text/Event-Stream; charset=utf-8")]),
        head(200, &[SEAL, ("content-type", "text/plain")]),
        head(200, &[SEAL, EVENTS, ("content-encoding", "gzip")]),
        head(200, &[SEAL, EVENTS, ("content-encoding", "identity")]),
        head(200, &[EVENTS]),
        head(200, &[SEAL, EVENTS, NOT_EXECUTED]),
        head(202, &[SEAL, EVENTS]),
        head(204, &[SEAL]),
        head(101, &[SEAL]),
        head(400, &[NOT_EXECUTED]),
        head(404, &[SEAL]),
        head(408, &[SEAL]),
        head(421, &[("x-instance-id", "engine-0")]),
        head(421, &[("x-instance-id", "engine-1")]),
        head(429, &[NOT_EXECUTED]),
        head(500, &[SEAL]),
        head(500, &[SEAL, EVENTS]),
        head(503, &[NOT_EXECUTED]),
        head(503, &[SEAL]),
        head(599, &[SEAL]),
        head(600, &[SEAL]),
        head(600, &[NOT_EXECUTED]),
        head(999, &[SEAL, EVENTS]),
    ];
    let lines: Vec<String> = heads
        .iter()
        .map(|head| {
            let headers: Vec<String> = head
                .headers
                .iter()
                .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap()))
                .collect();
            format!(
                "{} {headers:?}: {:?}, {:?}, {:?}",
                head.status.as_u16(),
                classify(head, RouteKind::Unsafe, false),
                classify(head, RouteKind::ResumableStream, false),
                classify(head, RouteKind::ResumableStream, true),
            )
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_stream_without_events_is_complete_only_with_a_last_chunk() {
    let check = |headers| validation::check_empty_stream(&head(200, headers)).is_ok();
    assert!(check(&[("transfer-encoding", "chunked")]));
    assert!(!check(&[("content-length", "0")]));
    assert!(!check(&[]));
}

/// Events with increasing ids, with what may stand beside them.
fn ordered_events(draws: &mut Gen) -> Vec<String> {
    let mut id = 0;
    let events = (0..SIZE).map(|_| {
        id += u64::from(*draws.choose(&[1_u8, 1, 1, 7]).unwrap());
        match draws.choose(&[0, 1, 2, 3]).unwrap() {
            0 => format!("id: {id}\ndata: token\n\n"),
            1 => format!("id:{id}\r\ndata: token\r\n\r\n"),
            2 => format!(": comment\n\nretry: 5\n\nx-weight-versions: 3\nid: {id}\ndata:\n\n"),
            _ => format!("event: token\ndata: a\ndata: b\nid: {id}\n\n"),
        }
    });
    events.collect()
}

fn accepts(sequence: &mut EventSequence, batches: &[&[String]]) -> bool {
    batches.iter().all(|batch| sequence.accept(batch.concat().as_bytes()))
}

#[test]
fn events_in_order_are_accepted_in_batches_of_any_size() {
    for seed in 0..CASES {
        let mut draws = Gen::from_size_and_seed(SIZE, seed);
        let events = ordered_events(&mut draws);
        let size = 1 + usize::from(*draws.choose(&[0_u8, 1, 2, 5, 23]).unwrap());
        let batches: Vec<&[String]> = events.chunks(size).collect();
        assert!(accepts(&mut EventSequence::new(None), &batches), "seed {seed}: {events:?}");
    }
}

#[test]
fn an_event_out_of_order_or_without_an_id_is_refused() {
    for seed in 0..CASES {
        let mut draws = Gen::from_size_and_seed(SIZE, seed);
        let mut events = ordered_events(&mut draws);
        let indices: Vec<usize> = (1..events.len()).collect();
        let index = *draws.choose(&indices).unwrap();
        let earlier = events[index - 1].clone();
        let foreign = ["error: engine failed\n\n", "event: error\ndata: failed\n\n", &earlier];
        let foreign = (*draws.choose(&foreign).unwrap()).to_owned();
        events.insert(index, foreign);
        let batches: Vec<&[String]> = events.chunks(3).collect();
        assert!(!accepts(&mut EventSequence::new(None), &batches), "seed {seed}: {events:?}");
    }
}

#[test]
fn a_continuation_begins_after_the_last_event() {
    let continues = |after: &str, id: &str| {
        let event = format!("id: {id}\ndata: token\n\n");
        EventSequence::new(Some(after.as_bytes())).accept(event.as_bytes())
    };
    assert!(continues("2", "3") && continues("9", "10") && continues("", "1"));
    assert!(continues("a", "b"), "ids that are no numbers have no order");
    assert!(!continues("2", "2") && !continues("10", "9") && !continues("a", "a"));
}

#[test]
fn any_bytes_are_judged_without_a_panic() {
    fn judges(events: Vec<u8>) -> bool {
        let _ = EventSequence::new(None).accept(&events);
        true
    }
    QuickCheck::new().tests(CASES).quickcheck(judges as fn(Vec<u8>) -> bool);
}
