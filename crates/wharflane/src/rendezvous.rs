//! Rendezvous hashing: everyone ranks the same members for a key without talking.

use xxhash_rust::xxh3;

/// Returns how many members go before one of them for a key; zero for the first.
pub fn rank<'a>(members: impl Iterator<Item = &'a str>, own: &str, key: &str) -> usize {
    let mine = weight(own, key);
    members.filter(|member| *member != own && weight(member, key) > mine).count()
}

/// Returns the weight of a member for a key.
#[must_use]
pub fn weight(member: &str, key: &str) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(key.as_bytes());
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}
