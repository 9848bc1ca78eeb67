//! Generated histories of gateways that send to servers with limits, judged by the platform's rule.

mod common;

use common::id;
use dispatch::limits::{Asks, GRANT_TTL_MS, Grant, GrantTable, OrganisationTag, Urgency, holders};
use dispatch::registry::ServerId;
use dispatch::terms::{Terms, TermsReport, TermsTable};
use protocol::ids::{FailureDomain, HostName, Incarnation};
use protocol::rate::RequestRate;
use quickcheck::{Arbitrary, Gen};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

const LENGTH_MS: u64 = 24_000;
/// When servers may first name limits.
const NAMED_MS: u64 = 2_000;
/// The time that gateways have to obey, the time in which requests are counted, and the time after a
/// disturbance for which a gateway is excused.
const WINDOW_MS: u64 = 4_000;
/// How long a gateway must have passed on a limit for its requests to count.
const NOTICE_MS: u64 = 500;
const ANSWER_TIMEOUT_MS: u64 = 120;
const FIRST: Incarnation = Incarnation::new(1);

/// What happens in a history.
#[derive(Clone, Copy, Debug)]
struct Plan {
    gateways: usize,
    servers: usize,
    /// The requests for each server, a second.
    demand_per_s: f64,
    has_kills: bool,
    has_freezes: bool,
    has_cuts: bool,
    has_changes: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Arrive,
    /// A question reaches a holder, or times out on the way.
    Ask {
        question: Question,
        holder: usize,
    },
    /// A holder's answer reaches the gateway that asked.
    Reply {
        question: Question,
        holder: usize,
        reply: Option<(Grant, TermsReport)>,
    },
    Reach {
        server: usize,
        gateway: usize,
    },
    Answer {
        server: usize,
        gateway: usize,
        terms: Terms,
        written_ms: u64,
        process: u32,
    },
    Share {
        to: usize,
        reports: Vec<TermsReport>,
        sent_ms: u64,
    },
    Change(usize),
    Disturb,
    Restore(usize),
}

#[derive(Clone, Debug)]
struct Question {
    gateway: usize,
    process: u32,
    server: usize,
    asked_ms: u64,
    urgency: Urgency,
    organisation: OrganisationTag,
    /// The holders that did not answer.
    failed: usize,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Trouble {
    Killed,
    Frozen,
    Cut,
}

#[derive(Debug, Default)]
struct Gateway {
    terms: TermsTable,
    grants: GrantTable,
    asks: Asks,
    process: u32,
    trouble: Option<Trouble>,
    /// When it was last disturbed, and when it passed on a limit of each server first.
    disturbed_ms: Option<u64>,
    passed_on_ms: HashMap<usize, u64>,
    weight: f64,
}

#[derive(Debug, Default)]
struct Server {
    /// The limits from each time on.
    limits: Vec<(u64, Option<f64>)>,
    /// When requests arrived, and whether they count.
    arrivals: Vec<(u64, bool)>,
}

impl Server {
    fn limit(&self, at_ms: u64) -> Option<f64> {
        self.limits
            .iter()
            .rev()
            .find(|(from_ms, _)| *from_ms <= at_ms)
            .and_then(|(_, limit)| *limit)
    }

    /// Returns the requests that the rule allows in the window from a time on; `None` where it does
    /// not hold. A limit counts for a while after it has fallen.
    fn allowed(&self, from_ms: u64) -> Option<f64> {
        const STEP_MS: u64 = 50;
        let mut sends = 0.0;
        for at_ms in (from_ms..from_ms + WINDOW_MS).step_by(STEP_MS as usize) {
            let highest = (0..=NOTICE_MS / STEP_MS)
                .map(|step| self.limit(at_ms.saturating_sub(step * STEP_MS)));
            let highest: Option<Vec<f64>> = highest.collect();
            sends += highest?.into_iter().fold(0.0, f64::max) * STEP_MS as f64 / 1_000.0;
        }
        Some(1.5 * sends + 5.0)
    }

    /// Returns the first window with more requests than allowed.
    fn find_excess(&self) -> Option<(u64, usize, f64)> {
        let counted: Vec<u64> =
            self.arrivals.iter().filter(|(_, counts)| *counts).map(|(at_ms, _)| *at_ms).collect();
        let first_ms = self.limits.iter().find(|(_, limit)| limit.is_some())?.0;
        counted.iter().enumerate().find_map(|(index, from_ms)| {
            if *from_ms < first_ms + WINDOW_MS {
                return None;
            }
            let count = counted.partition_point(|at_ms| *at_ms < from_ms + WINDOW_MS) - index;
            let allowed = self.allowed(*from_ms)?;
            (count as f64 > allowed).then_some((*from_ms, count, allowed))
        })
    }
}

struct World {
    plan: Plan,
    draws: Gen,
    now_ms: u64,
    number: usize,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: HashMap<usize, Event>,
    gateways: Vec<Gateway>,
    names: Vec<(HostName, FailureDomain)>,
    servers: Vec<Server>,
}

impl World {
    fn new(plan: Plan, seed: u64) -> Self {
        let mut draws = Gen::from_size_and_seed(100, seed);
        let domains = ["east-1", "east-2", "west-1"];
        let name = |index: usize| (id(&format!("gateway-{index}")), id(domains[index % 3]));
        let mut gateways: Vec<Gateway> = (0..plan.gateways).map(|_| Gateway::default()).collect();
        for gateway in &mut gateways {
            // Callers are spread unevenly.
            gateway.weight = f64::from(u32::arbitrary(&mut draws) % 100).powi(2) + 1.0;
        }
        let mut world = Self {
            plan,
            draws,
            now_ms: 0,
            number: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            gateways,
            names: (0..plan.gateways).map(name).collect(),
            servers: (0..plan.servers).map(|_| Server::default()).collect(),
        };
        world.schedule(0, Event::Arrive);
        for server in 0..plan.servers {
            world.schedule(NAMED_MS, Event::Change(server));
        }
        if plan.has_kills || plan.has_freezes || plan.has_cuts {
            world.schedule(1_000, Event::Disturb);
        }
        world
    }

    fn draw(&mut self, below: u64) -> u64 {
        u64::arbitrary(&mut self.draws) % below.max(1)
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((self.now_ms + delay_ms, self.number)));
    }

    fn play(mut self) -> Vec<Server> {
        while let Some(Reverse((at_ms, number))) = self.queue.pop() {
            if at_ms > LENGTH_MS {
                break;
            }
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        self.servers
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Ask { question, holder } => self.ask(question, holder),
            Event::Reply { question, holder, reply } => self.reply(question, holder, reply),
            Event::Reach { server, gateway } => self.reach(server, gateway),
            Event::Answer { server, gateway, terms, written_ms, process } => {
                let is_same = self.gateways[gateway].process == process;
                if self.gateways[gateway].trouble == Some(Trouble::Frozen) {
                    self.schedule(
                        50,
                        Event::Answer { server, gateway, terms, written_ms, process },
                    );
                } else if is_same && self.gateways[gateway].trouble != Some(Trouble::Killed) {
                    self.answer(server, gateway, terms, written_ms);
                }
            }
            Event::Share { to, reports, sent_ms } => self.share(to, reports, sent_ms),
            Event::Change(server) => self.change(server),
            Event::Disturb => self.disturb(),
            Event::Restore(gateway) => self.restore(gateway),
        }
    }

    fn server_id(server: usize) -> ServerId {
        ServerId::new(format!("server-{server}"))
    }

    fn arrive(&mut self) {
        let per_s = self.plan.demand_per_s * self.plan.servers as f64;
        let mean_ms = (1_000.0 / per_s) as u64;
        let delay_ms = self.draw(2 * mean_ms) + 1;
        self.schedule(delay_ms, Event::Arrive);
        let total: f64 = self.gateways.iter().map(|gateway| gateway.weight).sum();
        let mut point = self.draw(1 << 30) as f64 / f64::from(1 << 30) * total;
        let gateway = self.gateways.iter().position(|gateway| {
            point -= gateway.weight;
            point < 0.0
        });
        let gateway = gateway.unwrap_or(0);
        let server = self.draw(self.plan.servers as u64) as usize;
        let urgency = Urgency::new(self.draw(3) as u8);
        let organisation = self.draw(5).to_string();
        let held = &self.gateways[gateway];
        if matches!(held.trouble, Some(Trouble::Killed | Trouble::Frozen)) {
            return;
        }
        let server_id = Self::server_id(server);
        if held.terms.terms(&server_id, FIRST).limit.is_none() {
            let delay_ms = 1 + self.draw(12);
            return self.schedule(delay_ms, Event::Reach { server, gateway });
        }
        if held.asks.refused_until_ms(&server_id, FIRST, urgency, self.now_ms).is_some() {
            return;
        }
        let question = Question {
            gateway,
            process: held.process,
            server,
            asked_ms: self.now_ms,
            urgency,
            organisation: OrganisationTag::new(Some(&id(&format!("o{organisation}")))),
            failed: 0,
        };
        self.ask_next(question);
    }

    /// Sends a question to the first holder that may be asked.
    fn ask_next(&mut self, question: Question) {
        let server = Self::server_id(question.server);
        let local = &self.names[question.gateway].0;
        let asks = &self.gateways[question.gateway].asks;
        let listed = self.names.iter().filter(|(host, _)| host == local || !asks.is_replaced(host));
        let listed: Vec<_> = listed.map(|(host, domain)| (host, domain)).collect();
        let found = holders(&server, &listed);
        let may_ask = |host: &HostName| host == local || asks.may_ask(host, self.now_ms);
        let next = found.into_iter().skip(question.failed).find(|host| may_ask(host));
        let Some(holder) =
            next.and_then(|next| self.names.iter().position(|(host, _)| host == next))
        else {
            let until_ms = self.now_ms + 300;
            let gateway = &mut self.gateways[question.gateway];
            return gateway.asks.refuse(&server, FIRST, question.urgency, until_ms);
        };
        let delay_ms = if holder == question.gateway { 0 } else { 1 + self.draw(14) };
        self.schedule(delay_ms, Event::Ask { question, holder });
    }

    fn is_reachable(&self, from: usize, to: usize) -> bool {
        let is_cut = |gateway: usize| self.gateways[gateway].trouble == Some(Trouble::Cut);
        let is_up = !matches!(self.gateways[to].trouble, Some(Trouble::Killed | Trouble::Frozen));
        from == to || (is_up && !is_cut(from) && !is_cut(to))
    }

    fn ask(&mut self, question: Question, holder: usize) {
        let server = Self::server_id(question.server);
        if !self.is_reachable(question.gateway, holder) {
            let event = Event::Reply { question, holder, reply: None };
            return self.schedule(ANSWER_TIMEOUT_MS, event);
        }
        let report = self.gateways[question.gateway].terms.report(&server, self.now_ms);
        let now_ms = self.now_ms;
        let held = &mut self.gateways[holder];
        if let Some(report) = report {
            apply(&mut held.terms, &report, now_ms);
        }
        let Some(known) = held.terms.report(&server, now_ms) else { return };
        let grant = known.terms.limit.map_or(Grant::Granted, |limit| {
            let Question { urgency, organisation, .. } = question;
            held.grants.take(&server, FIRST, limit, urgency, organisation, now_ms)
        });
        let delay_ms = if holder == question.gateway { 0 } else { 1 + self.draw(14) };
        self.schedule(delay_ms, Event::Reply { question, holder, reply: Some((grant, known)) });
    }

    fn reply(&mut self, question: Question, holder: usize, reply: Option<(Grant, TermsReport)>) {
        let now_ms = self.now_ms;
        let server = Self::server_id(question.server);
        let gateway = &mut self.gateways[question.gateway];
        match gateway.trouble {
            Some(Trouble::Frozen) => {
                return self.schedule(50, Event::Reply { question, holder, reply });
            }
            Some(Trouble::Killed) => return,
            Some(Trouble::Cut) | None => {}
        }
        if gateway.process != question.process {
            return;
        }
        let Some((grant, report)) = reply else {
            gateway.asks.record_failure(&self.names[holder].0, now_ms);
            return self.ask_next(Question { failed: question.failed + 1, ..question });
        };
        gateway.asks.record_answer(&self.names[holder].0);
        apply(&mut gateway.terms, &report, now_ms);
        match grant {
            Grant::Granted if now_ms <= question.asked_ms + GRANT_TTL_MS => {
                let delay_ms = 1 + self.draw(12);
                let Question { server, gateway, .. } = question;
                self.schedule(delay_ms, Event::Reach { server, gateway });
            }
            Grant::Granted => {}
            Grant::Refused { retry_after_ms } => {
                let until_ms = now_ms + retry_after_ms;
                gateway.asks.refuse(&server, FIRST, question.urgency, until_ms);
            }
        }
    }

    fn reach(&mut self, server: usize, gateway: usize) {
        let now_ms = self.now_ms;
        let held = &self.gateways[gateway];
        let was_passed_on =
            held.passed_on_ms.get(&server).is_some_and(|at_ms| at_ms + NOTICE_MS <= now_ms);
        let is_excused = held.trouble.is_some()
            || held.disturbed_ms.is_some_and(|at_ms| now_ms < at_ms + WINDOW_MS);
        self.servers[server].arrivals.push((now_ms, was_passed_on && !is_excused));
        let process = held.process;
        let limit = self.servers[server].limit(now_ms);
        let limit = limit.map(|per_s| RequestRate::new(per_s).unwrap());
        let terms = Terms { limit, ..Terms::default() };
        let delay_ms = 1 + self.draw(300);
        let answer = Event::Answer { server, gateway, terms, written_ms: now_ms, process };
        self.schedule(delay_ms, answer);
    }

    fn answer(&mut self, server: usize, gateway: usize, terms: Terms, written_ms: u64) {
        let now_ms = self.now_ms;
        let held = &mut self.gateways[gateway];
        if terms.limit.is_some() {
            held.passed_on_ms.entry(server).or_insert(now_ms);
        }
        let changed = held.terms.record(&Self::server_id(server), FIRST, terms, written_ms);
        if changed.is_none() {
            return;
        }
        if terms.limit.is_none() {
            held.asks.forget(&Self::server_id(server));
        }
        let reports = held.terms.reports(now_ms);
        for to in (0..self.plan.gateways).filter(|to| *to != gateway) {
            if self.is_reachable(gateway, to) {
                let delay_ms = 20 + self.draw(60);
                let reports = reports.clone();
                self.schedule(delay_ms, Event::Share { to, reports, sent_ms: now_ms });
            }
        }
    }

    fn share(&mut self, to: usize, reports: Vec<TermsReport>, sent_ms: u64) {
        if matches!(self.gateways[to].trouble, Some(Trouble::Killed | Trouble::Frozen)) {
            return;
        }
        for report in &reports {
            apply(&mut self.gateways[to].terms, report, sent_ms);
        }
    }

    fn change(&mut self, server: usize) {
        const LIMITS: [f64; 8] = [0.0, 0.4, 1.2, 1.8, 1.3, 4.0, 9.0, 25.0];
        let limit = LIMITS[self.draw(LIMITS.len() as u64) as usize];
        let ends = self.plan.has_changes && self.now_ms > NAMED_MS && self.draw(5) == 0;
        self.servers[server].limits.push((self.now_ms, (!ends).then_some(limit)));
        if self.plan.has_changes {
            let delay_ms = 1_500 + self.draw(8_000);
            self.schedule(delay_ms, Event::Change(server));
        }
    }

    fn disturb(&mut self) {
        let delay_ms = 500 + self.draw(3_000);
        self.schedule(delay_ms, Event::Disturb);
        let gateway = self.draw(self.plan.gateways as u64) as usize;
        let kinds = [
            self.plan.has_kills.then_some(Trouble::Killed),
            self.plan.has_freezes.then_some(Trouble::Frozen),
            self.plan.has_cuts.then_some(Trouble::Cut),
        ];
        let kinds: Vec<Trouble> = kinds.into_iter().flatten().collect();
        let trouble = kinds[self.draw(kinds.len() as u64) as usize];
        let held = &mut self.gateways[gateway];
        if held.trouble.is_some() {
            return;
        }
        held.trouble = Some(trouble);
        held.disturbed_ms = Some(self.now_ms);
        let delay_ms = 300 + self.draw(9_000);
        self.schedule(delay_ms, Event::Restore(gateway));
    }

    fn restore(&mut self, gateway: usize) {
        let held = &mut self.gateways[gateway];
        if held.trouble == Some(Trouble::Killed) {
            let (process, weight) = (held.process + 1, held.weight);
            *held = Gateway { process, weight, ..Gateway::default() };
        }
        held.trouble = None;
        held.disturbed_ms = Some(self.now_ms);
    }
}

fn apply(terms: &mut TermsTable, report: &TermsReport, now_ms: u64) {
    let written_ms = now_ms.saturating_sub(report.age_ms);
    terms.record(&report.server, report.incarnation, report.terms, written_ms);
}

fn plan(seed: u64) -> Plan {
    let mut draws = Gen::from_size_and_seed(100, seed ^ 0x5eed);
    let mut is = || bool::arbitrary(&mut draws);
    let (has_kills, has_freezes, has_cuts, has_changes) = (is(), is(), is(), is());
    Plan {
        gateways: [3, 7, 7, 30, 7, 100][seed as usize % 6],
        servers: 1 + seed as usize % 3,
        demand_per_s: [3.0, 8.0, 20.0][seed as usize / 6 % 3],
        has_kills,
        has_freezes,
        has_cuts,
        has_changes,
    }
}

#[test]
fn limits_hold_over_all_gateways_in_generated_histories() {
    const HISTORIES: u64 = 4_000;
    let excesses: Vec<_> = (0..HISTORIES)
        .filter_map(|seed| {
            let servers = World::new(plan(seed), seed).play();
            servers.iter().find_map(Server::find_excess).map(|excess| (seed, plan(seed), excess))
        })
        .collect();
    assert!(excesses.is_empty(), "{} histories, first {:?}", excesses.len(), excesses.first());
}

/// Where nothing else happens and enough requests come, a server gets half of its limit or more.
#[test]
fn limited_servers_get_at_least_half_of_their_limit_in_the_steady_state() {
    const HISTORIES: u64 = 400;
    for seed in 0..HISTORIES {
        let plan = Plan {
            has_kills: false,
            has_freezes: false,
            has_cuts: false,
            has_changes: false,
            ..plan(seed)
        };
        let from_ms = NAMED_MS + WINDOW_MS;
        for server in World::new(plan, seed).play() {
            let limit_per_s = server.limit(LENGTH_MS).unwrap();
            // A few requests a second for each of three servers leave gaps.
            let expected_per_s = limit_per_s.min(plan.demand_per_s / 2.0) / 2.0;
            let got = server.arrivals.iter().filter(|(at_ms, _)| *at_ms >= from_ms).count();
            let got_per_s = got as f64 * 1_000.0 / (LENGTH_MS - from_ms) as f64;
            assert!(
                got_per_s >= expected_per_s,
                "seed {seed}: {got_per_s:.2} of {limit_per_s} a second, {plan:?}"
            );
        }
    }
}
