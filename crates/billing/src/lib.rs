//! One usage record for each request, and totals for each organisation.
