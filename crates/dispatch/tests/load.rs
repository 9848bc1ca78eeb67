//! Health and load of servers from a gateway's own sends.

use dispatch::load::{FlightId, Health, LoadHeader, Loads, Outcome, Weight};
use dispatch::registry::ServerId;

const WEIGHT: Weight = Weight { service_ms: 100.0, memory_tokens: 3_000, silence_ms: 500 };

fn sent(loads: &mut Loads, server: &ServerId, now_ms: u64) -> FlightId {
    loads.sent(server, WEIGHT, now_ms)
}

#[test]
fn silence_raises_suspicion_and_an_answer_clears_it() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    let flight = sent(&mut loads, &server, 0);
    assert_eq!(loads.view(&server, 400).health, Health::Good);
    assert_eq!(loads.find_silent(600), vec![server.clone()]);
    assert!(loads.find_silent(700).is_empty(), "a suspicion is reported once");
    assert_eq!(loads.view(&server, 700).health, Health::Suspected);
    loads.started(&server, flight, None, 800);
    assert_eq!(loads.view(&server, 900).health, Health::Good);
}

#[test]
fn bytes_on_another_connection_speak_for_a_server() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    sent(&mut loads, &server, 0);
    loads.heard(&server, 300);
    assert!(loads.find_silent(2_000).is_empty());
}

#[test]
fn a_passed_health_check_ends_the_suspicion_for_good() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    sent(&mut loads, &server, 0);
    loads.find_silent(600);
    loads.unhealthy(&server, 700);
    assert!(loads.is_dead(&server));
    loads.healthy(&server, 900);
    assert!(!loads.is_dead(&server));
    assert!(loads.find_silent(5_000).is_empty(), "old sends must not raise it again");
}

#[test]
fn a_server_that_fails_half_its_requests_is_avoided_for_a_while() {
    let (mut loads, server) = (Loads::new(), ServerId::new("grey"));
    for turn in 0..6 {
        let flight = sent(&mut loads, &server, turn * 100);
        let outcome = if turn % 2 == 0 { Outcome::Failed } else { Outcome::Answered };
        loads.finished(&server, flight, outcome, turn * 100 + 50);
    }
    assert_eq!(loads.view(&server, 600).health, Health::Avoided);
    assert_eq!(loads.view(&server, 5_000).health, Health::Good);
}

#[test]
fn the_platforms_usual_share_of_failures_is_borne() {
    let (mut loads, server) = (Loads::new(), ServerId::new("desk"));
    for turn in 0..28 {
        let flight = sent(&mut loads, &server, turn * 100);
        let outcome = if turn % 7 == 0 { Outcome::Failed } else { Outcome::Answered };
        loads.finished(&server, flight, outcome, turn * 100 + 50);
        if turn > 3 {
            assert_eq!(loads.view(&server, turn * 100 + 60).health, Health::Good, "turn {turn}");
        }
    }
}

#[test]
fn load_counts_what_has_not_started() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    let first = sent(&mut loads, &server, 0);
    sent(&mut loads, &server, 10);
    let header = LoadHeader { running: 3, waiting: 1, slots: 64 };
    loads.started(&server, first, Some(header), 50);
    let view = loads.view(&server, 60);
    assert_eq!((view.in_flight, view.memory_tokens), (2, 6_000));
    assert!((view.unstarted_ms - 100.0).abs() < f64::EPSILON);
    assert_eq!(view.header, Some(header));
    assert_eq!(loads.view(&server, 10_000).header, None, "an old header says nothing");
}

#[test]
fn a_server_that_loads_weights_is_avoided_until_it_is_done() {
    let (mut loads, server) = (Loads::new(), ServerId::new("a"));
    loads.occupy(&server, 2_500);
    assert_eq!(loads.view(&server, 100).health, Health::Avoided);
    loads.release(&server);
    assert_eq!(loads.view(&server, 100).health, Health::Good);
}
