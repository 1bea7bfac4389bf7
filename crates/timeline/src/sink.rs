//! Where events are written.

use entity::name::Instance;
use slog::{BorrowedKV, Drain, KV, Level, OwnedKVList, Record, o, record_static};
use slog_async::AsyncCore;
use slog_json::Json;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::sync::{Mutex, mpsc};
use std::time::Duration;

/// Events that wait to be written.
const QUEUED_EVENTS: usize = 4096;
/// Longest wait for a sink to take the queued events at the end.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

/// Where events are written, one JSON object a line.
pub enum Sink {
    /// Nowhere.
    Off,
    /// Standard output.
    Stdout,
    /// The end of a file, which is created if it is missing.
    File(Box<Path>),
    /// Any writer; it may block without blocking those that record.
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

/// Opens the end of a file, on a line of its own where an earlier process left a torn one.
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

/// A bounded queue before a thread that writes.
pub(crate) struct Queue {
    /// Present until the queue is dropped.
    core: Option<AsyncCore>,
    values: OwnedKVList,
}

impl Queue {
    fn new(instance: &Instance, writer: Box<dyn Write + Send>) -> Self {
        // The buffer is flushed after each line, so that a line is written by one call.
        let json = Json::new(BufWriter::new(writer))
            .add_key_value(o!("instance" => instance.to_string()))
            .set_flush(true)
            .build();
        let core = AsyncCore::custom(Mutex::new(json).map(slog::Fuse))
            .chan_size(QUEUED_EVENTS)
            .blocking(false)
            .thread_name("timeline".into())
            .build();
        Self {
            core: Some(core),
            values: o!().into(),
        }
    }

    /// Queues one line, without blocking; returns whether there was room for it.
    pub(crate) fn push(&self, line: &dyn KV) -> bool {
        let location = record_static!(Level::Info, "");
        let message = format_args!("");
        let record = Record::new(&location, &message, BorrowedKV(line));
        let core = self.core.as_ref();
        core.is_some_and(|core| core.log(&record, &self.values).is_ok())
    }
}

impl Drop for Queue {
    /// Writes what is queued, but gives a stuck sink up: a shutdown must not wait for it for ever.
    fn drop(&mut self) {
        let core = self.core.take();
        let (flushed, wait) = mpsc::channel();
        std::thread::spawn(move || {
            drop(core);
            // The receiver is gone where the sink took too long.
            let _ = flushed.send(());
        });
        let _ = wait.recv_timeout(FLUSH_TIMEOUT);
    }
}
