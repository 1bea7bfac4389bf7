//! Edge cases of the fold and the publisher: formats, gaps, conflicts and lost copies.

use adoption::publisher::{Appending, Error as PublishError, Outcome};
use adoption::{Checkpoint, Error, FORMAT, Fold, Id, Page, Publication, Reason, Record, Step};
use entity::{Generation, Offset};
use googletest::prelude::*;

fn publication(id: u128, base: u64, text: &str) -> Publication {
    Publication {
        format: FORMAT,
        id: Id(id),
        base: Generation(base),
        author: format!("author-{id}").into(),
        text: text.into(),
    }
}

fn published(id: u128, base: u64) -> Vec<u8> {
    Record::Publication(publication(id, base, &format!("; {id}"))).encode()
}

fn checkpoint(generation: u64, read_through: u64, text: &str) -> Checkpoint {
    Checkpoint {
        format: FORMAT,
        generation: Generation(generation),
        read_through: Offset(read_through),
        author: "author".into(),
        text: text.into(),
    }
}

/// Passes records from offset `first` on to a fold; `first` is the first retained one.
fn read(fold: &mut Fold, first: u64, records: &[Vec<u8>]) -> std::result::Result<Vec<Step>, Error> {
    let mut steps = Vec::new();
    let page = Page {
        first: Offset(first),
        next: Offset(first + records.len() as u64),
        records: (first..)
            .zip(records)
            .map(|(offset, data)| (Offset(offset), data.as_slice()))
            .collect(),
    };
    fold.read(&page, &mut steps).map(|()| steps)
}

#[gtest]
fn publisher_can_start_on_an_empty_stream() -> Result<()> {
    let mut fold = Fold::new();
    read(&mut fold, 1, &[])?;
    expect_that!(fold.position(), some(eq(Offset(0))));
    expect_that!(fold.in_force().is_none(), is_true());
    let publisher = Appending::new(publication(1, 0, ""), &fold);
    expect_true!(publisher.is_ok());
    Ok(())
}

#[gtest]
fn rejection_names_the_author_of_the_generation_in_force() -> Result<()> {
    let mut fold = Fold::new();
    let steps = read(&mut fold, 1, &[published(1, 0), published(2, 0)])?;
    let expected = Reason::Base {
        base: Generation(0),
        in_force: Generation(1),
        author: "author-1".into(),
    };
    expect_that!(
        steps.last(),
        some(eq(&Step::Rejected {
            offset: Offset(2),
            id: Id(2),
            author: "author-2".into(),
            reason: expected,
        }))
    );
    Ok(())
}

#[gtest]
fn invalid_text_is_rejected_with_its_findings() -> Result<()> {
    let mut fold = Fold::new();
    let record = Record::Publication(publication(1, 0, "[zone a]")).encode();
    let steps = read(&mut fold, 1, &[record])?;
    let Some(Step::Rejected {
        reason: Reason::Text(findings),
        ..
    }) = steps.last()
    else {
        return fail!("not rejected for its text: {steps:?}");
    };
    expect_that!(findings.0.len(), eq(1));
    expect_that!(fold.generation(), eq(Generation(0)));
    Ok(())
}

#[gtest]
fn record_of_another_format_stops_the_fold_with_an_error() -> Result<()> {
    let foreign = br#"{"record":"publication","format":2,"anything":[]}"#.to_vec();
    let mut fold = Fold::new();
    read(&mut fold, 1, &[published(1, 0)])?;
    let error = read(&mut fold, 1, &[published(1, 0), foreign, published(2, 1)]);
    let expected = Error::Format {
        offset: Offset(2),
        format: 2,
    };
    expect_that!(error, err(eq(&expected)));
    expect_that!(
        expected.to_string(),
        eq("the record at offset 2 has format 2; this release reads 1")
    );
    expect_that!(fold.position(), some(eq(Offset(1))));
    expect_that!(fold.generation(), eq(Generation(1)));
    Ok(())
}

#[gtest]
fn malformed_record_changes_nothing() -> Result<()> {
    let mut fold = Fold::new();
    let garbage = vec![0xff, 0x00];
    let steps = read(&mut fold, 1, &[garbage, published(1, 0)])?;
    expect_that!(steps[0], eq(&Step::Malformed { offset: Offset(1) }));
    expect_that!(fold.generation(), eq(Generation(2)));
    Ok(())
}

#[gtest]
fn gap_in_a_page_is_an_error() {
    let mut fold = Fold::new();
    let data = published(1, 0);
    let page = Page {
        first: Offset(1),
        next: Offset(3),
        records: vec![(Offset(2), &data)],
    };
    let error = fold.read(&page, &mut Vec::new());
    let expected = Error::Gap {
        expected: Offset(1),
        offset: Offset(2),
    };
    expect_that!(error, err(eq(expected)));
}

#[gtest]
fn log_that_lost_records_is_an_error() -> Result<()> {
    let mut fold = Fold::new();
    read(&mut fold, 1, &[published(1, 0), published(2, 1)])?;
    let error = read(&mut fold, 1, &[published(3, 0)]);
    let expected = Error::Rewound {
        expected: Offset(3),
        next: Offset(2),
    };
    expect_that!(error, err(eq(&expected)));
    expect_that!(fold.generation(), eq(Generation(2)));
    Ok(())
}

#[gtest]
fn fresh_reader_folds_the_records_after_the_prefix_of_a_checkpoint() -> Result<()> {
    // A checkpoint of the prefix through 6 is appended at 9, after the publications at 7 and 8.
    let late = Record::Checkpoint(checkpoint(5, 6, "; five")).encode();
    let records = [published(7, 5), published(8, 5), late];
    let mut fold = Fold::new();
    read(&mut fold, 7, &records)?;
    expect_that!(fold.generation(), eq(Generation(7)));
    expect_that!(fold.position(), some(eq(Offset(9))));
    Ok(())
}

#[gtest]
fn checkpoint_whose_prefix_ends_before_the_retained_records_is_ignored() -> Result<()> {
    let late = Record::Checkpoint(checkpoint(5, 5, "; five")).encode();
    let mut fold = Fold::new();
    read(&mut fold, 7, &[published(7, 5), late])?;
    expect_that!(fold.position(), none());
    expect_that!(fold.buffered(), eq(2));
    expect_true!(fold.in_force().is_none());
    Ok(())
}

#[gtest]
fn reader_is_fresh_after_a_gap_and_keeps_its_generation() -> Result<()> {
    let mut fold = Fold::new();
    read(&mut fold, 1, &[published(1, 0)])?;
    let steps = read(&mut fold, 4, &[published(9, 3)])?;
    expect_that!(steps, eq(&vec![Step::Restarted { first: Offset(4) }]));
    expect_that!(fold.generation(), eq(Generation(1)));
    expect_that!(fold.position(), none());
    let written = Record::Checkpoint(checkpoint(3, 3, "; three")).encode();
    read(&mut fold, 4, &[published(9, 3), written])?;
    expect_that!(fold.generation(), eq(Generation(4)));
    Ok(())
}

#[gtest]
fn learned_text_is_in_force_at_once_and_the_fold_agrees_later() -> Result<()> {
    let mut fold = Fold::new();
    let mut steps = Vec::new();
    expect_true!(fold.learn(&checkpoint(2, 2, "; 2"), &mut steps)?);
    expect_false!(fold.learn(&checkpoint(1, 1, "; 1"), &mut steps)?);
    expect_that!(fold.generation(), eq(Generation(2)));
    let steps = read(&mut fold, 1, &[published(1, 0), published(2, 1)])?;
    expect_that!(fold.generation(), eq(Generation(2)));
    expect_false!(
        steps
            .iter()
            .any(|step| matches!(step, Step::Conflict { .. }))
    );
    Ok(())
}

#[gtest]
fn disagreements_are_reported_as_conflicts() -> Result<()> {
    let conflict = |steps: &[Step]| {
        steps
            .iter()
            .any(|step| matches!(step, Step::Conflict { .. }))
    };
    let mut steps = Vec::new();
    // A learned generation that the fold then passes without accepting it.
    let mut fold = Fold::new();
    fold.learn(&checkpoint(2, 2, "; other"), &mut steps)?;
    expect_true!(conflict(&read(
        &mut fold,
        1,
        &[published(1, 0), published(2, 0)]
    )?));
    // The same generation with another text.
    let mut fold = Fold::new();
    read(&mut fold, 1, &[published(1, 0)])?;
    fold.learn(&checkpoint(1, 1, "; other"), &mut steps)?;
    expect_true!(conflict(&steps));
    // A checkpoint of the prefix that was just folded, with another generation.
    let wrong = Record::Checkpoint(checkpoint(0, 1, "")).encode();
    expect_true!(conflict(&read(&mut fold, 1, &[published(1, 0), wrong])?));
    expect_that!(fold.generation(), eq(Generation(1)));
    Ok(())
}

#[gtest]
fn checkpoint_with_a_generation_after_its_prefix_is_ignored() -> Result<()> {
    let impossible = Record::Checkpoint(checkpoint(9, 6, "; nine")).encode();
    let mut fold = Fold::new();
    read(&mut fold, 7, &[impossible])?;
    expect_that!(fold.position(), none());
    Ok(())
}

#[gtest]
fn publisher_fails_to_start_before_its_base_is_read() -> Result<()> {
    let mut fold = Fold::new();
    let fresh = Appending::new(publication(1, 0, ""), &fold);
    expect_that!(fresh.map(|_| ()), err(eq(PublishError::Fresh)));
    read(&mut fold, 1, &[published(1, 0)])?;
    let ahead = Appending::new(publication(2, 7, ""), &fold);
    let expected = PublishError::Base {
        base: Generation(7),
        in_force: Generation(1),
    };
    expect_that!(ahead.map(|_| ()), err(eq(expected)));
    Ok(())
}

#[gtest]
fn outcome_is_unknown_if_all_copies_expired_unread() -> Result<()> {
    let mut fold = Fold::new();
    read(&mut fold, 1, &[published(1, 0)])?;
    let publisher = Appending::new(publication(2, 1, "; 2"), &fold)?.confirmed();
    let written = Record::Checkpoint(checkpoint(2, 3, "; 2")).encode();
    let steps = read(&mut fold, 4, &[written])?;
    expect_that!(publisher.observe(&steps), some(eq(&Outcome::Unknown)));
    Ok(())
}

#[gtest]
fn first_copy_determines_the_verdict() -> Result<()> {
    let mut fold = Fold::new();
    read(&mut fold, 1, &[published(1, 0)])?;
    let publisher = Appending::new(publication(2, 1, "; 2"), &fold)?;
    let steps = read(
        &mut fold,
        1,
        &[published(1, 0), published(2, 1), published(2, 1)],
    )?;
    let expected = Outcome::Accepted(Generation(2));
    expect_that!(publisher.observe(&steps), some(eq(&expected)));
    expect_that!(publisher.confirmed().observe(&steps), some(eq(&expected)));
    Ok(())
}

#[gtest]
fn records_round_trip_through_their_encoding() -> Result<()> {
    let records = [
        Record::Publication(publication(7, 5, "; \"quoted\"\n")),
        Record::Checkpoint(checkpoint(5, 6, "; five")),
    ];
    for record in records {
        let read: Record = serde_json::from_slice(&record.encode())?;
        expect_that!(read, eq(&record));
    }
    Ok(())
}
