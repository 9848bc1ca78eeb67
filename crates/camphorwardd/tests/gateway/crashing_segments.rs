//! A segment of prompts that crashes each server which begins an answer on it, whatever else the
//! prompt holds.

use crate::caller::{self, Response, new_id, request, send};
use crate::crashing::{MAX_LATER, STABLE_WINDOW, crashes, two_gateways};
use crate::fleet::{Fleet, NOTES, QUICK};
use crate::process::{Gateway, until};
use standins::fleet::{Behaviour, CrashPlan, CrashTrigger};
use std::time::Duration;

const BAD: &str = "bad0";
/// The crashes after which the platform counts further requests.
const CRASHES: u64 = 5;
const ENGINES: usize = 20;

/// Prompts with the bad segment at each place but the last; `_` is a segment of the request's own.
const PROMPTS: [&[&str]; 3] = [&[BAD, "_", "_"], &["a1", BAD, "_"], &["a1", "b2", BAD, "_"]];

/// Sends a request with a new content and a prompt.
async fn post(gateway: &Gateway, prompt: &[&str]) -> Response {
    post_to(gateway, QUICK, prompt).await
}

async fn post_to(gateway: &Gateway, path: &str, prompt: &[&str]) -> Response {
    let id = new_id();
    let own = |place: usize| format!("{place}{}:90", id.trim_start_matches("attempt"));
    let segments = prompt.iter().enumerate().map(|(place, segment)| match *segment {
        "_" => own(place + 1),
        shared => format!("{shared}:90"),
    });
    let segments = segments.collect::<Vec<_>>().join(",");
    let text = request(&format!("{path}{id}"), &id, "", "body");
    let (before, after) = text.split_once("X-Prompt-Prefix: ").unwrap();
    let (_, after) = after.split_once("\r\n").unwrap();
    send(gateway.callers, &format!("{before}X-Prompt-Prefix: {segments}\r\n{after}")).await
}

fn crash_on_segment(fleet: &Fleet) {
    for engine in &fleet.engines {
        let trigger = CrashTrigger::Segment(BAD.to_owned());
        engine.set_crash_plan(CrashPlan { trigger, ..CrashPlan::default() });
    }
}

/// Sends requests with the bad segment, beside sound ones, until servers have crashed often enough
/// and all gateways should know.
async fn crash_servers(fleet: &Fleet, gateways: &[&Gateway], prompt: &[&str]) {
    crash_on_segment(fleet);
    let mut number = 0;
    while crashes(&fleet.engines) < CRASHES && number < 100 {
        number += 1;
        let gateway = gateways[number % gateways.len()];
        post(gateway, prompt).await;
        post(gateway, &["a1", "_", "_"]).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
        if gateways.iter().all(|gateway| refused_prompts(gateway) > 0) {
            break;
        }
    }
    tokio::time::sleep(STABLE_WINDOW).await;
}

fn refused_prompts(gateway: &Gateway) -> usize {
    let refused = gateway.lines("request_refused");
    refused.iter().filter(|line| line["reason"] == "prompt_crashes_servers").count()
}

/// Sends requests with the bad segment to all gateways, which crash no more servers than allowed.
async fn check_refused(fleet: &Fleet, gateways: &[&Gateway], prompt: &[&str]) {
    let before = crashes(&fleet.engines);
    for number in 0..24 {
        post(gateways[number % gateways.len()], prompt).await;
    }
    let later = crashes(&fleet.engines) - before;
    assert!(later <= MAX_LATER, "{prompt:?} crashed {later} more");
}

/// Sends two requests with the bad segment; a gateway that knows of the crashes lets at most one run,
/// as a trial.
async fn check_knows(fleet: &Fleet, gateway: &Gateway, prompt: &[&str]) {
    let before = crashes(&fleet.engines);
    post(gateway, prompt).await;
    post(gateway, prompt).await;
    assert!(crashes(&fleet.engines) <= before + 1);
}

async fn check_place(place: usize) {
    let fleet = Fleet::start(0, ENGINES).await;
    let (first, second) = two_gateways(&fleet).await;
    let prompt = PROMPTS[place];
    crash_servers(&fleet, &[&first, &second], prompt).await;
    check_refused(&fleet, &[&first, &second], prompt).await;
    tokio::time::sleep(STABLE_WINDOW).await;
    let mut served = 0;
    for number in 0..20 {
        let gateway = [&first, &second][number % 2];
        let others: Vec<&str> =
            prompt.iter().map(|segment| if *segment == BAD { "_" } else { *segment }).collect();
        served += u32::from(post(gateway, &others).await.status == 200);
    }
    assert!(served >= 10, "{served} of 20 requests with the other segments were served");
}

#[tokio::test]
async fn a_first_segment_that_crashes_servers_is_refused_by_all_gateways() {
    check_place(0).await;
}

#[tokio::test]
async fn a_middle_segment_that_crashes_servers_is_refused_without_those_before_it() {
    check_place(1).await;
}

#[tokio::test]
async fn a_last_shared_segment_that_crashes_servers_is_refused_without_those_before_it() {
    check_place(2).await;
}

#[tokio::test]
async fn a_restarted_gateway_refuses_a_segment_that_crashed_servers_before() {
    let fleet = Fleet::start(0, ENGINES).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_servers(&fleet, &[&first, &second], PROMPTS[1]).await;
    drop((first, second));
    let third = Gateway::start(&fleet.settings("gateway-3", &[])).await;
    caller::until_ready(&third).await;
    check_knows(&fleet, &third, PROMPTS[1]).await;
}

#[tokio::test]
async fn a_gateway_that_wakes_refuses_a_segment_that_crashed_servers_meanwhile() {
    let fleet = Fleet::start(0, ENGINES).await;
    let (first, second) = two_gateways(&fleet).await;
    second.signal("STOP");
    crash_servers(&fleet, &[&first], PROMPTS[1]).await;
    // The gateway that noticed the crashes is gone before the other one wakes.
    drop(first);
    second.signal("CONT");
    tokio::time::sleep(STABLE_WINDOW).await;
    check_knows(&fleet, &second, PROMPTS[1]).await;
}

#[tokio::test]
async fn of_requests_at_all_gateways_at_once_at_most_one_is_a_trial() {
    let fleet = Fleet::start(0, ENGINES).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_servers(&fleet, &[&first, &second], PROMPTS[1]).await;
    let before = crashes(&fleet.engines);
    let at_once = (0..20).map(|number| post([&first, &second][number % 2], PROMPTS[1]));
    futures_util::future::join_all(at_once).await;
    assert!(crashes(&fleet.engines) <= before + 1);
    let claimed = |gateway: &Gateway| gateway.lines("trial_claimed").len();
    until("the claims are logged", || claimed(&first) + claimed(&second) > 0).await;
    assert_eq!(claimed(&first) + claimed(&second), 1);
}

#[tokio::test]
async fn a_trial_on_a_silent_server_is_not_hedged() {
    let fleet = Fleet::start(0, ENGINES).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_servers(&fleet, &[&first, &second], PROMPTS[1]).await;
    for engine in &fleet.engines {
        engine.set_crash_plan(CrashPlan::default());
        engine.set_behaviour(Behaviour::Unresponsive);
    }
    let executed = || fleet.engines.iter().map(|engine| engine.executed().len()).sum::<usize>();
    let before = executed();
    // The route allows a second attempt.
    let response = post_to(&first, NOTES, PROMPTS[1]).await;
    assert_eq!(first.lines("trial_claimed").len() + second.lines("trial_claimed").len(), 1);
    assert_eq!(executed(), before + 1, "{}", response.status);
}

#[tokio::test]
async fn a_segment_is_served_again_after_one_trial_once_the_fault_is_gone() {
    let fleet = Fleet::start(0, ENGINES).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_servers(&fleet, &[&first, &second], PROMPTS[1]).await;
    let before = crashes(&fleet.engines);
    fleet.engines.iter().for_each(|engine| engine.set_crash_plan(CrashPlan::default()));
    for gateway in [&first, &second, &first, &second] {
        while post(gateway, PROMPTS[1]).await.status != 200 {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    assert_eq!(crashes(&fleet.engines), before);
}

#[tokio::test]
async fn a_refusal_of_a_segment_tells_the_caller_and_names_it() {
    let fleet = Fleet::start(0, ENGINES).await;
    let (first, second) = two_gateways(&fleet).await;
    crash_servers(&fleet, &[&first, &second], PROMPTS[1]).await;
    // The first one may be a trial.
    post(&second, PROMPTS[1]).await;
    let response = post(&second, PROMPTS[1]).await;
    assert_eq!(response.status, 503);
    assert!(response.body.contains("prompt_crashes_servers"), "{}", response.body);
    assert!(response.header("retry-after").is_some());
    until("the refusal is logged", || {
        let lines = second.lines("request_refused");
        let last = lines.iter().rev().find(|line| line["reason"] == "prompt_crashes_servers");
        last.is_some_and(|line| line["crashing_parts"].to_string().contains(BAD))
    })
    .await;
    assert!(caller::metrics(&second).await.contains("refusals{kind=\"prompt_crashes_servers\"}"));
}
