//! Events with a clock that orders them over all processes.
