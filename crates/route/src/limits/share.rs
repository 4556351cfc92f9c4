//! Apportionment of whole numbers by shares.

/// Returns the part of `whole` for the share at index `at`, by the largest remainder method.
///
/// The parts of entries that use the same shares add up to `whole`.
///
/// # Panics
///
/// Panics if `at` is not an index of `shares`.
pub fn apportion(whole: u32, shares: &[f64], at: usize) -> u32 {
    let exact = |share: &f64| f64::from(whole) * share;
    let floors: u32 = shares.iter().map(|share| exact(share) as u32).sum();
    let rest = whole.saturating_sub(floors) as usize;
    let mut by_remainder: Vec<usize> = (0..shares.len()).collect();
    let remainder = |index: &usize| exact(&shares[*index]).fract();
    by_remainder.sort_by(|a, b| remainder(b).total_cmp(&remainder(a)).then(a.cmp(b)));
    let gets_one_more = by_remainder.iter().take(rest).any(|index| *index == at);
    exact(&shares[at]) as u32 + u32::from(gets_one_more)
}
