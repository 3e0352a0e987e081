//! `buckthornwharf apply`: activates a new configuration generation by compare-and-swap.

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

/// Activates the configuration in a folder as a new generation.
#[derive(Debug, Clone, Bpaf)]
pub struct ApplyCommand {
    /// Address of the platform's key-value service
    #[bpaf(argument("ADDR"))]
    pub kv: SocketAddr,
    /// Fail unless this generation is active (default: the generation that is active at the start)
    #[bpaf(argument("GENERATION"))]
    pub base: Option<u64>,
    /// Seconds to retry while the key-value service does not respond
    #[bpaf(argument("SECONDS"), fallback(DEFAULT_TIMEOUT_SECONDS), display_fallback)]
    pub timeout: u64,
    /// Folder of YAML files
    #[bpaf(positional("FOLDER"))]
    pub folder: PathBuf,
}

/// The active configuration, on which the new one is based, with the index for the compare-and-swap.
struct BaseRow {
    index: u64,
    record: Option<ConfigRecord>,
}

/// One run of `apply`, with its deadline for retries.
struct ApplyRun {
    kv: KvClient,
    retry_deadline: MonoTime,
    backoff: RetryBackoff,
}

impl ApplyCommand {
    /// Writes the merged configuration and prints its generation once it is accepted.
    ///
    /// # Errors
    ///
    /// The [`ExitStatus`] in the error's context tells whether the configuration was accepted.
    pub fn run(self) -> Result<ExitCode> {
        let document = read_folder(&self.folder)?.document;
        actix_rt::System::new().block_on(self.apply(document))
    }

    async fn apply(self, document: ConfigDocument) -> Result<ExitCode> {
        let run = ApplyRun {
            kv: KvClient::new(self.kv),
            retry_deadline: clock::now() + Duration::from_secs(self.timeout),
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
        let Some(expected) = self.base else { return Ok(()) };
        let found = base.record.as_ref().map_or(0, |record| record.generation.0);
        if found == expected {
            return Ok(());
        }
        let current = base.record.as_ref().map(|record| &record.document);
        let changes = diff_documents(document, current.unwrap_or(&ConfigDocument::default()));
        print_changes("Changes from this folder to the active generation:", &changes);
        Err(Error::msg(format!("generation {found} is active, expected {expected}")))
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
        let mut maybe_written = false;
        let mut attempt = 0;
        loop {
            let error = match self.kv.put_cas(CONFIG_KEY, value.clone().into(), base.index).await {
                Ok(true) => return Ok(()),
                Ok(false) => return self.resolve_conflict(base, record, maybe_written).await,
                Err(KvError::TooLarge) => {
                    return Err(Error::new(KvError::TooLarge).context(ExitStatus::TooLarge));
                }
                Err(error) => error,
            };
            maybe_written |= !error.is_without_effect();
            if !error.is_transient() || !self.pause(attempt).await {
                let status = if maybe_written {
                    ExitStatus::OutcomeUnknown
                } else {
                    ExitStatus::PlatformDown
                };
                return Err(Error::new(error).context(status));
            }
            attempt += 1;
        }
    }

    /// Determines the outcome after a compare-and-swap failed because the base has changed: by an
    /// earlier attempt of this run whose response was lost, or by another run.
    async fn resolve_conflict(
        &self,
        base: &BaseRow,
        record: &ConfigRecord,
        maybe_written: bool,
    ) -> Result<()> {
        // The write failed for certain, unless an earlier attempt may have taken effect.
        let status = if maybe_written { ExitStatus::OutcomeUnknown } else { ExitStatus::LostRace };
        let mut attempt = 0;
        loop {
            let row = self.read_row().await.context(status)?;
            let found = decode_base(row).context(status)?.record;
            match record.write_outcome(found.as_ref()) {
                WriteOutcome::Accepted => return Ok(()),
                WriteOutcome::LostRace => return Err(report_conflict(base, found.as_ref())),
                // Either this read is stale, or the read of the base was.
                WriteOutcome::Undecided if self.pause(attempt).await => attempt += 1,
                WriteOutcome::Undecided | WriteOutcome::Unknown => {
                    let error =
                        Error::msg("the active configuration changed while this one was written");
                    return Err(error.context(status));
                }
            }
        }
    }

    /// Waits for the back-off before the next attempt. Returns `false` without waiting if the next
    /// attempt would start after the deadline.
    async fn pause(&self, attempt: u32) -> bool {
        let delay = self.backoff.delay(attempt, &mut rand::rng());
        if clock::now() + delay >= self.retry_deadline {
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
        Err(error) => bail!("configuration in the key-value service can't be decoded: {error}"),
    }
}

fn encode(record: &ConfigRecord) -> Result<Vec<u8>> {
    record.encode().map_err(|error| match error {
        RecordError::TooLarge(_) => Error::new(error).context(ExitStatus::TooLarge),
        RecordError::Malformed(_) => Error::new(error),
    })
}

fn report_conflict(base: &BaseRow, found: Option<&ConfigRecord>) -> Error {
    let empty = ConfigDocument::default();
    let before = base.record.as_ref().map_or(&empty, |record| &record.document);
    let after = found.map_or(&empty, |record| &record.document);
    print_changes("Changes made by the other run:", &diff_documents(before, after));
    let generation = found.map_or(0, |record| record.generation.0);
    Error::msg(format!("generation {generation} is active now")).context(ExitStatus::LostRace)
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
