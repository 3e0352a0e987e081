//! Log lines on standard output that never hold up the process.
//!
//! Lines go through a bounded queue to a thread of their own. Where the reader of standard output is
//! slow or gone, lines are dropped and counted, and the count is written once there is room.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;

/// Lines that wait to be written.
const QUEUE_LINES: usize = 2048;
/// Stack of the writing thread, in bytes.
const STACK_BYTES: usize = 64 * 1024;

/// Takes whole lines and never blocks.
pub struct LineQueue {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// A queue whose lines are written to `output`.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start(output: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = dropped.clone();
        let writer = thread::Builder::new().name("log".to_owned()).stack_size(STACK_BYTES);
        writer.spawn(move || write_lines(output, &queue, &counted))?;
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
        let lost = dropped.swap(0, Ordering::Relaxed);
        let told = match lost {
            0 => Ok(()),
            _ => writeln!(output, "level=warn event=log_lines_dropped count={lost}"),
        };
        if told.and_then(|()| output.write_all(&line)).is_err() {
            // Nobody reads any more: further lines are counted as dropped.
            return;
        }
    }
}

/// Logs to standard output through a [`LineQueue`], one line of `key=value` pairs for each record.
///
/// # Errors
///
/// Fails if no thread can be started, or a logger is set already.
pub fn start(default_level: &str) -> anyhow::Result<()> {
    let queue = LineQueue::start(io::stdout())?;
    let environment = env_logger::Env::default().default_filter_or(default_level);
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
