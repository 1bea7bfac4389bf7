//! Output of events.

use entity::name::Instance;
use slog::{BorrowedKV, Drain, KV, Level, OwnedKVList, Record, o, record_static};
use slog_async::AsyncCore;
use slog_json::Json;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::{Mutex, mpsc};
use std::time::Duration;

/// Maximum number of events that wait to be written.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Timeout of writing the queued events on shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Destination of events, which are written as one JSON object a line.
pub enum Sink {
    /// Events are discarded.
    Off,
    /// Events are written to standard output.
    Stdout,
    /// Events are appended to a file, which is created if it is missing.
    File(Box<Path>),
    /// Events are written to any writer. A blocking writer does not block the threads that record.
    Writer(Box<dyn Write + Send>),
}

impl Sink {
    pub(crate) fn open(self, instance: &Instance) -> io::Result<Option<Queue>> {
        let writer: Box<dyn Write + Send> = match self {
            Self::Off => return Ok(None),
            Self::Stdout => Box::new(io::stdout()),
            Self::File(path) => Box::new(append(&path)?),
            Self::Writer(writer) => writer,
        };
        Ok(Some(Queue::new(instance, writer)))
    }
}

/// Opens a file for appending. If an earlier process has left an incomplete last line, it is ended
/// by a line feed.
fn append(path: &Path) -> io::Result<File> {
    let mut file = OpenOptions::new()
        .create(true)
        .read(true)
        .append(true)
        .open(path)?;
    if file.seek(SeekFrom::End(0))? == 0 {
        return Ok(file);
    }
    let mut last = [0];
    file.seek(SeekFrom::End(-1))?;
    file.read_exact(&mut last)?;
    if last != *b"\n" {
        file.write_all(b"\n")?;
    }
    Ok(file)
}

/// A bounded queue of a thread that writes events.
pub(crate) struct Queue {
    /// `None` only while the queue is being dropped.
    core: Option<AsyncCore>,
    values: OwnedKVList,
}

impl Queue {
    fn new(instance: &Instance, writer: Box<dyn Write + Send>) -> Self {
        // The buffer is flushed after each line, so that a single call writes each line.
        let json = Json::new(BufWriter::new(writer))
            .add_key_value(o!("instance" => instance.to_string()))
            .set_flush(true)
            .build();
        let core = AsyncCore::custom(Mutex::new(json).map(slog::Fuse))
            .chan_size(MAX_QUEUED_EVENTS)
            .blocking(false)
            .thread_name("timeline".into())
            .build();
        Self {
            core: Some(core),
            values: o!().into(),
        }
    }

    /// Queues one line without blocking. Returns `false` if the queue is full.
    pub(crate) fn push(&self, line: &dyn KV) -> bool {
        let location = record_static!(Level::Info, "");
        let message = format_args!("");
        let record = Record::new(&location, &message, BorrowedKV(line));
        let core = self.core.as_ref();
        core.is_some_and(|core| core.log(&record, &self.values).is_ok())
    }
}

impl Drop for Queue {
    /// Writes the queued events, but waits no longer than [`FLUSH_TIMEOUT`], because a blocked sink
    /// must not block the shutdown.
    fn drop(&mut self) {
        let core = self.core.take();
        let (flushed, wait) = mpsc::channel();
        std::thread::spawn(move || {
            drop(core);
            // The receiver is gone if the timeout has passed.
            let _ = flushed.send(());
        });
        let _ = wait.recv_timeout(FLUSH_TIMEOUT);
    }
}
