//! The bytes of the file. Pure.

const NAME: &[u8; 8] = b"sandtrak";
const FORMAT: u32 = 1;
/// Size of the header: name, format number, checksum of both.
pub(crate) const HEADER_BYTES: usize = 16;
/// Size of a frame's header: length and checksum of its records.
const FRAME_HEADER_BYTES: usize = 8;

/// The bytes that every file begins with.
pub(crate) fn header() -> Vec<u8> {
    header_of(FORMAT)
}

fn header_of(format: u32) -> Vec<u8> {
    let mut bytes = NAME.to_vec();
    bytes.extend(format.to_le_bytes());
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    bytes
}

/// One frame with all records. Records are shorter than 4 GiB in sum.
pub(crate) fn frame(records: &[Vec<u8>]) -> Vec<u8> {
    append_frame(Vec::new(), records)
}

/// A complete file with one frame.
pub(crate) fn file(records: &[Vec<u8>]) -> Vec<u8> {
    append_frame(header(), records)
}

/// The bytes with a frame behind them; large records are copied once.
fn append_frame(mut bytes: Vec<u8>, records: &[Vec<u8>]) -> Vec<u8> {
    let length: usize = records.iter().map(|record| record.len() + 4).sum();
    let start = bytes.len();
    bytes.reserve_exact(FRAME_HEADER_BYTES + length);
    bytes.extend((length as u32).to_le_bytes());
    bytes.extend([0; 4]); // the checksum, once the records stand behind it
    for record in records {
        bytes.extend((record.len() as u32).to_le_bytes());
        bytes.extend(record);
    }
    let sum = checksum(&bytes[start + FRAME_HEADER_BYTES..]);
    bytes[start + 4..start + FRAME_HEADER_BYTES].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Over the length too, so that a run of zeros is no frame.
fn checksum(body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(NAME);
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// What the bytes of a file are.
pub(crate) enum Content {
    /// Nothing, or the beginning of a header that was never synced.
    Uncreated,
    /// Not of this format.
    Foreign,
    /// Of a later format, by its number.
    Newer(u32),
    /// Frames that were synced are not complete any more.
    Damaged,
    /// The records of the complete frames, and where these end.
    Records { records: Vec<Vec<u8>>, end: usize },
}

/// Reads up to the first frame that isn't complete. An append that was never synced leaves such a frame, or the part of
/// one, at the very end: there is one append at a time, and what it leaves is cut off before the next. A complete frame
/// behind one that isn't complete tells that synced bytes were lost.
pub(crate) fn read(bytes: &[u8]) -> Content {
    if bytes.len() < HEADER_BYTES {
        return if header().starts_with(bytes) {
            Content::Uncreated
        } else {
            Content::Foreign
        };
    }
    match format_of(bytes) {
        Some(FORMAT) => {}
        Some(format) if format > FORMAT => return Content::Newer(format),
        _ => return Content::Foreign,
    }
    let mut records = Vec::new();
    let mut end = HEADER_BYTES;
    while let Some((found, length)) = read_frame(&bytes[end..]) {
        records.extend(found);
        end += length;
    }
    if contains_frame(&bytes[end..]) {
        return Content::Damaged;
    }
    Content::Records { records, end }
}

/// The format number, if the header is complete.
fn format_of(bytes: &[u8]) -> Option<u32> {
    let format = read_u32(bytes, NAME.len())?;
    bytes.starts_with(&header_of(format)).then_some(format)
}

/// Whether a complete frame that holds something stands anywhere in the bytes.
fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len())
        .any(|at| read_frame(&bytes[at..]).is_some_and(|(records, _)| !records.is_empty()))
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(
        bytes.get(at..at.checked_add(4)?)?.try_into().ok()?,
    ))
}

/// The records of the frame that `bytes` begins with, and its complete length.
fn read_frame(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let length = read_u32(bytes, 0)? as usize;
    let body = bytes.get(FRAME_HEADER_BYTES..FRAME_HEADER_BYTES.checked_add(length)?)?;
    if read_u32(bytes, 4)? != checksum(body) {
        return None;
    }
    let mut records = Vec::new();
    let mut at = 0;
    while at < body.len() {
        let size = read_u32(body, at)? as usize;
        records.push(body.get(at + 4..(at + 4).checked_add(size)?)?.to_vec());
        at += 4 + size;
    }
    Some((records, FRAME_HEADER_BYTES + length))
}
