//! Merges the event logs of several processes: `merge REQUEST|all|page FILE...`.

use std::io;
use timeline::{reader, render};

fn main() -> io::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let selection = arguments.next().unwrap_or_default();
    let files: Vec<String> = arguments.collect();
    let (timeline, skipped) = reader::read_files(&files)?;
    if !skipped.is_empty() {
        eprintln!("{skipped}");
    }
    match &*selection {
        "all" => print!("{}", render::text(timeline.events())),
        "page" => print!("{}", render::page(&timeline)),
        request => {
            let request = request.parse().map_err(io::Error::other)?;
            print!("{}", render::text(timeline.path(request)));
        }
    }
    Ok(())
}
