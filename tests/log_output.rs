//! Log lines when the reader of the output is blocked or gone.

use buckthornwharf::log_output::LineQueue;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};

/// An output that waits for a permit before each write and sends the written text to a channel.
struct GatedOutput {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for GatedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        let text = String::from_utf8_lossy(bytes).into_owned();
        self.written.send(text).map_err(|_| io::Error::from(io::ErrorKind::BrokenPipe))?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_stuck_reader_holds_up_no_one_and_lost_lines_are_counted() {
    let (permit, permits) = channel();
    let (written, lines) = channel();
    let mut queue =
        LineQueue::start(GatedOutput { permits, written }).expect("can start the writer thread");
    for number in 0..10_000 {
        queue
            .write_all(format!("line {number}\n").as_bytes())
            .expect("writing to the queue never fails");
    }
    for _ in 0..100_000 {
        // The writer thread may have stopped already.
        let _ = permit.send(());
    }
    let mut text = String::new();
    while !text.contains("the last line") {
        // Dropped, and written again, until the writer thread has taken a line from the full queue.
        queue.write_all(b"the last line\n").expect("writing to the queue never fails");
        text += &lines.recv().expect("the writer thread sends lines");
    }
    assert!(text.contains("event=log_lines_dropped count="), "no line reports the dropped lines");
    assert!(text.contains("line 0\n"));
}

#[test]
fn a_closed_output_never_fails_or_blocks_the_queue() {
    let (permit, permits) = channel::<()>();
    let (written, lines) = channel();
    drop((permit, lines));
    let mut queue =
        LineQueue::start(GatedOutput { permits, written }).expect("can start the writer thread");
    for number in 0..10_000 {
        queue
            .write_all(format!("line {number}\n").as_bytes())
            .expect("writing to the queue never fails");
    }
}
