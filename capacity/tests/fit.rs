//! Tests of the line fit, the spread and the subset size.

use capacity::fit::{Line, Spread};
use googletest::prelude::*;

#[gtest]
fn a_line_fits_collinear_points_exactly() {
    let line = Line::fit(&[(10.0, 25.0), (20.0, 45.0), (40.0, 85.0)]).unwrap();
    expect_that!(line.slope, approx_eq(2.0));
    expect_that!(line.intercept, approx_eq(5.0));
    expect_that!(line.residual, near(0.0, 1e-9));
    expect_that!(line.at(320.0), approx_eq(645.0));
}

#[gtest]
fn the_residual_is_the_largest_distance() {
    let line = Line::fit(&[(0.0, 0.0), (1.0, 3.0), (2.0, 0.0)]).unwrap();
    expect_that!(line.slope, near(0.0, 1e-9));
    expect_that!(line.intercept, approx_eq(1.0));
    expect_that!(line.residual, approx_eq(2.0));
}

#[gtest]
fn one_size_gives_no_line() {
    expect_that!(Line::fit(&[]), none());
    expect_that!(Line::fit(&[(3.0, 1.0)]), none());
    expect_that!(Line::fit(&[(3.0, 1.0), (3.0, 2.0)]), none());
}

#[gtest]
fn a_spread_has_minimum_median_and_maximum() {
    let spread = Spread::of(&[3.0, 1.0, 2.0]).unwrap();
    expect_that!(spread.min, eq(1.0));
    expect_that!(spread.median, eq(2.0));
    expect_that!(spread.max, eq(3.0));
    expect_that!(Spread::of(&[]), none());
}

#[gtest]
fn a_subset_holds_at_most_sixteen_of_each_version() {
    expect_that!(capacity::upstreams::subset_size(30, 5), eq(30));
    expect_that!(capacity::upstreams::subset_size(30, 25), eq(30));
    expect_that!(capacity::upstreams::subset_size(800, 25), eq(400));
}
