//! The weights of the model and their origin.

use crate::http::{self, Connection};
use crate::record::Record;
use crate::sha256::hex_digest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Name of the model.
pub const MODEL: &str = "m0";
/// Pieces of a version.
pub const CHUNKS: usize = 64;
/// Size of a piece.
pub const CHUNK_BYTES: usize = 32_768;
/// Layers of the model.
pub const LAYERS: usize = 16;

/// The content of a piece, which differs between versions.
pub fn chunk(version: u64, index: usize) -> Vec<u8> {
    let mut state = version.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (index as u64 + 1) << 20;
    let next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    std::iter::repeat_with(next).take(CHUNK_BYTES).collect()
}

/// The origin of weights.
pub struct Origin {
    record: Arc<Record>,
    /// Number of the next manifests that are sent with one changed digit of one digest.
    pub spoilt_manifests: AtomicUsize,
    /// Answers sent.
    pub answers: AtomicUsize,
}

impl Origin {
    /// Starts the origin and returns it with its address.
    pub fn start(record: &Arc<Record>) -> (Arc<Self>, SocketAddr) {
        let origin = Arc::new(Self {
            record: record.clone(),
            spoilt_manifests: AtomicUsize::new(0),
            answers: AtomicUsize::new(0),
        });
        let served = origin.clone();
        let address = http::listen(move |connection| served.serve(connection));
        (origin, address)
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_request() {
            self.answers.fetch_add(1, Ordering::Relaxed);
            let version = request.query("version").parse().unwrap_or(1);
            let path = request.path().trim_start_matches("/buckthornwharf/").to_owned();
            let sent = if path.starts_with("manifest/") {
                let headers = [("Content-Type", "application/json")];
                connection.answer(200, &headers, self.manifest(version).as_bytes())
            } else {
                match request.query("item_count").parse::<usize>() {
                    Ok(index) if index < CHUNKS => {
                        connection.answer(200, &[], &chunk(version, index))
                    }
                    _ => connection.answer(404, &[], b""),
                }
            };
            if sent.is_err() {
                return;
            }
        }
    }

    fn manifest(&self, version: u64) -> String {
        let mut digests: Vec<String> =
            (0..CHUNKS).map(|index| hex_digest(&chunk(version, index))).collect();
        let spoilt = self.spoilt_manifests.load(Ordering::Relaxed);
        let how = match spoilt > 0 {
            true => {
                self.spoilt_manifests.store(spoilt - 1, Ordering::Relaxed);
                let digit = if digests[7].starts_with('0') { "1" } else { "0" };
                digests[7].replace_range(..1, digit);
                "with a wrong first digit of the digest of piece 7"
            }
            false => "sound",
        };
        self.record.line(&format!("origin sends the manifest of version {version}, {how}"));
        format!(
            "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{CHUNK_BYTES},\
             \"layers\":{LAYERS},\"digests\":[\"{}\"]}}",
            digests.join("\",\"")
        )
    }
}
