//! Buffers whose memory goes back to the operating system when they are dropped.

/// Length from which a buffer has a mapping of its own.
pub const MAPPED_FROM_BYTES: usize = 256 * 1024;

/// Capacity of such a buffer. The C library maps allocations of more than 32 MiB one by one and unmaps them when
/// they are freed. What is freed of smaller ones stays resident in the arena of the thread that allocated them,
/// where the others cannot use it. Pages that are not written take no memory.
const MAPPED_BYTES: usize = 33 * 1024 * 1024;

/// Bytes that arrive piece by piece.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Number of bytes of memory that it takes.
    pub fn resident(&self) -> usize {
        match self.bytes.len() < MAPPED_FROM_BYTES {
            true => self.bytes.capacity(),
            false => self.bytes.len(),
        }
    }

    /// Appends a copy of a piece. The buffer is to have `length` bytes, as far as that is known.
    pub fn append(&mut self, piece: &[u8], length: Option<usize>) {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            self.grow(needed.max(length.unwrap_or(0)));
        }
        self.bytes.extend_from_slice(piece);
    }

    fn grow(&mut self, needed: usize) {
        let additional = |capacity: usize| capacity - self.bytes.len();
        if needed < MAPPED_FROM_BYTES {
            let additional = additional(needed.next_power_of_two());
            return self.bytes.reserve_exact(additional);
        }
        let mapped = additional(needed.max(MAPPED_BYTES));
        // Fails where the address space of the process is limited.
        if self.bytes.try_reserve_exact(mapped).is_err() {
            self.bytes.reserve(needed - self.bytes.len());
        }
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
