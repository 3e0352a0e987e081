//! The life cycle of a version: which transitions each state refuses. Also chunk sets and uploads.

use buckthornwharf_core::prelude::*;
use buckthornwharf_core::weights::fence::OrderGrant;
use buckthornwharf_core::weights::lifecycle::{HeldVersion, ServingVersion, WantedVersion};
use buckthornwharf_core::weights::{
    ChunkSet, ManifestError, UploadClass, UploadLimiter, VersionManifest,
};

fn manifest(seed: u8) -> VersionManifest {
    VersionManifest::of_content(&[seed; 40], 16)
}

fn full_set(len: usize) -> ChunkSet {
    let mut set = ChunkSet::new(len);
    (0..len).for_each(|index| {
        set.insert(index);
    });
    set
}

fn held() -> HeldVersion {
    let manifest = manifest(1);
    let wanted = WantedVersion::new(manifest.digest());
    let fetching = wanted.with_manifest(manifest).expect("its own manifest");
    fetching.into_held(&full_set(3)).expect("every chunk is there")
}

fn grant() -> OrderGrant {
    OrderGrant { fence: 1, deadline: MonoTime::from_millis(1) }
}

#[test]
fn the_manifest_of_another_version_is_refused() {
    let wanted = WantedVersion::new(manifest(1).digest());
    assert_eq!(wanted.with_manifest(manifest(2)), Err(ManifestError::WrongDigest));
}

#[test]
fn a_version_with_a_missing_chunk_is_not_held() {
    let manifest = manifest(1);
    let fetching =
        WantedVersion::new(manifest.digest()).with_manifest(manifest).expect("its manifest");
    let mut partial = ChunkSet::new(3);
    partial.insert(0);
    partial.insert(2);
    let fetching = fetching.into_held(&partial).expect_err("a chunk is missing");
    let fetching = fetching.into_held(&full_set(2)).expect_err("another manifest's set");
    assert!(fetching.into_held(&full_set(3)).is_ok());
}

#[test]
fn a_version_is_serving_only_if_the_target_lists_it() {
    let other = manifest(2).digest();
    let held =
        held().into_loading(grant()).confirm(&[other]).expect_err("the target lists another");
    let digest = held.digest();
    let serving =
        held.into_loading(grant()).confirm(&[other, digest]).expect("the target lists it");
    assert!(serving.is_confirmed(&[digest]));
    assert!(!serving.is_confirmed(&[other]));
    assert_eq!(ServingVersion::find(digest, &[]), None);
}

#[test]
fn a_version_is_dropped_only_without_requests_in_flight() {
    let digest = manifest(1).digest();
    let serving = ServingVersion::find(digest, &[digest]).expect("the target lists it");
    let draining = serving.drain().finish(2).expect_err("two requests run");
    assert_eq!(draining.finish(0).expect("no request runs").digest(), digest);
}

#[test]
fn a_decoded_chunk_set_equals_the_encoded_one() {
    let mut set = ChunkSet::new(70);
    let added = [0, 1, 63, 64, 69, 70].map(|index| set.insert(index));
    assert_eq!(added, [true, true, true, true, true, false]);
    let decoded = ChunkSet::from_bytes(&set.to_bytes(), 70);
    assert_eq!(decoded, set);
    assert_eq!(decoded.count(), 5);
    assert_eq!(ChunkSet::from_bytes(&[0xff; 100], 70).count(), 70);
    assert_eq!(ChunkSet::from_bytes(&[], 70).count(), 0);
}

#[test]
fn a_host_that_has_sent_much_or_is_busy_admits_fewer_uploads() {
    let admitted = |sent: u64, live_load_percent: u8, class: UploadClass| {
        let mut limiter = UploadLimiter::new(100);
        limiter.set_live_load(live_load_percent);
        assert!(limiter.start(class));
        limiter.end(sent);
        (0..1_000).filter(|_| limiter.start(class)).count()
    };
    let rows = [(0, 0), (100, 0), (125, 0), (200, 0), (0, 50), (0, 100)];
    let intra_region = rows.map(|(sent, live)| admitted(sent, live, UploadClass::IntraRegion));
    let cross_region = rows.map(|(sent, live)| admitted(sent, live, UploadClass::CrossRegion));
    insta::assert_compact_debug_snapshot!(intra_region, @"[8, 4, 2, 1, 2, 1]");
    insta::assert_compact_debug_snapshot!(cross_region, @"[12, 8, 6, 5, 6, 5]");
}
