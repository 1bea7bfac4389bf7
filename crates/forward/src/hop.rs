//! Removal of hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that are hop-by-hop whether or not `Connection` lists them. `Content-Length` is among
/// them because hyper writes the length of the body that it sends.
const HOP_BY_HOP: [HeaderName; 11] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

/// Removes the hop-by-hop headers, including those that `Connection` lists. Headers in `needed` are
/// kept even if the sender lists them.
pub fn strip(headers: &mut HeaderMap, needed: &[HeaderName]) {
    let mut listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    listed.retain(|name| !needed.contains(name));
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}
