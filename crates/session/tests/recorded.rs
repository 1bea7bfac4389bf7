//! A caller brings a session token back to whichever instance it reaches, which may run the build before
//! or after the one that signed it. Tokens of build 041d6c8 must be read and written alike.

use entity::Generation;
use googletest::prelude::*;
use session::{Signer, Token};

const SECRET: &[u8] = b"0123456789abcdef0123456789abcdef";

/// Tokens that build 041d6c8 signed, one on each line.
const TOKENS: &str = include_str!("recorded/041d6c8.tokens");

fn token(session: &str, version: &str, generation: u64) -> Token {
    Token {
        session: session.into(),
        service: "advice".parse().unwrap(),
        version: version.parse().unwrap(),
        generation: Generation(generation),
    }
}

#[gtest]
fn recorded_tokens_are_read_and_written_alike() {
    let signer = Signer::checked(SECRET).unwrap();
    let expected = [
        token("caller 7", "large/1", 12),
        token("two\nlines", "small/2", 0),
        token("", "large/1", u64::MAX),
    ];
    let recorded: Vec<&str> = TOKENS.lines().collect();
    expect_that!(recorded.len(), eq(expected.len()));
    for (text, token) in recorded.into_iter().zip(expected) {
        expect_that!(signer.verify(text), ok(eq(&token)));
        expect_that!(&*signer.sign(&token), eq(text));
    }
}
