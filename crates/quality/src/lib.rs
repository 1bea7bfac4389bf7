//! Decisions on versions: ratings, cascades and roll-outs.
