//! Rendezvous hashing: every host computes the same ranking of members for a key, without
//! communication.

use xxhash_rust::xxh3;

/// Returns how many of the other members rank before `own` for a key; zero means that `own` ranks
/// first.
pub fn rank<'a>(members: impl Iterator<Item = &'a str>, own: &str, key: &str) -> usize {
    let mine = weight(own, key);
    members.filter(|member| *member != own && weight(member, key) > mine).count()
}

/// Returns the weight of a member for a key; the member with the highest weight ranks first.
#[must_use]
pub fn weight(member: &str, key: &str) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(key.as_bytes());
    hash.update(&[0]);
    hash.update(member.as_bytes());
    hash.digest()
}
