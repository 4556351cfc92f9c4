//! Splits whole numbers by shares, so that the parts add up.

/// Returns the part of `whole` that falls to the place `at`, by the largest remainder.
///
/// Entries that see the same shares get parts that add up to `whole`.
pub fn apportion(whole: u32, shares: &[f64], at: usize) -> u32 {
    let exact = |share: &f64| f64::from(whole) * share;
    let floors: u32 = shares.iter().map(|share| exact(share) as u32).sum();
    let rest = whole.saturating_sub(floors) as usize;
    let mut by_remainder: Vec<usize> = (0..shares.len()).collect();
    let remainder = |place: &usize| exact(&shares[*place]).fract();
    by_remainder.sort_by(|a, b| remainder(b).total_cmp(&remainder(a)).then(a.cmp(b)));
    let gets_one_more = by_remainder.iter().take(rest).any(|place| *place == at);
    exact(&shares[at]) as u32 + u32::from(gets_one_more)
}
