//! Operations of the command line: check, publish, show, diff, bill.
