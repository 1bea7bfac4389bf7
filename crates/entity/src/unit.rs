//! Amounts with units: shares, costs, tokens, bytes and rates.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::ops::{Add, AddAssign};
use std::str::FromStr;

/// Error for a text that is not an amount.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is a number without a unit; holds the expected unit.
    #[error("the unit is missing: write {0} after the number")]
    MissingUnit(&'static str),
    /// The text is not a number with the expected unit, which the variant holds.
    #[error("not a number with the unit {0}")]
    Malformed(&'static str),
    /// The number is out of range; holds the bound.
    #[error("out of range: {0}")]
    OutOfRange(&'static str),
}

fn strip_unit<'a>(text: &'a str, unit: &'static str) -> Result<&'a str, Error> {
    if text.trim().parse::<f64>().is_ok() {
        return Err(Error::MissingUnit(unit));
    }
    text.trim()
        .strip_suffix(unit)
        .map(str::trim)
        .ok_or(Error::Malformed(unit))
}

/// Parses a non-negative decimal with at most `decimals` decimal places, and returns it as a multiple
/// of its smallest step, `10^-decimals`.
fn parse_decimal(text: &str, decimals: u32, unit: &'static str) -> Result<u64, Error> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let digits = |part: &str| part.bytes().all(|byte| byte.is_ascii_digit());
    if whole.is_empty() || !digits(whole) || !digits(fraction) || fraction.len() > decimals as usize
    {
        return Err(Error::Malformed(unit));
    }
    let scale = 10_u64.pow(decimals);
    let whole: u64 = whole.parse().map_err(|_| Error::OutOfRange("too large"))?;
    let mut fraction: Box<str> = fraction.into();
    while fraction.len() < decimals as usize {
        fraction = format!("{fraction}0").into();
    }
    let fraction: u64 = if decimals == 0 {
        0
    } else {
        fraction.parse().map_err(|_| Error::Malformed(unit))?
    };
    whole
        .checked_mul(scale)
        .and_then(|steps| steps.checked_add(fraction))
        .ok_or(Error::OutOfRange("too large"))
}

fn write_decimal(f: &mut fmt::Formatter<'_>, steps: u64, decimals: u32) -> fmt::Result {
    let scale = 10_u64.pow(decimals);
    write!(f, "{}", steps / scale)?;
    let fraction = steps % scale;
    if fraction == 0 {
        return Ok(());
    }
    let text = format!("{fraction:0width$}", width = decimals as usize);
    write!(f, ".{}", text.trim_end_matches('0'))
}

/// A share of a whole, in parts per million, written as a percentage: `12.5%`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Share(u32);

impl Share {
    /// The share of 0%.
    pub const NONE: Self = Self(0);
    /// The share of 100%.
    pub const WHOLE: Self = Self(1_000_000);

    /// Creates a share from whole per cent. Panics if `percent` exceeds 100.
    pub const fn percent(percent: u32) -> Self {
        assert!(percent <= 100);
        Self(percent * 10_000)
    }

    /// Creates a share from parts per million. Panics if `ppm` exceeds 1,000,000.
    pub const fn from_ppm(ppm: u32) -> Self {
        assert!(ppm <= 1_000_000);
        Self(ppm)
    }

    /// Returns the share in parts per million.
    pub const fn ppm(self) -> u32 {
        self.0
    }

    /// Returns the share as a fraction from 0 to 1.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1e6
    }

    /// Creates the nearest share to a fraction, which is clamped to the range from 0 to 1.
    pub fn from_fraction(fraction: f64) -> Self {
        Self((fraction.clamp(0.0, 1.0) * 1e6).round() as u32)
    }
}

impl FromStr for Share {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let ppm = parse_decimal(strip_unit(text, "%")?, 4, "%")?;
        if ppm > 1_000_000 {
            return Err(Error::OutOfRange("at most 100%"));
        }
        Ok(Self(ppm as u32))
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_decimal(f, u64::from(self.0), 4)?;
        f.write_str("%")
    }
}

/// An amount of money, in millionths of a credit, written in credits: `0.25cr`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Cost(pub u64);

impl Cost {
    /// Creates an amount from credits with a fraction; an amount that is not positive becomes zero.
    pub fn from_credits(credits: f64) -> Self {
        Self((credits.max(0.0) * 1e6).round() as u64)
    }

    /// Returns the amount in credits, with the fraction.
    pub fn credits(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl FromStr for Cost {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_decimal(strip_unit(text, "cr")?, 6, "cr").map(Self)
    }
}

impl fmt::Display for Cost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_decimal(f, self.0, 6)?;
        f.write_str("cr")
    }
}

impl Add for Cost {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Cost {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

/// A number of tokens, written as `4096tok`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Returns the cost of the tokens at a price per 1000 tokens, rounded up to a millionth of a
    /// credit.
    pub fn cost(self, per_thousand: Cost) -> Cost {
        Cost(self.0.saturating_mul(per_thousand.0).div_ceil(1000))
    }
}

impl FromStr for Tokens {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_decimal(strip_unit(text, "tok")?, 0, "tok").map(Self)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}tok", self.0)
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        self.0 = self.0.saturating_add(other.0);
    }
}

/// A number of bytes, written as `512B`, `64KiB` or `8MiB`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Bytes(pub u64);

const BYTE_UNITS: [(&str, u64); 3] = [("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)];

impl FromStr for Bytes {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        const UNIT: &str = "B, KiB or MiB";
        for (name, size) in BYTE_UNITS {
            let Some(count) = text.strip_suffix(name) else {
                continue;
            };
            let count = parse_decimal(count, 0, UNIT)?;
            return count
                .checked_mul(size)
                .map(Self)
                .ok_or(Error::OutOfRange("too large"));
        }
        if text.bytes().all(|byte| byte.is_ascii_digit()) && !text.is_empty() {
            return Err(Error::MissingUnit(UNIT));
        }
        Err(Error::Malformed(UNIT))
    }
}

impl fmt::Display for Bytes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, size) in BYTE_UNITS {
            if self.0 > 0 && self.0.is_multiple_of(size) {
                return write!(f, "{}{name}", self.0 / size);
            }
        }
        write!(f, "{}B", self.0)
    }
}

/// A number of events per second in thousandths, written as `2.4/s`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Frequency(pub u64);

impl Frequency {
    /// Returns the number of events per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl FromStr for Frequency {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_decimal(strip_unit(text, "/s")?, 3, "/s").map(Self)
    }
}

impl fmt::Display for Frequency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.per_second())
    }
}

/// A number of events per second, written as `300/s`.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    SerializeDisplay,
    DeserializeFromStr,
)]
pub struct Rate(pub u64);

impl FromStr for Rate {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        parse_decimal(strip_unit(text, "/s")?, 0, "/s").map(Self)
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}
