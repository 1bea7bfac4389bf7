//! Client of the platform's instance list.
