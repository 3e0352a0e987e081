//! Where requests may be sent: each rule alone, and pairs of rules.

#[path = "support/slot_samples.rs"]
mod slot_samples;

use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, CallerTime, ColdLimit, DeclaredVersion, LoadedModel, OrganisationKeys,
    PlacementObstacle, PlacementVerdict, RegionSet, RegisteredTarget, ServingConfig, ServingRoute,
    ServingService, SlotGrant, SlotRequest, SlotScheduler, TargetPhase, WaitAllowance, WaitTicket,
    WorkKind,
};
use buckthornwharf_core::prelude::*;
use slot_samples::{sample_request, sample_target};

/// Without load reports, an entry uses four of them at a target in another region.
const SLOTS: u32 = 10;

/// Allowed regions of the route and of the organisation, the organisation that sends a request, and the sites
/// that may get it.
type RegionCase = (
    &'static [&'static str],
    &'static [&'static str],
    Option<&'static str>,
    &'static [&'static str],
);

fn target(id: &str, site: &str) -> Arc<RegisteredTarget> {
    Arc::new(RegisteredTarget { id: id.into(), site: site.into(), slots: SLOTS, ..sample_target() })
}

/// A target in each of the regions x, y and z, and one at a site whose region is unknown.
fn scheduler() -> SlotScheduler {
    let sites = ["x", "y", "z"].map(|name| (SiteName::from(name), RegionName::from(name)));
    let mut scheduler =
        SlotScheduler::new(EntryRegions::new("x".into(), sites.into_iter().collect()));
    let targets = ["x", "y", "z", "unknown"].map(|site| target(site, site));
    scheduler.set_targets(targets.iter());
    scheduler
}

fn regions(names: &[&str]) -> RegionSet {
    names.iter().map(|name| RegionName::from(*name)).collect()
}

/// A configuration with the allowed regions of route r and of organisation o.
fn config(route: &[&str], organisation: &[&str]) -> ServingConfig {
    ServingConfig {
        generation: 1,
        routes: vec![ServingRoute {
            name: "r".into(),
            host: "h".into(),
            prefix: "/".into(),
            kind: WorkKind::Once,
            timeout: Duration::from_secs(4),
            objective: Duration::from_millis(400),
            priority: 1,
            services: vec![("llm".into(), 1)],
            max_attempts: 2,
            anonymous: true,
            allowed_regions: regions(route),
        }],
        services: Vec::new(),
        organisations: Some(vec![OrganisationKeys {
            name: "o".into(),
            keys: Vec::new(),
            priority: None,
            allowed_regions: regions(organisation),
        }]),
        limits: Default::default(),
    }
}

fn request_of(route: &str, organisation: Option<&str>) -> SlotRequest {
    SlotRequest {
        route: route.into(),
        organisation: organisation.map(OrganisationName::from),
        wait: WaitAllowance { max_wait: Duration::from_millis(2000), late: false },
        ..sample_request()
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn granted(admission: Admission) -> SlotGrant {
    match admission {
        Admission::Granted(grant) => grant,
        other => panic!("not granted: {other:?}"),
    }
}

fn queued(admission: Admission) -> WaitTicket {
    match admission {
        Admission::Queued(ticket) => ticket,
        other => panic!("not queued: {other:?}"),
    }
}

/// Sends `request` until no target accepts it at once, and returns the sites that got it.
fn fill(scheduler: &mut SlotScheduler, request: &SlotRequest) -> Vec<SiteName> {
    let mut sites = Vec::new();
    loop {
        match scheduler.request(at(0), request.clone()) {
            Admission::Granted(grant) => sites.push(grant.target.site.clone()),
            Admission::Queued(ticket) => {
                scheduler.cancel(ticket);
                break;
            }
            Admission::Refused(_) => break,
        }
    }
    sites.sort_unstable();
    sites.dedup();
    sites
}

fn sites(names: &[&str]) -> Vec<SiteName> {
    names.iter().map(|name| SiteName::from(*name)).collect()
}

#[test]
fn both_lists_of_regions_apply_and_empty_ones_allow_all() {
    // Guards against requests in a region that is not allowed, and against a list that is not heeded.
    let cases: [RegionCase; 7] = [
        (&[], &[], Some("o"), &["unknown", "x", "y", "z"]),
        (&["y", "z"], &[], None, &["y", "z"]),
        (&["y"], &[], Some("o"), &["y"]),
        (&[], &["z"], Some("o"), &["z"]),
        (&[], &["z"], None, &["unknown", "x", "y", "z"]),
        (&["x", "y"], &["y", "z"], Some("o"), &["y"]),
        (&["x"], &["z"], Some("o"), &[]),
    ];
    for (route, organisation, sender, expected) in cases {
        let mut scheduler = scheduler();
        scheduler.set_config(&config(route, organisation));
        let found = fill(&mut scheduler, &request_of("r", sender));
        assert_eq!(found, sites(expected), "{route:?} {organisation:?} {sender:?}");
    }
}

#[test]
fn a_request_without_a_target_in_an_allowed_region_is_refused_at_once() {
    // Guards against a request that waits in vain, also when it is late.
    let mut scheduler = scheduler();
    scheduler.set_config(&config(&["elsewhere"], &[]));
    for late in [false, true] {
        let mut request = request_of("r", None);
        request.wait.late = late;
        let Admission::Refused(retry_after) = scheduler.request(at(0), request) else {
            panic!("not refused")
        };
        assert!(retry_after >= Duration::from_secs(1));
    }
}

#[test]
fn a_retry_stays_in_the_allowed_regions() {
    // Guards against a retry in a region that is not allowed when the only allowed target was tried.
    let mut scheduler = scheduler();
    scheduler.set_config(&config(&["y"], &[]));
    let grant = granted(scheduler.request(at(0), request_of("r", None)));
    scheduler.release(at(10), &grant.target.id, SlotOutcome::Failed);
    let retry = SlotRequest { tried: vec!["y".into()], ..request_of("r", None) };
    assert!(!matches!(scheduler.request(at(20), retry), Admission::Granted(_)));
    assert_eq!(scheduler.grant_free_slots(at(500)), Vec::new());
}

#[test]
fn a_configuration_that_changes_applies_to_requests_that_wait_or_have_a_slot() {
    // Guards against decisions from a configuration that was replaced while the request waited.
    let mut scheduler = scheduler();
    scheduler.set_config(&config(&["y"], &[]));
    let grant = granted(scheduler.request(at(0), request_of("r", None)));
    fill(&mut scheduler, &request_of("r", None));
    let waiting = queued(scheduler.request(at(0), request_of("r", None)));
    let last = queued(scheduler.request(at(0), request_of("r", None)));
    assert_eq!(scheduler.recheck_grant(at(5), &request_of("r", None), &grant), None);

    scheduler.set_config(&config(&["z"], &[]));
    let obstacle = scheduler.recheck_grant(at(5), &request_of("r", None), &grant);
    assert_eq!(obstacle, Some(PlacementObstacle::Region));
    assert_eq!(scheduler.refuse_unplaceable(), Vec::new());
    let grants = scheduler.grant_free_slots(at(10));
    assert_eq!(grants.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [waiting, last]);
    assert!(grants.iter().all(|(_, grant)| &*grant.target.id == "z"));

    let more = fill(&mut scheduler, &request_of("r", None));
    assert_eq!(more, sites(&["z"]));
    let waiting = queued(scheduler.request(at(20), request_of("r", None)));
    scheduler.set_config(&config(&["elsewhere"], &[]));
    let refused = scheduler.refuse_unplaceable();
    assert_eq!(refused.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [waiting]);
    assert_eq!(scheduler.waiting(), 0);
}

#[test]
fn a_route_that_is_no_longer_configured_keeps_its_regions() {
    // Guards against a stream that is resumed anywhere after its route was renamed.
    let mut scheduler = scheduler();
    scheduler.set_config(&config(&["y"], &[]));
    scheduler.set_config(&ServingConfig { routes: Vec::new(), ..config(&[], &[]) });
    assert_eq!(fill(&mut scheduler, &request_of("r", None)), sites(&["y"]));
}

#[test]
fn requests_that_wait_for_one_region_neither_block_nor_delay_others() {
    // Guards against a request for free targets that waits, or is refused, because of others that cannot
    // use them.
    let mut scheduler = scheduler();
    scheduler.set_config(&config(&["y"], &["z"]));
    fill(&mut scheduler, &request_of("r", None));
    for _ in 0..3 {
        queued(scheduler.request(at(0), request_of("r", None)));
    }
    // Its expected wait with the others counted would be too long.
    let impatient = SlotRequest {
        wait: WaitAllowance { max_wait: Duration::from_millis(1), late: false },
        ..request_of("other", Some("o"))
    };
    let grant = granted(scheduler.request(at(1), impatient));
    assert_eq!(&*grant.target.id, "z");
}

#[test]
fn the_expected_wait_counts_only_releases_in_the_allowed_regions() {
    // Guards against a request that is queued in vain because slots elsewhere become free quickly.
    let mut scheduler = scheduler();
    scheduler.set_config(&config(&["y"], &[]));
    fill(&mut scheduler, &request_of("r", None));
    for millis in 0..100 {
        let grant = granted(scheduler.request(at(millis), request_of("other", None)));
        assert_ne!(&*grant.target.id, "y");
        scheduler.release(at(millis), &grant.target.id, SlotOutcome::Answered);
    }
    // Half of the four slots are assumed to be released per second.
    let request = |max_wait| SlotRequest {
        wait: WaitAllowance { max_wait: Duration::from_millis(max_wait), late: false },
        ..request_of("r", None)
    };
    assert!(matches!(scheduler.request(at(100), request(400)), Admission::Refused(_)));
    queued(scheduler.request(at(100), request(600)));
}

/// The verdict on the target with this id.
fn verdict_of(
    scheduler: &SlotScheduler,
    millis: u64,
    request: &SlotRequest,
    id: &str,
) -> PlacementVerdict {
    let verdicts = scheduler.verdicts(at(millis), request);
    verdicts.into_iter().find(|found| &*found.target.id == id).expect("a verdict").verdict
}

fn blocked(obstacle: PlacementObstacle, until_millis: Option<u64>) -> PlacementVerdict {
    PlacementVerdict::Blocked { obstacle, until: until_millis.map(at) }
}

#[test]
fn each_obstacle_is_named_with_its_end() {
    // Guards against verdicts that do not tell what the scheduler does.
    use PlacementObstacle::{
        CoolingDown, Draining, Leaving, Limited, NoSlot, NotAccepting, Paused, Prefill, Stuck,
        Tried, Unregistered, Version,
    };
    let request = request_of("r", None);
    let of_x = |scheduler: &SlotScheduler, millis| verdict_of(scheduler, millis, &request, "x");
    let x = target("x", "x");

    let mut scheduler = scheduler();
    assert_eq!(of_x(&scheduler, 0), PlacementVerdict::Allowed { cost: 0 });
    let remote = verdict_of(&scheduler, 0, &request, "y");
    assert!(matches!(remote, PlacementVerdict::Allowed { cost } if cost > 0));

    let tried = SlotRequest { tried: vec!["x".into()], ..request.clone() };
    assert_eq!(verdict_of(&scheduler, 0, &tried, "x"), blocked(Tried, None));
    scheduler.set_prefill_rate(&"llm".into(), 1000);
    let long = SlotRequest { prompt_tokens: 60, ..request.clone() };
    let first = granted(scheduler.request(at(0), long.clone()));
    assert_eq!(verdict_of(&scheduler, 0, &long, "x"), blocked(Prefill, None));
    assert_eq!(of_x(&scheduler, 701), blocked(Stuck, None));
    scheduler.release_unused(at(701), &first);

    scheduler.set_load(at(1000), "x", SLOTS, true);
    assert_eq!(of_x(&scheduler, 1000), blocked(NoSlot, None));
    scheduler.set_load(at(1000), "x", 0, false);
    assert_eq!(of_x(&scheduler, 1000), blocked(NotAccepting, None));

    scheduler.set_load(at(3000), "x", 0, true);
    let grant = granted(scheduler.request(at(3000), request.clone()));
    scheduler.prefill_done(at(3000), &grant);
    scheduler.release(at(3000), "x", SlotOutcome::Failed);
    assert_eq!(of_x(&scheduler, 3000), blocked(CoolingDown, Some(3250)));
    scheduler.record_limit(at(3000), &x, Some(0.5));
    assert_eq!(of_x(&scheduler, 3000), blocked(Limited, Some(5000)));
    scheduler.record_pause(at(3000), &x, Duration::from_secs(9));
    assert_eq!(of_x(&scheduler, 3000), blocked(Paused, Some(12_000)));
    let of_model = SlotRequest { model: Some("m".into()), ..request.clone() };
    assert_eq!(verdict_of(&scheduler, 3000, &of_model, "x"), blocked(Version, None));
    scheduler.record_leaving(at(3000), &x);
    assert_eq!(of_x(&scheduler, 3000), blocked(Leaving, None));
    let draining = RegisteredTarget { phase: TargetPhase::Draining, ..(*x).clone() };
    scheduler.set_targets([Arc::new(draining)].iter());
    assert_eq!(of_x(&scheduler, 3000), blocked(Draining, None));

    let mut scheduler = self::scheduler();
    granted(scheduler.request(at(0), request.clone()));
    scheduler.set_targets([target("y", "y")].iter());
    assert_eq!(of_x(&scheduler, 0), blocked(Unregistered, None));
}

#[test]
fn a_version_that_is_retired_is_an_obstacle_also_for_a_request_that_has_a_slot() {
    // Guards against a request that is sent to a retired version because its connection was opened slowly.
    let mut scheduler = scheduler();
    let models = vec![LoadedModel { model: "m".into(), version: 1 }];
    scheduler
        .set_targets([Arc::new(RegisteredTarget { models, ..(*target("x", "x")).clone() })].iter());
    let declared = DeclaredVersion {
        version: 2,
        declared_at: at(0),
        required_from: at(1000),
        begin_by: at(1300),
    };
    scheduler.declare(&"m".into(), declared);
    let request = SlotRequest { model: Some("m".into()), ..request_of("r", None) };
    let grant = granted(scheduler.request(at(990), request.clone()));
    assert_eq!(scheduler.recheck_grant(at(999), &request, &grant), None);
    let obstacle = scheduler.recheck_grant(at(1000), &request, &grant);
    assert_eq!(obstacle, Some(PlacementObstacle::Version));
    scheduler.release_unused(at(1000), &grant);
    scheduler.set_load(at(1290), "x", 0, true);
    assert_eq!(
        verdict_of(&scheduler, 1290, &request, "x"),
        blocked(PlacementObstacle::Version, None)
    );
}

#[test]
fn an_evacuated_site_gets_no_requests_and_gets_them_again_when_it_is_withdrawn() {
    // Guards against requests that are sent to a site after its evacuation, and against those that wait there.
    let mut scheduler = scheduler();
    let request = request_of("r", None);
    let grant = granted(scheduler.request(at(0), request.clone()));
    assert_eq!(&*grant.target.id, "x");
    scheduler.set_evacuated(at(1), sites(&["x", "z", "without-targets"]));
    let obstacle = scheduler.recheck_grant(at(2), &request, &grant);
    assert_eq!(obstacle, Some(PlacementObstacle::Evacuated));
    assert_eq!(fill(&mut scheduler, &request), sites(&["unknown", "y"]));
    scheduler.set_evacuated(at(3), sites(&["x"]));
    assert_eq!(fill(&mut scheduler, &request), sites(&["z"]));
    scheduler.set_evacuated(at(4), []);
    scheduler.set_evacuated(at(5), sites(&["x"]));
    assert!(!matches!(scheduler.request(at(6), request.clone()), Admission::Granted(_)));
    scheduler.set_evacuated(at(7), []);
    assert_eq!(scheduler.grant_free_slots(at(8)).len(), 1);
}

#[test]
fn waiting_requests_are_refused_when_all_sites_are_evacuated() {
    // Guards against a wait in vain.
    let mut scheduler = scheduler();
    let request = request_of("r", None);
    fill(&mut scheduler, &request);
    let waiting = queued(scheduler.request(at(0), request.clone()));
    assert_eq!(scheduler.refuse_unplaceable(), []);
    scheduler.set_evacuated(at(1), sites(&["x", "y", "z", "unknown"]));
    let refused = scheduler.refuse_unplaceable();
    assert_eq!(refused.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [waiting]);
    assert!(matches!(scheduler.request(at(2), request), Admission::Refused(_)));
}

#[test]
fn an_evacuation_that_leaves_no_allowed_region_refuses_at_once() {
    // Guards against a request that leaves its allowed regions, or waits, because these are evacuated.
    let mut scheduler = scheduler();
    scheduler.set_config(&config(&["x", "y"], &["y", "z"]));
    let request = request_of("r", Some("o"));
    let others = request_of("r", None);
    fill(&mut scheduler, &request);
    let waiting = queued(scheduler.request(at(0), request.clone()));
    scheduler.set_evacuated(at(1), sites(&["y"]));
    let refused = scheduler.refuse_unplaceable();
    assert_eq!(refused.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [waiting]);
    assert!(matches!(scheduler.request(at(2), request.clone()), Admission::Refused(_)));
    assert_eq!(scheduler.main_obstacle(at(2), &request), Some(PlacementObstacle::Evacuated));
    // The route alone leaves region x.
    assert_eq!(fill(&mut scheduler, &others), sites(&["x"]));
}

/// Limits cold targets of the service to `per_second`, and makes this entry the only one.
fn limit_cold(scheduler: &mut SlotScheduler, per_second: f64) {
    let cold_limit = Some(ColdLimit { start_time: Duration::from_secs(3), per_second });
    let service = ServingService { name: "llm".into(), engine: None, origin: None, cold_limit };
    let config = ServingConfig { services: vec![service], ..config(&[], &[]) };
    scheduler.set_config(&config);
    scheduler.set_entry_hosts(at(0), &"e".into(), std::iter::empty());
    scheduler.set_registered_until(at(0), at(1_000_000));
    scheduler.observe_starts(at(0));
}

#[test]
fn a_cold_site_is_used_up_to_its_limit_while_another_is_evacuated() {
    // Guards against a cold site that takes over the load of an evacuated one, and against one that is avoided.
    let mut scheduler = scheduler();
    limit_cold(&mut scheduler, 10.0);
    scheduler.set_evacuated(at(10_000), sites(&["y", "z", "unknown"]));
    let restarted = RegisteredTarget { started_unix_ms: 1, ..(*target("x", "x")).clone() };
    let targets =
        [Arc::new(restarted), target("y", "y"), target("z", "z"), target("unknown", "unknown")];
    scheduler.set_targets(targets.iter());
    scheduler.observe_starts(at(10_000));
    let request = request_of("r", None);
    let mut sent = Vec::new();
    for millis in (10_000..11_000).step_by(10) {
        match scheduler.request(at(millis), request.clone()) {
            Admission::Granted(grant) => {
                scheduler.prefill_done(at(millis), &grant);
                scheduler.release(at(millis), &grant.target.id, SlotOutcome::Answered);
                sent.push(grant.target.site.clone());
            }
            Admission::Queued(ticket) => scheduler.cancel(ticket),
            Admission::Refused(_) => {}
        }
    }
    assert!(sent.iter().all(|site| *site == SiteName::from("x")));
    assert!((8..=11).contains(&sent.len()), "{}", sent.len());
    // The other sites come back while x is cold: they are cold, too, and nothing is saved up for them.
    scheduler.set_evacuated(at(11_000), []);
    for site in ["y", "z"] {
        let verdict = verdict_of(&scheduler, 11_001, &request, site);
        assert!(matches!(
            verdict,
            PlacementVerdict::Blocked { obstacle: PlacementObstacle::Cold, .. }
        ));
    }
}

#[test]
fn a_request_that_waits_for_a_cold_target_does_not_block_one_for_a_warm_target() {
    // Guards against a free target that is not used because the first in the queue may not use it.
    let mut scheduler = scheduler();
    limit_cold(&mut scheduler, 0.5);
    let mut only_y = config(&["y"], &["x"]);
    only_y.services = vec![ServingService {
        name: "llm".into(),
        engine: None,
        origin: None,
        cold_limit: Some(ColdLimit { start_time: Duration::from_secs(3), per_second: 0.5 }),
    }];
    scheduler.set_config(&only_y);
    scheduler.record_unreached(at(10_000), &"y".into());
    let waits = SlotRequest {
        wait: WaitAllowance { max_wait: Duration::from_secs(5), late: false },
        ..request_of("r", None)
    };
    queued(scheduler.request(at(10_000), waits));
    let grant = granted(scheduler.request(at(10_001), request_of("other", Some("o"))));
    assert_eq!(&*grant.target.id, "x");
}

#[test]
fn in_the_fair_order_a_restricted_request_does_not_keep_back_one_that_can_go_elsewhere() {
    // Guards against a request that waits although a target is free, because one of the same model that was
    // tried before it cannot use that target.
    let mut scheduler = scheduler().with_fair_queue(true);
    scheduler.set_config(&config(&["y"], &["z"]));
    let (restricted, free) = (request_of("r", None), request_of("other", None));
    fill(&mut scheduler, &free);
    for _ in 0..3 {
        queued(scheduler.request(at(1), restricted.clone()));
    }
    let waiting = queued(scheduler.request(at(2), free.clone()));
    // Both could use this slot, so it goes to the one that came first.
    scheduler.release(at(3), "y", SlotOutcome::Answered);
    let grants = scheduler.grant_free_slots(at(3));
    assert_eq!(grants.len(), 1);
    assert!(grants[0].0 < waiting);
    scheduler.release(at(4), "z", SlotOutcome::Answered);
    let grants = scheduler.grant_free_slots(at(4));
    let granted_to: Vec<_> =
        grants.iter().map(|(ticket, grant)| (*ticket, &*grant.target.id)).collect();
    assert_eq!(granted_to, [(waiting, "z")]);
    // Those that can only use a target for which no other waits are not delayed at all.
    scheduler.release(at(5), "z", SlotOutcome::Answered);
    let impatient = SlotRequest {
        wait: WaitAllowance { max_wait: Duration::from_millis(1), late: false },
        ..request_of("other", Some("o"))
    };
    assert_eq!(&*granted(scheduler.request(at(5), impatient)).target.id, "z");
}

#[test]
fn in_the_fair_order_the_expected_wait_counts_only_releases_in_the_allowed_regions() {
    // Guards against a request that is queued in vain because slots elsewhere become free quickly.
    let mut scheduler = scheduler().with_fair_queue(true);
    scheduler.set_config(&config(&["y"], &[]));
    fill(&mut scheduler, &request_of("r", None));
    for millis in 0..100 {
        let grant = granted(scheduler.request(at(millis), request_of("other", None)));
        assert_ne!(&*grant.target.id, "y");
        scheduler.release(at(millis), &grant.target.id, SlotOutcome::Answered);
    }
    let of_restricted =
        scheduler.preview(at(100), &request_of("r", None), CallerTime::default()).expected_wait;
    let of_free =
        scheduler.preview(at(100), &request_of("other", None), CallerTime::default()).expected_wait;
    assert!(of_restricted > of_free, "{of_restricted:?} and {of_free:?}");
}

#[test]
fn a_target_reserved_for_a_large_prompt_is_an_obstacle_for_others_until_the_prompt_fits() {
    // Guards against small prompts that take the prefill capacity for which a large one waits.
    for learned in [false, true] {
        let mut scheduler = scheduler().with_fair_queue(true);
        if learned {
            scheduler.enable_learned_limits(1);
        }
        scheduler.set_targets([target("x", "x")].iter());
        scheduler.set_prefill_rate(&"llm".into(), 1000);
        let of_size = |prompt_tokens| SlotRequest { prompt_tokens, ..request_of("r", None) };
        let first = granted(scheduler.request(at(0), of_size(60)));
        let large = queued(scheduler.request(at(0), of_size(80)));
        assert!(scheduler.grant_free_slots(at(1)).is_empty());
        let reserved = blocked(PlacementObstacle::Reserved, Some(101));
        assert_eq!(verdict_of(&scheduler, 1, &of_size(10), "x"), reserved);
        let after = verdict_of(&scheduler, 101, &of_size(10), "x");
        assert!(matches!(after, PlacementVerdict::Allowed { .. }), "{after:?}");
        scheduler.prefill_done(at(2), &first);
        let grants = scheduler.grant_free_slots(at(2));
        assert_eq!(grants.iter().map(|(ticket, _)| *ticket).collect::<Vec<_>>(), [large]);
        let after = verdict_of(&scheduler, 2, &of_size(10), "x");
        assert!(matches!(after, PlacementVerdict::Allowed { .. }), "{after:?}");
    }
}

#[test]
fn late_requests_and_entries_with_a_small_part_have_a_lower_prefill_limit() {
    // Guards against late requests, and crowded entries, that make those in time late; also where limits are
    // learned.
    for learned in [false, true] {
        let mut scheduler = scheduler().with_fair_queue(true);
        if learned {
            scheduler.enable_learned_limits(1);
        }
        scheduler.set_targets([target("x", "x")].iter());
        scheduler.set_prefill_rate(&"llm".into(), 1000);
        let in_time = SlotRequest { prompt_tokens: 30, ..request_of("r", None) };
        let mut late = in_time.clone();
        late.wait.late = true;
        scheduler.set_load(at(0), "x", 0, true);
        granted(scheduler.request(at(0), in_time.clone()));
        let verdict = verdict_of(&scheduler, 1, &in_time, "x");
        assert!(matches!(verdict, PlacementVerdict::Allowed { .. }), "{verdict:?}");
        let no_capacity = blocked(PlacementObstacle::Prefill, None);
        assert_eq!(verdict_of(&scheduler, 1, &late, "x"), no_capacity);
        scheduler.set_part("x", Some(500));
        assert_eq!(verdict_of(&scheduler, 1, &in_time, "x"), no_capacity);
    }
}
