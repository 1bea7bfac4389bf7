//! Tasks over the log's streams: followers, group commit, claims and usage.
