//! Client of the answer-rating service.
