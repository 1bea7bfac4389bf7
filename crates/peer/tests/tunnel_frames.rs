//! Decoding of the bytes that a carrier forwards, over all places where its connection can end or pause.
//! An answer without a length counted as complete wherever the carrier's connection ended.

use googletest::prelude::*;
use peer::tunnel::frames::{self, Decoder};
use proptest::prelude::*;

/// Encodes pieces of an upstream's bytes, without the mark of their end.
fn encode(pieces: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for piece in pieces.iter().filter(|piece| !piece.is_empty()) {
        bytes.extend(frames::header(piece.len()).unwrap());
        bytes.extend(piece);
    }
    bytes
}

/// Decodes input that arrives in reads of so many bytes, into buffers with so much room.
fn decode(decoder: &mut Decoder, input: &[u8], (read, room): (usize, usize)) -> Vec<u8> {
    let mut payload = Vec::new();
    for mut part in input.chunks(read) {
        while !part.is_empty() && !decoder.has_ended() {
            let decoded = decoder.decode(part, room);
            assert!(decoded.payload <= room);
            payload.extend(&part[decoded.skipped..][..decoded.payload]);
            part = &part[decoded.skipped + decoded.payload..];
        }
    }
    payload
}

proptest! {
    /// Wherever the carrier's connection ends, the upstream's bytes up to there are read, and the answer is
    /// complete only after the mark.
    #[test]
    fn only_the_mark_is_the_end(
        pieces in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..6), 0..5),
        read in 1_usize..9,
        room in 1_usize..9,
    ) {
        let sent: Vec<u8> = pieces.concat();
        let mut whole = encode(&pieces);
        whole.extend(frames::END);
        for cut in 0..=whole.len() {
            let mut decoder = Decoder::default();
            let payload = decode(&mut decoder, &whole[..cut], (read, room));
            prop_assert!(sent.starts_with(&payload));
            let is_whole = cut == whole.len();
            prop_assert_eq!(decoder.has_ended(), is_whole);
            prop_assert_eq!(decoder.close().is_ok(), is_whole);
            if is_whole {
                prop_assert_eq!(&payload, &sent);
            }
        }
    }
}

/// Bytes after the mark belong to no answer.
#[gtest]
fn nothing_follows_the_mark() {
    let mut decoder = Decoder::default();
    let mut bytes = encode(&[b"answer".to_vec()]);
    bytes.extend(frames::END);
    bytes.extend(encode(&[b"more".to_vec()]));
    expect_that!(&decode(&mut decoder, &bytes, (64, 64))[..], eq(b"answer"));
    expect_that!(decoder.decode(&bytes, 64).payload, eq(0));
    expect_that!(decoder.close(), ok(anything()));
}

#[gtest]
fn pieces_that_are_too_long_for_a_frame_have_no_header() {
    expect_that!(frames::header(0xffff), some(eq([0xff, 0xff])));
    expect_that!(frames::header(0x1_0000), none());
}
