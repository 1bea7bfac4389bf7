//! Identity of a request that comes again.

use claims::Digest;
use entity::name;
use forward::head::Request;
use quarantine::Part;

/// Returns the fingerprint of a request, which all repeats of it share whatever their ids: the digest of
/// its payer, method, host, path, body and of the shared parts of its prompt. Different payers have
/// different fingerprints, so that none can make a request of another one suspected, or clear it.
pub fn of(request: &Request, payer: Option<&name::Organisation>) -> Part {
    let head = &request.head;
    let payer = payer.map_or("", name::Organisation::as_str);
    let parts = head.shared_parts().iter();
    let parts: Vec<u8> = parts.flat_map(|part| part.id.to_be_bytes()).collect();
    let digest = Digest::of(&[
        payer.as_bytes(),
        head.method.as_str().as_bytes(),
        head.host.as_bytes(),
        head.target.as_bytes(),
        &request.body,
        &parts,
    ]);
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_bytes()[..8]);
    Part(u64::from_be_bytes(first))
}
