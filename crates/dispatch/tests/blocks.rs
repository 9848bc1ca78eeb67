//! Cached blocks: which ones a plan fetches, saves or leaves alone.

mod common;

use common::{address, configuration, id, regions, request, store};
use dispatch::blocks::{
    BlockChange, BlockIndex, BlockPlan, BlockReport, CacheSalt, Holder, LinkShares, SegmentSource,
    SharingScope, TransferContext,
};
use dispatch::configuration::Configuration;
use dispatch::eligibility::{AllowedRegions, Eligibility};
use dispatch::era::StoreEra;
use dispatch::evacuations::{EvacuationRecord, Evacuations};
use dispatch::registry::EntryPosition;
use dispatch::request::{RequestSpec, SegmentId};
use protocol::ids::{FailureDomain, ModelName, Region};
use std::collections::HashMap;
use std::sync::LazyLock;

const EAST: &str = "127.0.0.1:11";
static ALL_REGIONS: LazyLock<AllowedRegions> = LazyLock::new(AllowedRegions::default);
static NO_EVACUATIONS: LazyLock<Evacuations> = LazyLock::new(|| listed(&[]));
static NO_PEER_USE: LinkShares = LinkShares::new();
const WEST: &str = "127.0.0.1:12";

/// The evacuations of a gateway that has listed those of some domains.
fn listed(domains: &[&str]) -> Evacuations {
    let position = EntryPosition { era: StoreEra::new(1), offset: 0 };
    let mut evacuations = Evacuations::default();
    for domain in domains {
        evacuations
            .record(&EvacuationRecord { domain: id(domain), position, is_evacuated: true }, 0);
    }
    evacuations.read_to(EntryPosition { offset: 9, ..position }, 0);
    evacuations
}

struct Fixture {
    configuration: Configuration,
    regions: HashMap<FailureDomain, Region>,
    domain: FailureDomain,
    index: BlockIndex,
}

impl Fixture {
    /// A fast store in each region, both listed and empty.
    fn new(memory_tokens: u64) -> Self {
        let stores = vec![
            store(EAST, "east-2", memory_tokens, 81_000.0),
            store(WEST, "west-1", memory_tokens, 32_000.0),
        ];
        let mut fixture = Self {
            configuration: configuration(stores),
            regions: regions(),
            domain: id("east-1"),
            index: BlockIndex::new(),
        };
        fixture.report(EAST, 1, Vec::new());
        fixture.report(WEST, 1, Vec::new());
        fixture
    }

    fn report(&mut self, store: &str, boot_epoch: u64, changes: Vec<BlockChange>) {
        let report = BlockReport { boot_epoch, has_gap: false, changes };
        self.index.apply(address(store), &report);
    }

    fn transfer_context(&self) -> TransferContext<'_> {
        transfer_context(&self.domain, &self.regions, &NO_PEER_USE)
    }

    fn sources(&self, request: &RequestSpec, salt: &CacheSalt, now_ms: u64) -> Vec<SegmentSource> {
        let plan =
            self.index.plan(&self.configuration, request, salt, &self.transfer_context(), now_ms);
        plan.sources.to_vec()
    }

    fn book(&mut self, request: &RequestSpec, salt: &CacheSalt, now_ms: u64) {
        let (domain, regions) = (self.domain.clone(), self.regions.clone());
        let transfer_context = transfer_context(&domain, &regions, &NO_PEER_USE);
        let plan = self.index.plan(&self.configuration, request, salt, &transfer_context, now_ms);
        self.index.book(&self.configuration, request, salt, &transfer_context, &plan, now_ms);
    }
}

/// The context of one of seven gateways, of which the other six report no link use unless the test
/// sets it.
fn transfer_context<'a>(
    domain: &'a FailureDomain,
    regions: &'a HashMap<FailureDomain, Region>,
    peer_link_use: &'a LinkShares,
) -> TransferContext<'a> {
    TransferContext {
        domain,
        regions,
        eligibility: Eligibility::new(&ALL_REGIONS, regions, &NO_EVACUATIONS),
        engines: &[],
        engine_link_mbps: Some(280_000.0),
        token_bytes: 18_432,
        prefill_tokens_per_ms: 55.0,
        peer_link_use,
        gateway_ratio: 7.0,
    }
}

fn salt(version: u64) -> CacheSalt {
    let scope = SharingScope::Shared(None);
    CacheSalt::new(&id::<ModelName>("m"), version, &scope, &AllowedRegions::default())
}

fn stored(salt: &CacheSalt, segment: u64, tokens: u64) -> BlockChange {
    BlockChange::Stored((salt.clone(), SegmentId::new(segment)), tokens)
}

#[test]
fn only_blocks_reported_complete_are_fetched() {
    let mut fixture = Fixture::new(500_000);
    let request = request(9, 8_000, 2_000);
    use SegmentSource::{BeingSaved, Private, Store, Uncached};
    assert_eq!(fixture.sources(&request, &salt(1), 0), [Uncached, Uncached, Private]);
    fixture.book(&request, &salt(1), 0);
    assert_eq!(fixture.sources(&request, &salt(1), 10), [BeingSaved, BeingSaved, Private]);
    fixture.report(EAST, 1, vec![stored(&salt(1), 1, 512), stored(&salt(1), 9, 8_000)]);
    assert_eq!(fixture.sources(&request, &salt(1), 20), [Store, Store, Private]);
}

#[test]
fn an_incomplete_block_is_not_fetched() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 7_999)]);
    assert_ne!(fixture.sources(&request(9, 8_000, 2_000), &salt(1), 0)[1], SegmentSource::Store);
}

#[test]
fn a_restarted_store_holds_nothing() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000)]);
    fixture.report(EAST, 2, Vec::new());
    assert_eq!(fixture.sources(&request(9, 8_000, 2_000), &salt(1), 0)[1], SegmentSource::Uncached);
}

#[test]
fn an_unreachable_store_is_neither_read_nor_written() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000)]);
    fixture.index.forget_store(address(EAST));
    fixture.index.forget_store(address(WEST));
    let request = request(9, 8_000, 2_000);
    let plan = fixture.index.plan(
        &fixture.configuration,
        &request,
        &salt(1),
        &fixture.transfer_context(),
        0,
    );
    assert!(plan.fetch.iter().chain(&plan.save).all(Option::is_none));
}

#[test]
fn blocks_of_other_weights_and_other_organisations_do_not_match() {
    let mut fixture = Fixture::new(500_000);
    let scope = SharingScope::Dedicated(id("alpha"));
    let dedicated = CacheSalt::new(&id::<ModelName>("m"), 1, &scope, &AllowedRegions::default());
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000), stored(&dedicated, 8, 8_000)]);
    let request_9 = request(9, 8_000, 2_000);
    assert_eq!(fixture.sources(&request_9, &salt(2), 0)[1], SegmentSource::Uncached);
    assert_eq!(fixture.sources(&request_9, &dedicated, 0)[1], SegmentSource::Uncached);
    assert_eq!(fixture.sources(&request(8, 8_000, 2_000), &salt(1), 0)[1], SegmentSource::Uncached);
}

#[test]
fn retired_blocks_are_not_used_and_are_listed_as_outdated() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000), stored(&salt(2), 9, 8_000)]);
    let model: ModelName = id("m");
    fixture.index.retirements.retire(&model, 2);
    let request = request(9, 8_000, 2_000);
    assert_eq!(fixture.sources(&request, &salt(1), 0)[1], SegmentSource::Retired);
    assert_eq!(fixture.sources(&request, &salt(2), 0)[1], SegmentSource::Store);
    let (epoch, blocks) = fixture.index.outdated(address(EAST), &model, 2);
    assert_eq!((epoch, blocks), (Some(1), vec![(salt(1), SegmentId::new(9))]));
    assert!(fixture.index.outdated(address(EAST), &id("other"), 9).1.is_empty());
}

#[test]
fn nothing_is_saved_to_a_full_store() {
    let mut fixture = Fixture::new(10_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 7, 9_000)]);
    let request = request(9, 8_000, 2_000);
    let plan = fixture.index.plan(
        &fixture.configuration,
        &request,
        &salt(1),
        &fixture.transfer_context(),
        0,
    );
    assert_eq!(plan.save[1], None);
    assert_eq!(plan.uncacheable_tokens, 8_000);
}

#[test]
fn a_block_stored_anywhere_is_not_saved_twice() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(WEST, 1, vec![stored(&salt(1), 9, 8_000)]);
    let request = request(9, 8_000, 2_000);
    let plan = fixture.index.plan(
        &fixture.configuration,
        &request,
        &salt(1),
        &fixture.transfer_context(),
        0,
    );
    assert_eq!(plan.save[1], None);
    assert_eq!(
        plan.sources[1],
        SegmentSource::FetchTooSlow,
        "ten times the transfer of 40 ms is too long"
    );
}

#[test]
fn a_segment_is_recomputed_when_the_link_is_saturated() {
    let mut fixture = Fixture::new(2_000_000);
    let blocks = (100..400).map(|segment| stored(&salt(1), segment, 2_000)).collect();
    fixture.report(EAST, 1, blocks);
    let short_request = |segment| request(segment, 2_000, 500);
    assert_eq!(fixture.sources(&short_request(100), &salt(1), 0)[1], SegmentSource::Store);
    for segment in 100..400 {
        fixture.book(&short_request(segment), &salt(1), 0);
    }
    assert_eq!(fixture.sources(&short_request(100), &salt(1), 0)[1], SegmentSource::FetchTooSlow);
    assert_eq!(fixture.sources(&short_request(100), &salt(1), 20_000)[1], SegmentSource::Store);
}

/// Load pattern: with many gateways, the transfers of each one are rare. A single transfer must not
/// make a link look saturated.
#[test]
fn one_transfer_at_one_of_many_gateways_does_not_saturate_the_link() {
    let mut fixture = Fixture::new(2_000_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000)]);
    let (domain, regions) = (fixture.domain.clone(), fixture.regions.clone());
    let transfer_context = TransferContext {
        gateway_ratio: 87.0,
        ..transfer_context(&domain, &regions, &NO_PEER_USE)
    };
    let request = request(9, 8_000, 2_000);
    let plan = fixture.index.plan(&fixture.configuration, &request, &salt(1), &transfer_context, 0);
    let mut index = std::mem::take(&mut fixture.index);
    index.book(&fixture.configuration, &request, &salt(1), &transfer_context, &plan, 0);
    let again = index.plan(&fixture.configuration, &request, &salt(1), &transfer_context, 100);
    assert_eq!(again.sources[1], SegmentSource::Store);
}

/// Load pattern: the largest store of a region serves two thirds of its engines, and its link is
/// nearly always busy. Waiting for it takes far less time than recomputing a long segment.
#[test]
fn fetching_a_long_segment_over_a_busy_link_beats_recomputing_it() {
    let mut fixture = Fixture::new(2_000_000);
    let blocks = (100..400).map(|segment| stored(&salt(1), segment, 8_600)).collect();
    fixture.report(EAST, 1, blocks);
    // A transfer takes 32 ms; seven gateways start seven each within the window of 1,500 ms.
    for segment in 100..107 {
        fixture.book(&request(segment, 8_600, 2_900), &salt(1), 0);
    }
    assert_eq!(
        fixture.sources(&request(200, 8_600, 2_900), &salt(1), 150)[1],
        SegmentSource::Store
    );
}

/// Load pattern: each of many gateways fetches a long segment occasionally, from which alone the
/// link's utilisation cannot be estimated. The reports of all gateways give it.
#[test]
fn reported_link_use_replaces_the_estimate_from_local_transfers() {
    let mut fixture = Fixture::new(2_000_000);
    let blocks = (100..110).map(|segment| stored(&salt(1), segment, 8_600)).collect();
    fixture.report(EAST, 1, blocks);
    let (domain, regions) = (fixture.domain.clone(), fixture.regions.clone());
    let mut index = std::mem::take(&mut fixture.index);
    let planned = request(100, 8_600, 2_900);
    let peer_use = |thousandths| LinkShares::from([(address(EAST), thousandths)]);
    let source = |index: &BlockIndex, peer_link_use: &LinkShares, gateway_ratio| {
        let transfer_context =
            TransferContext { gateway_ratio, ..transfer_context(&domain, &regions, peer_link_use) };
        index.plan(&fixture.configuration, &planned, &salt(1), &transfer_context, 0).sources[1]
    };
    let transfer_context_87 = TransferContext {
        gateway_ratio: 87.0,
        ..transfer_context(&domain, &regions, &NO_PEER_USE)
    };
    for segment in 101..110 {
        let other = request(segment, 8_600, 2_900);
        let plan = index.plan(&fixture.configuration, &other, &salt(1), &transfer_context_87, 0);
        index.book(&fixture.configuration, &other, &salt(1), &transfer_context_87, &plan, 0);
    }
    assert_eq!(source(&index, &NO_PEER_USE, 87.0), SegmentSource::FetchTooSlow);
    assert_eq!(source(&index, &peer_use(200), 1.0), SegmentSource::Store);
    assert_eq!(source(&index, &peer_use(1_000), 1.0), SegmentSource::FetchTooSlow);
    let local = index.local_link_shares(1.0, 0);
    assert_eq!(local.keys().collect::<Vec<_>>(), [&address(EAST)]);
}

const ENGINE: &str = "127.0.0.1:21";

/// Plans for a server of the first domain, with an engine in the second domain that holds the
/// blocks it reported.
fn plan_with_engine(fixture: &Fixture, has_session: bool, now_ms: u64) -> BlockPlan {
    let engine_domain: FailureDomain = id("east-2");
    let holder = Holder { address: address(ENGINE), domain: &engine_domain, has_session };
    let transfer_context = TransferContext { engines: &[holder], ..fixture.transfer_context() };
    let request = request(9, 8_000, 2_000);
    fixture.index.plan(&fixture.configuration, &request, &salt(1), &transfer_context, now_ms)
}

fn report_engine(fixture: &mut Fixture, boot_epoch: u64, changes: Vec<BlockChange>, now_ms: u64) {
    let report = BlockReport { boot_epoch, has_gap: false, changes };
    fixture.index.apply_engine(address(ENGINE), &report, now_ms);
}

/// Load pattern: a session returns within seconds, while an engine holds its blocks and the store's
/// link is slow or the save is still in progress.
#[test]
fn blocks_in_an_engines_memory_are_fetched_from_it() {
    use SegmentSource::{Engine, Private, Store, Uncached};
    let mut fixture = Fixture::new(500_000);
    let sources = |fixture: &Fixture, now_ms| plan_with_engine(fixture, false, now_ms).sources;
    report_engine(&mut fixture, 1, vec![stored(&salt(1), 9, 8_000)], 0);
    assert_eq!(sources(&fixture, 10).as_slice(), [Uncached, Engine, Private]);
    let plan = plan_with_engine(&fixture, false, 10);
    assert_eq!(plan.fetch[1], Some(address(ENGINE)));
    assert!(plan.segment_fetch_ms[1] < 80.0, "{}", plan.segment_fetch_ms[1]);
    assert_eq!(sources(&fixture, 6_000)[1], Uncached, "reports expire");

    report_engine(&mut fixture, 1, vec![stored(&salt(1), 9, 4_000)], 20);
    assert_eq!(sources(&fixture, 30)[1], Uncached, "the block was partly evicted");
    report_engine(&mut fixture, 1, vec![stored(&salt(1), 9, 8_000)], 40);
    report_engine(&mut fixture, 2, vec![stored(&salt(1), 1, 512)], 50);
    assert_eq!(
        sources(&fixture, 60).as_slice(),
        [Engine, Uncached, Private],
        "the engine restarted"
    );
    fixture.index.forget_engine(address(ENGINE));
    assert_eq!(sources(&fixture, 70).as_slice(), [Uncached, Uncached, Private]);
    let running = plan_with_engine(&fixture, true, 80).sources;
    assert_eq!(
        running.as_slice(),
        [Engine, Engine, Private],
        "the blocks of a running session count without a report"
    );

    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000)]);
    assert_eq!(sources(&fixture, 90)[1], Store);
}

#[test]
fn resident_blocks_are_neither_recomputed_nor_fetched() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000)]);
    let request = request(9, 8_000, 2_000);
    let prompt = request.prompt.as_ref().unwrap();
    report_engine(&mut fixture, 1, vec![stored(&salt(1), 9, 8_000)], 0);
    let resident =
        |fixture: &Fixture| fixture.index.resident_blocks(address(ENGINE), prompt, &salt(1), 10);
    assert_eq!(resident(&fixture), 0, "unusable without the block before it");
    report_engine(&mut fixture, 1, vec![stored(&salt(1), 1, 512)], 0);
    assert_eq!(resident(&fixture), 2);

    let mut plan = fixture.index.plan(
        &fixture.configuration,
        &request,
        &salt(1),
        &fixture.transfer_context(),
        10,
    );
    let before = plan.clone();
    assert_eq!((before.fetched_tokens, before.recomputed_tokens), (8_000, 512));
    plan.use_resident(&prompt.segments, 2);
    assert_eq!((plan.fetched_tokens, plan.recomputed_tokens), (8_512, 0));
    assert!(plan.fetch_ms.abs() < 1e-9 && before.fetch_ms > 20.0);
    assert_eq!(plan.fetch, before.fetch, "the fetches stay, as the block may be evicted by then");
    use SegmentSource::{Private, Resident};
    assert_eq!(plan.sources.as_slice(), [Resident, Resident, Private]);
}

/// Plans for a server of the first domain, with a decision of its own on what may be used.
fn plan_within(
    fixture: &Fixture,
    salt: &CacheSalt,
    allowed: &AllowedRegions,
    evacuations: &Evacuations,
) -> BlockPlan {
    let engine_domain: FailureDomain = id("east-2");
    let holder = Holder { address: address(ENGINE), domain: &engine_domain, has_session: true };
    let transfer_context = TransferContext {
        eligibility: Eligibility::new(allowed, &fixture.regions, evacuations),
        engines: &[holder],
        ..fixture.transfer_context()
    };
    let request = request(9, 8_000, 2_000);
    fixture.index.plan(&fixture.configuration, &request, salt, &transfer_context, 0)
}

/// Blocks in an evacuated domain are as good as gone: they are neither fetched nor a reason not to
/// save the block elsewhere, and nothing is saved there.
#[test]
fn nothing_is_fetched_from_or_saved_to_an_evacuated_domain() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000)]);
    let plan =
        |evacuated: &[&str]| plan_within(&fixture, &salt(1), &ALL_REGIONS, &listed(evacuated));
    assert!(plan(&[]).fetch[1].is_some());
    let evacuated = plan(&["east-2"]);
    assert_eq!((evacuated.fetch[1], evacuated.save[1]), (None, None));
    assert_eq!(evacuated.sources[1], SegmentSource::Uncached);
}

/// A store outside the allowed regions may hold a block under the same salt after a change of the
/// regions' table.
#[test]
fn blocks_come_from_and_go_to_allowed_regions_only() {
    let mut fixture = Fixture::new(500_000);
    let west = AllowedRegions::new(&[id("west")], &[]);
    let salt = CacheSalt::new(&id::<ModelName>("m"), 1, &SharingScope::Shared(None), &west);
    fixture.report(EAST, 1, vec![stored(&salt, 9, 8_000)]);
    let plan = plan_within(&fixture, &salt, &west, &NO_EVACUATIONS);
    assert!(plan.fetch.iter().chain(&plan.save).all(Option::is_none), "{plan:?}");
}

/// A plan that was made before an evacuation loses the transfers that it forbids.
#[test]
fn transfers_that_are_not_allowed_any_more_leave_the_plan() {
    let mut fixture = Fixture::new(500_000);
    fixture.report(EAST, 1, vec![stored(&salt(1), 9, 8_000)]);
    let mut plan = plan_within(&fixture, &salt(1), &ALL_REGIONS, &NO_EVACUATIONS);
    assert!(!plan.clone().retain_transfers(|_| true));
    assert!(plan.retain_transfers(|_| false));
    assert!(plan.fetch.iter().chain(&plan.save).all(Option::is_none));
}
