//! Integers of variable length (LEB128), numbers of units, and bounded lengths.

use super::Error;

/// Bits of the largest integer that units are sent as, since larger ones are not exact as `f64`.
const MAX_WHOLE_BITS: u32 = 53;

/// Marks units that follow as `f64`. It is odd, and whole numbers are sent doubled.
const AS_F64: u8 = 1;

pub fn put_varint(output: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        output.push(value as u8 | 0x80);
        value >>= 7;
    }
    output.push(value as u8);
}

/// Bytes with their length.
pub fn put_bytes(output: &mut Vec<u8>, bytes: &[u8]) {
    put_varint(output, bytes.len() as u64);
    output.extend(bytes);
}

/// Units: doubled as an integer if they are whole, otherwise as `f64` after a marker.
pub fn put_units(output: &mut Vec<u8>, units: f64) {
    let max = (1_u64 << MAX_WHOLE_BITS) as f64;
    if units.is_sign_positive() && units <= max && units.fract() == 0.0 {
        put_varint(output, (units as u64) << 1);
        return;
    }
    output.push(AS_F64);
    output.extend(units.to_le_bytes());
}

/// The bytes of a message that have not been read.
pub struct Input<'a>(&'a [u8]);

impl<'a> Input<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub fn rest(self) -> &'a [u8] {
        self.0
    }

    fn take(&mut self, length: usize) -> Result<&'a [u8], Error> {
        let (taken, rest) = self.0.split_at_checked(length).ok_or(Error::Invalid)?;
        self.0 = rest;
        Ok(taken)
    }

    pub fn byte(&mut self) -> Result<u8, Error> {
        Ok(self.array::<1>()?[0])
    }

    pub fn array<const N: usize>(&mut self) -> Result<[u8; N], Error> {
        let taken = self.take(N)?;
        taken.try_into().map_err(|_| Error::Invalid)
    }

    pub fn varint(&mut self) -> Result<u64, Error> {
        let mut value = 0;
        for shift in (0..u64::BITS).step_by(7) {
            let byte = self.byte()?;
            let bits = u64::from(byte & 0x7f);
            if bits << shift >> shift != bits {
                return Err(Error::Invalid);
            }
            value |= bits << shift;
            if byte & 0x80 == 0 {
                return Ok(value);
            }
        }
        Err(Error::Invalid)
    }

    pub fn varint_u32(&mut self) -> Result<u32, Error> {
        u32::try_from(self.varint()?).map_err(|_| Error::Invalid)
    }

    /// Length of a list whose elements have at least `min_bytes` each, all of which must be there.
    pub fn count(&mut self, min_bytes: usize) -> Result<usize, Error> {
        let count = usize::try_from(self.varint()?).map_err(|_| Error::Invalid)?;
        match count <= self.0.len() / min_bytes {
            true => Ok(count),
            false => Err(Error::Invalid),
        }
    }

    /// Text of at most `max_bytes`.
    pub fn text(&mut self, max_bytes: usize) -> Result<&'a str, Error> {
        let length = self.count(1)?;
        if length > max_bytes {
            return Err(Error::Invalid);
        }
        std::str::from_utf8(self.take(length)?).map_err(|_| Error::Invalid)
    }

    pub fn units(&mut self) -> Result<f64, Error> {
        match self.0.first() {
            Some(&AS_F64) => {
                self.byte()?;
                Ok(f64::from_le_bytes(self.array()?))
            }
            _ => match self.varint()? {
                doubled if doubled & 1 == 0 => Ok((doubled >> 1) as f64),
                _ => Err(Error::Invalid),
            },
        }
    }
}
