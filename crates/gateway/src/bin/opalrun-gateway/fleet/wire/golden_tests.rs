//! Golden files: datagrams between gateways stay compatible between versions of the program.

use super::*;
use crate::golden::{case, check};

#[test]
fn datagrams_match_the_golden_files() {
    let own = deployment("main");
    let datagrams =
        [("membership", (Kind::Membership, b"swim".to_vec())), ("views", (Kind::Views, b"counts".to_vec()))];
    check(
        "datagram",
        &datagrams.map(|(stem, datagram)| case(stem, datagram)),
        |(kind, body)| encode(*kind, own, body),
        |bytes| decode(bytes, own).map(|(kind, body)| (kind, body.to_vec())).expect("a valid datagram"),
    );
}
