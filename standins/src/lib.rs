//! Small fakes of the platform and the upstreams, and the load tool.
