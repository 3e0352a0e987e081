//! Non-blocking logging to standard output.
//!
//! A bounded queue passes lines to a writer thread. If the reader of standard output is slow or gone,
//! lines are dropped and counted, and the count is logged when the next line is written.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Capacity of the queue, in lines.
const QUEUE_LINES: usize = 2048;
/// Stack size of the writer thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Queues one complete line for each `write` and never blocks; drops the line if the queue is full.
pub struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Starts a thread that writes the queued lines to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the writer thread can't be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_count = dropped.clone();
        let writer = thread::Builder::new().name("log".to_owned()).stack_size(STACK_BYTES);
        writer.spawn(move || write_lines(output, &queue, &dropped_count))?;
        Ok(Self { lines, dropped })
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(mut output: impl Write, queue: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    while let Ok(line) = queue.recv() {
        let count = dropped.swap(0, Ordering::Relaxed);
        let written = match count {
            0 => Ok(()),
            _ => writeln!(output, "level=warn event=log_lines_dropped count={count}"),
        };
        if written.and_then(|()| output.write_all(&line)).is_err() {
            // The reader is gone: further lines are counted as dropped.
            return;
        }
    }
}

/// Installs a logger that writes to standard output through a [`LineQueue`], one line of `key=value`
/// pairs for each record. `default_filter` applies unless `RUST_LOG` is set.
///
/// # Errors
///
/// Fails if the writer thread can't be started, or if a logger is already installed.
pub fn start(default_filter: &str) -> anyhow::Result<()> {
    let queue = LineQueue::start(io::stdout())?;
    let environment = env_logger::Env::default().default_filter_or(default_filter);
    env_logger::Builder::from_env(environment)
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .format(|line, record| {
            let level = record.level().as_str().to_ascii_lowercase();
            let time = line.timestamp_millis();
            writeln!(line, "time={time} level={level} {}", record.args())
        })
        .try_init()?;
    Ok(())
}
