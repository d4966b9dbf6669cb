//! Frames of a session, told without being kept: a simulated proxy counts a document of many megabytes and throws it away.
//! It owns the place within a frame; it must never hold more than [`KEPT`] bytes of one.
use sandtrack_protocol::frames::{self, ToProxy, FRAME_MAX};

/// A frame up to this long is decoded whole; of a longer one only the head is looked at.
pub const KEPT: usize = 32 * 1024;

/// What a frame to a proxy says, as far as it is measured.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    Whole(ToProxy),
    /// Too long to be kept.
    Configuration {
        number: u64,
        version: u64,
    },
    Changes {
        from_number: u64,
        number: u64,
        version: u64,
    },
    Upstreams,
    Other,
}

/// What is wrong with the bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("these are no frames")]
pub struct NoFrame;

#[derive(Debug, Default)]
pub struct Skimmer {
    head: Vec<u8>,
    /// Length of the frame's content once it is known, and how much of it has come.
    length: Option<usize>,
    came: usize,
}

impl Skimmer {
    /// Takes bytes in; tells each frame that ended, with its length on the wire.
    ///
    /// # Errors
    /// Where the bytes are no frames.
    pub fn take(&mut self, mut bytes: &[u8], mut told: impl FnMut(Told, usize)) -> Result<(), NoFrame> {
        while !bytes.is_empty() {
            let wanted = match self.length {
                None => 4 - self.head.len(),
                Some(length) => length - self.came,
            };
            let (piece, rest) = bytes.split_at(wanted.min(bytes.len()));
            bytes = rest;
            let room = KEPT + 4 - self.head.len();
            self.head.extend_from_slice(&piece[..piece.len().min(room)]);
            match self.length {
                None => {
                    let Some(head) = self.head.first_chunk::<4>() else { return Ok(()) };
                    let length = u32::from_be_bytes(*head) as usize;
                    if length == 0 || length > FRAME_MAX {
                        return Err(NoFrame);
                    }
                    self.length = Some(length);
                }
                Some(length) => {
                    self.came += piece.len();
                    if self.came == length {
                        told(tell(&self.head, length)?, 4 + length);
                        self.head.clear();
                        self.head.shrink_to(64);
                        (self.length, self.came) = (None, 0);
                    }
                }
            }
        }
        Ok(())
    }
}

fn tell(head: &[u8], length: usize) -> Result<Told, NoFrame> {
    if length <= KEPT {
        let taken = frames::take::<ToProxy>(head).map_err(|_| NoFrame)?;
        return taken.map(|(frame, _)| Told::Whole(frame)).ok_or(NoFrame);
    }
    // A borsh enum begins with the place of its variant; numbers are little endian.
    let number = |at: usize| {
        let bytes = head.get(5 + 8 * at..).and_then(<[u8]>::first_chunk::<8>).ok_or(NoFrame)?;
        Ok(u64::from_le_bytes(*bytes))
    };
    Ok(match head.get(4) {
        Some(1) => Told::Configuration { number: number(0)?, version: number(1)? },
        Some(2) => Told::Changes { from_number: number(0)?, number: number(1)?, version: number(2)? },
        Some(4) => Told::Upstreams,
        _ => Told::Other,
    })
}
