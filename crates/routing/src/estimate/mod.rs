//! What requests and engines are likely to cost, learned from answers.

pub mod length;
pub mod pace;
