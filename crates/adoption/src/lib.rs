//! Which publication of the configuration stream is in force.
