//! Hash functions whose values agree between all proxies, whatever their version of the standard library.

/// Offset basis of 64-bit FNV-1a.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// Mixes the bits of a number: the finalizer of SplitMix64 (Steele, Lea, Flood: "Fast splittable pseudorandom number
/// generators", 2014).
#[must_use]
pub fn mix64(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Hash of a name: FNV-1a, its bits mixed by [`mix64`].
#[must_use]
pub fn hash_name(name: &str) -> u64 {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    mix64(name.bytes().fold(FNV_OFFSET_BASIS, step))
}
