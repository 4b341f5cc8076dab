//! Rendezvous hashing: all processes that know the same candidates make the same choice.

use xxhash_rust::xxh3::Xxh3Default;

/// The `count` candidates with the highest scores for `key`, in descending order.
///
/// Adding or removing a candidate does not change the order of the others.
pub fn choose<'a, T>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
    name: impl Fn(&T) -> &str,
    count: usize,
) -> Vec<&'a T> {
    let mut ranked: Vec<(u64, &T)> = candidates
        .into_iter()
        .map(|candidate| (score(key, name(candidate)), candidate))
        .collect();
    ranked.sort_by(|(one, first), (other, second)| {
        other.cmp(one).then_with(|| name(first).cmp(name(second)))
    });
    ranked
        .into_iter()
        .take(count)
        .map(|(_, candidate)| candidate)
        .collect()
}

/// A hash that is the same in every process, for splits by weight.
pub fn hash(key: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(key.as_bytes())
}

/// Whether `own` has the highest score for `key` among itself and `others`.
pub fn ranks_highest(key: &str, own: u64, others: impl IntoIterator<Item = u64>) -> bool {
    let score = |candidate: u64| (score(key, &candidate.to_string()), candidate);
    let own = score(own);
    others.into_iter().all(|other| score(other) <= own)
}

fn score(key: &str, name: &str) -> u64 {
    let mut hasher = Xxh3Default::new();
    hasher.update(key.as_bytes());
    // A separator that never occurs in UTF-8 text distinguishes "a" + "bc" from "ab" + "c".
    hasher.update(&[u8::MAX]);
    hasher.update(name.as_bytes());
    hasher.digest()
}
