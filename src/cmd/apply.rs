//! `buckthornwharf apply`.

use crate::clock;
use crate::cmd::ExitStatus;
use crate::cmd::folder::read_folder;
use crate::platform::kv::{KvClient, KvError, KvRow};
use anyhow::{Context, Error, Result, bail};
use bpaf::Bpaf;
use buckthornwharf_core::config::budget::RetryBackoff;
use buckthornwharf_core::config::{
    ApplyId, CONFIG_KEY, ConfigDocument, ConfigRecord, FieldChange, RecordError, WriteOutcome,
    diff_documents,
};
use buckthornwharf_core::prelude::*;
use rand::RngExt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

const DEFAULT_TIMEOUT_SECONDS: u64 = 20;

/// Puts a folder of configuration into force.
#[derive(Debug, Clone, Bpaf)]
pub struct ApplyCommand {
    /// Address of the platform's key-value service
    #[bpaf(argument("ADDR"))]
    pub kv: SocketAddr,
    /// Only accept if this generation is in force (default: the one found at the start)
    #[bpaf(argument("GENERATION"))]
    pub base: Option<u64>,
    /// Seconds to go on trying while the key-value service gives no answer
    #[bpaf(argument("SECONDS"), fallback(DEFAULT_TIMEOUT_SECONDS), display_fallback)]
    pub timeout: u64,
    /// The folder of YAML files
    #[bpaf(positional("FOLDER"))]
    pub folder: PathBuf,
}

/// The configuration that a new one is based on.
struct BaseRow {
    index: u64,
    record: Option<ConfigRecord>,
}

/// One run of `apply` against the service.
struct ApplyRun {
    kv: KvClient,
    ends_at: MonoTime,
    backoff: RetryBackoff,
}

impl ApplyCommand {
    /// Writes the merged folder and prints the generation, once it is accepted.
    ///
    /// # Errors
    ///
    /// An [`ExitStatus`] that tells whether the configuration was accepted.
    pub fn run(self) -> Result<ExitCode> {
        let document = read_folder(&self.folder)?.document;
        actix_rt::System::new().block_on(self.apply(document))
    }

    async fn apply(self, document: ConfigDocument) -> Result<ExitCode> {
        let run = ApplyRun {
            kv: KvClient::new(self.kv),
            ends_at: clock::now() + Duration::from_secs(self.timeout),
            backoff: RetryBackoff::default(),
        };
        let row = run.read_row().await.context(ExitStatus::PlatformDown)?;
        let base = decode_base(row)?;
        self.check_base(&base, &document)?;
        if let Some(current) = base.record.as_ref().filter(|record| record.document == document) {
            println!("accepted generation {} before; nothing changes", current.generation);
            return Ok(ExitStatus::Done.into());
        }
        let id = ApplyId(rand::rng().random());
        let record = ConfigRecord::based_on(base.record.as_ref(), id, document);
        run.write(&base, &record).await?;
        print_accepted(&base, &record);
        Ok(ExitStatus::Done.into())
    }

    fn check_base(&self, base: &BaseRow, document: &ConfigDocument) -> Result<()> {
        let Some(wanted) = self.base else { return Ok(()) };
        let found = base.record.as_ref().map_or(0, |record| record.generation.0);
        if found == wanted {
            return Ok(());
        }
        let current = base.record.as_ref().map(|record| &record.document);
        let changes = diff_documents(document, current.unwrap_or(&ConfigDocument::default()));
        print_changes("Generation in force, against this folder:", &changes);
        Err(Error::msg(format!("generation {found} is in force, not {wanted}")))
            .context(ExitStatus::LostRace)
    }
}

impl ApplyRun {
    async fn read_row(&self) -> Result<Option<KvRow>, KvError> {
        let mut attempt = 0;
        loop {
            let error = match self.kv.get(CONFIG_KEY).await {
                Ok(row) => return Ok(row),
                Err(error) => error,
            };
            if !error.is_transient() || !self.pause(attempt).await {
                return Err(error);
            }
            attempt += 1;
        }
    }

    async fn write(&self, base: &BaseRow, record: &ConfigRecord) -> Result<()> {
        let value = encode(record)?;
        let mut maybe_sent = false;
        let mut attempt = 0;
        loop {
            let error = match self.kv.put_cas(CONFIG_KEY, value.clone().into(), base.index).await {
                Ok(true) => return Ok(()),
                Ok(false) => return self.settle_refused(base, record, maybe_sent).await,
                Err(KvError::TooLarge) => {
                    return Err(Error::new(KvError::TooLarge).context(ExitStatus::TooLarge));
                }
                Err(error) => error,
            };
            maybe_sent |= !error.is_without_effect();
            if !error.is_transient() || !self.pause(attempt).await {
                let status =
                    if maybe_sent { ExitStatus::OutcomeUnknown } else { ExitStatus::PlatformDown };
                return Err(Error::new(error).context(status));
            }
            attempt += 1;
        }
    }

    /// The base is gone: by an earlier attempt of this run, or by another run.
    async fn settle_refused(
        &self,
        base: &BaseRow,
        record: &ConfigRecord,
        maybe_sent: bool,
    ) -> Result<()> {
        // Refused for sure, unless an attempt before this one may have taken effect.
        let status = if maybe_sent { ExitStatus::OutcomeUnknown } else { ExitStatus::LostRace };
        let mut attempt = 0;
        loop {
            let row = self.read_row().await.context(status)?;
            let found = decode_base(row).context(status)?.record;
            match record.write_outcome(found.as_ref()) {
                WriteOutcome::Accepted => return Ok(()),
                WriteOutcome::LostRace => return Err(describe_race(base, found.as_ref())),
                // A read that still shows the base is stale, or the base itself was.
                WriteOutcome::Undecided if self.pause(attempt).await => attempt += 1,
                WriteOutcome::Undecided | WriteOutcome::Unknown => {
                    let error = Error::msg("the configuration changed in the meantime");
                    return Err(error.context(status));
                }
            }
        }
    }

    /// Waits before the next attempt; `false` if there is no time for one.
    async fn pause(&self, attempt: u32) -> bool {
        let delay = self.backoff.delay(attempt, &mut rand::rng());
        if clock::now() + delay >= self.ends_at {
            return false;
        }
        tokio::time::sleep(delay).await;
        true
    }
}

fn decode_base(row: Option<KvRow>) -> Result<BaseRow> {
    let Some(row) = row else { return Ok(BaseRow { index: 0, record: None }) };
    match ConfigRecord::decode(&row.value) {
        Ok(record) => Ok(BaseRow { index: row.index, record: Some(record) }),
        Err(error) => bail!("what the key-value service holds is no configuration: {error}"),
    }
}

fn encode(record: &ConfigRecord) -> Result<Vec<u8>> {
    record.encode().map_err(|error| match error {
        RecordError::TooLarge(_) => Error::new(error).context(ExitStatus::TooLarge),
        RecordError::Malformed(_) => Error::new(error),
    })
}

fn describe_race(base: &BaseRow, found: Option<&ConfigRecord>) -> Error {
    let empty = ConfigDocument::default();
    let before = base.record.as_ref().map_or(&empty, |record| &record.document);
    let after = found.map_or(&empty, |record| &record.document);
    print_changes("The other run changed:", &diff_documents(before, after));
    let generation = found.map_or(0, |record| record.generation.0);
    Error::msg(format!("generation {generation} is in force now")).context(ExitStatus::LostRace)
}

fn print_accepted(base: &BaseRow, record: &ConfigRecord) {
    let empty = ConfigDocument::default();
    let before = base.record.as_ref().map_or(&empty, |record| &record.document);
    print_changes("Changes:", &diff_documents(before, &record.document));
    println!("accepted generation {} (apply id {})", record.generation, record.apply_id);
}

fn print_changes(title: &str, changes: &[FieldChange]) {
    if changes.is_empty() {
        return;
    }
    println!("{title}");
    for change in changes {
        println!("  {change}");
    }
}
