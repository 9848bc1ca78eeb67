//! Generated histories of bodies, answers, calls, tunnels and connections that share one account of
//! memory.

use gateway::memory::{Ledger, MemoryAccount, MemoryShare, Purpose, SMALL_BODY_BYTES};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::sync::Arc;

/// The account of the smallest hosts, in bytes.
const SIZE_BYTES: usize = 60_000_000;
/// An account that the histories fill, in bytes.
const FILLED_BYTES: usize = 12_000_000;
/// The most bytes by which a share grows at once.
const MAX_GROWTH_BYTES: usize = 5_000_000;
/// The size up to which an answer is always held, in bytes.
const SMALL_ANSWER_BYTES: usize = 16 * 1024;
/// What fills an account step by step, in bytes.
const HELD_AT_ONCE_BYTES: usize = 16 * 1024;
/// Fixes the histories.
const SEED: u64 = 40;
const HISTORIES: u64 = 4_000;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A body is announced or grows; it ends if there is no room.
    Body { bytes: usize },
    /// A frame of an answer or of a call's answer arrives; its connection closes if there is no room.
    Frame { purpose: Purpose, share: usize, bytes: usize },
    /// A tunnel opens, if there is room.
    Tunnel { bytes: usize },
    /// A caller connects, whether there is room or not.
    Connection { bytes: usize },
    /// A share ends.
    End { share: usize },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let share = usize::arbitrary(g);
        // Small and large sizes are equally frequent.
        let bits = u32::arbitrary(g) % 23;
        let bytes = (usize::arbitrary(g) % (1 << (bits + 1))).min(MAX_GROWTH_BYTES);
        match u8::arbitrary(g) % 16 {
            0..6 => Self::Body { bytes },
            6..9 => Self::Frame { purpose: Purpose::Answers, share, bytes },
            9..11 => Self::Frame { purpose: Purpose::Calls, share, bytes },
            11 => Self::Tunnel { bytes: bytes.min(64 * 1024) },
            12 => Self::Connection { bytes: bytes.min(32 * 1024) },
            _ => Self::End { share },
        }
    }
}

/// The account, and the shares that are held.
struct Simulation {
    account: Arc<MemoryAccount>,
    shares: Vec<(Purpose, MemoryShare)>,
}

impl Simulation {
    fn new() -> Self {
        Self { account: Arc::new(MemoryAccount::new(FILLED_BYTES)), shares: Vec::new() }
    }

    fn share(&self, purpose: Purpose) -> MemoryShare {
        MemoryShare::new(Arc::clone(&self.account), purpose)
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::Body { bytes } => self.grow(Purpose::body(bytes), bytes),
            Event::Tunnel { bytes } => self.grow(Purpose::Tunnels, bytes),
            Event::Connection { bytes } => {
                let mut share = self.share(Purpose::Connections);
                share.resize(bytes);
                self.shares.push((Purpose::Connections, share));
            }
            Event::Frame { purpose, share, bytes } => self.receive(purpose, share, bytes),
            Event::End { share } => {
                if !self.shares.is_empty() {
                    self.shares.swap_remove(share % self.shares.len());
                }
            }
        }
    }

    fn grow(&mut self, purpose: Purpose, bytes: usize) {
        let before = self.account.ledger();
        let mut share = self.share(purpose);
        let is_held = share.try_grow(bytes);
        let is_promised = before.held_bytes(purpose) + bytes <= before.set_aside_bytes(purpose);
        assert!(is_held || !is_promised, "{purpose:?} of {bytes} found no room in {before:?}");
        if is_held {
            self.shares.push((purpose, share));
        }
    }

    fn receive(&mut self, purpose: Purpose, share: usize, bytes: usize) {
        let begun: Vec<usize> =
            (0..self.shares.len()).filter(|index| self.shares[*index].0 == purpose).collect();
        let index = match begun.len() {
            0 => {
                self.shares.push((purpose, self.share(purpose)));
                self.shares.len() - 1
            }
            count => begun[share % count],
        };
        let size = self.shares[index].1.bytes() + bytes;
        if !self.shares[index].1.resize(size) {
            self.shares.swap_remove(index);
        }
    }

    /// Returns what is held although there may be no room for it.
    fn unconditional_bytes(&self) -> usize {
        let is_unconditional = |(purpose, share): &&(Purpose, MemoryShare)| match purpose {
            Purpose::Connections => true,
            Purpose::Answers | Purpose::Calls => share.bytes() <= SMALL_ANSWER_BYTES,
            _ => false,
        };
        self.shares.iter().filter(is_unconditional).map(|(_, share)| share.bytes()).sum()
    }

    fn check(&self) {
        let ledger = self.account.ledger();
        for purpose in Purpose::ALL {
            let of_purpose = self.shares.iter().filter(|(of, _)| *of == purpose);
            let held: usize = of_purpose.map(|(_, share)| share.bytes()).sum();
            assert_eq!(ledger.held_bytes(purpose), held, "{purpose:?}");
        }
        let bounded = ledger.total_bytes() - self.unconditional_bytes();
        assert!(bounded <= FILLED_BYTES, "{bounded} bytes are held: {ledger:?}");
    }
}

#[test]
fn the_account_is_never_exceeded_and_all_room_comes_back() {
    fn holds(events: Vec<Event>) -> bool {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.play(event);
            simulation.check();
        }
        let account = Arc::clone(&simulation.account);
        drop(simulation);
        account.ledger().total_bytes() == 0
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, SEED))
        .tests(HISTORIES)
        .quickcheck(holds as fn(Vec<Event>) -> bool);
}

#[test]
fn large_bodies_leave_room_for_small_ones_and_for_answers() {
    let mut ledger = Ledger::new(SIZE_BYTES);
    let large = 4 << 20;
    while ledger.try_hold(Purpose::LargeBodies, large) {}
    assert!(ledger.held_bytes(Purpose::LargeBodies) >= SIZE_BYTES / 3);
    for purpose in [Purpose::SmallBodies, Purpose::Answers, Purpose::Calls, Purpose::Tunnels] {
        assert!(ledger.try_hold(purpose, ledger.set_aside_bytes(purpose)), "{purpose:?}");
    }
    assert!(ledger.total_bytes() <= SIZE_BYTES, "{ledger:?}");
}

#[test]
fn a_flood_of_connections_does_not_take_what_is_set_aside() {
    let mut ledger = Ledger::new(SIZE_BYTES);
    ledger.hold(Purpose::Connections, SIZE_BYTES * 2);
    assert!(!ledger.try_hold(Purpose::LargeBodies, SMALL_BODY_BYTES + 1));
    assert!(ledger.try_hold(Purpose::SmallBodies, SMALL_BODY_BYTES));
    assert!(ledger.try_hold(Purpose::Calls, ledger.set_aside_bytes(Purpose::Calls)));
}

#[test]
fn no_purpose_takes_what_is_set_aside_for_others() {
    for purpose in Purpose::ALL {
        let mut ledger = Ledger::new(SIZE_BYTES);
        for _ in 0..SIZE_BYTES / HELD_AT_ONCE_BYTES + 1 {
            ledger.try_hold(purpose, HELD_AT_ONCE_BYTES);
        }
        let others = Purpose::ALL.into_iter().filter(|other| *other != purpose);
        let set_aside: usize = others.map(|other| ledger.set_aside_bytes(other)).sum();
        assert!(ledger.total_bytes() + set_aside <= SIZE_BYTES, "{purpose:?}: {ledger:?}");
    }
}
