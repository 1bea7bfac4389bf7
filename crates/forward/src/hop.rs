//! Headers of one connection, which are not passed on (RFC 9110, section 7.6.1).

use hyper::header::{self, HeaderMap, HeaderName};

/// Headers that belong to one connection whether or not it lists them. The length is among them since
/// hyper writes that of what it sends.
const OWN: [HeaderName; 11] = [
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

/// Removes the headers of a connection, but for those that a sender may not list as such.
pub fn strip(headers: &mut HeaderMap, needed: &[HeaderName]) {
    let mut listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    listed.retain(|name| !needed.contains(name));
    for name in OWN.iter().chain(&listed) {
        headers.remove(name);
    }
}
