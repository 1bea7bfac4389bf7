//! Reader of the members in a Thrift file, as far as `fellow.thrift` uses the language.

use std::fmt;

/// A field of a struct or union, or a value of an enum. Names of fields don't go over the wire.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// `struct`, `union` or `enum`.
    pub kind: Box<str>,
    /// Name of the struct, union or enum.
    pub owner: Box<str>,
    /// Number of the field, or the value.
    pub number: i16,
    /// `required`, `optional` or `-`.
    pub requirement: Box<str>,
    /// Type of the field; `-` for a value.
    pub data: Box<str>,
}

impl fmt::Display for Member {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            kind,
            owner,
            number,
            requirement,
            data,
        } = self;
        write!(formatter, "{kind} {owner} {number} {requirement} {data}")
    }
}

/// Reads a table of members, one on each line as they are displayed.
pub fn read_table(table: &str) -> Vec<Member> {
    let mut members = Vec::new();
    for line in table.lines() {
        let words: Vec<&str> = line.split(' ').collect();
        let [kind, owner, number, requirement, data] = words[..] else {
            panic!("not a member: {line}");
        };
        members.push(Member {
            kind: kind.into(),
            owner: owner.into(),
            number: number.parse().unwrap(),
            requirement: requirement.into(),
            data: data.into(),
        });
    }
    members
}

/// Returns all members that a Thrift file defines.
pub fn parse(text: &str) -> Vec<Member> {
    let mut members = Vec::new();
    let mut owner: Option<(Box<str>, Box<str>)> = None;
    for line in without_comments(text).lines() {
        let line = line.trim().trim_end_matches(',');
        let words: Vec<&str> = line.split_whitespace().collect();
        match (&words[..], &owner) {
            ([], _) => {}
            (["}"], _) => owner = None,
            ([kind, name, "{"], _) => owner = Some(((*kind).into(), (*name).into())),
            ([_, "=", value], Some((kind, name))) => members.push(Member {
                kind: kind.clone(),
                owner: name.clone(),
                number: value.parse().unwrap(),
                requirement: "-".into(),
                data: "-".into(),
            }),
            ([number, rest @ .., _], Some((kind, name))) => {
                let (requirement, data) = match rest {
                    [requirement, data] => (*requirement, *data),
                    [data] => ("-", *data),
                    _ => panic!("not a field: {line}"),
                };
                members.push(Member {
                    kind: kind.clone(),
                    owner: name.clone(),
                    number: number.trim_end_matches(':').parse().unwrap(),
                    requirement: requirement.into(),
                    data: data.into(),
                });
            }
            _ => panic!("not understood: {line}"),
        }
    }
    members
}

fn without_comments(text: &str) -> String {
    let mut code = String::new();
    let mut rest = text;
    while let Some(begin) = rest.find("/*") {
        code.push_str(&rest[..begin]);
        let comment = &rest[begin..];
        let end = comment.find("*/").expect("a comment ends");
        rest = &comment[end + 2..];
    }
    code.push_str(rest);
    let lines = code.lines().map(|line| line.split("//").next().unwrap());
    lines.collect::<Vec<&str>>().join("\n")
}
