//! Where requests may be sent: allowed regions.

use buckthornwharf_core::direct::slots::{EntryRegions, SlotOutcome};
use buckthornwharf_core::direct::{
    Admission, OrganisationKeys, RegionSet, RegisteredTarget, ServingConfig, ServingRoute,
    SlotGrant, SlotRequest, SlotScheduler, TargetPhase, WaitAllowance, WaitTicket, WorkKind,
};
use buckthornwharf_core::prelude::*;

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
    Arc::new(RegisteredTarget {
        id: id.into(),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().expect("valid address"),
        site: site.into(),
        slots: SLOTS,
        phase: TargetPhase::Ready,
        models: Vec::new(),
        started_unix_ms: 0,
        cold_remaining: None,
    })
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
        service: "llm".into(),
        route: route.into(),
        organisation: organisation.map(OrganisationName::from),
        priority: 1,
        wait: WaitAllowance { max_wait: Duration::from_millis(2000), late: false },
        objective: Duration::from_millis(400),
        tried: Vec::new(),
        prompt_tokens: 0,
        answer_tokens: 0,
        model: None,
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
    assert!(scheduler.may_send(&request_of("r", None), &grant.target));

    scheduler.set_config(&config(&["z"], &[]));
    assert!(!scheduler.may_send(&request_of("r", None), &grant.target));
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
