//! Divides the memory for servers' responses that are read to their end before they are forwarded.
//!
//! Load pattern: a server in trouble sends bodies without end to many requests at once, beside sound
//! servers whose responses are small. When the memory is used up, the largest response gives way: a
//! body without end becomes the largest before long.

use std::collections::BTreeMap;

/// Identifies a response that is being read or was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResponseId(u64);

impl ResponseId {
    /// Returns the number, which is unique in the process.
    pub fn number(self) -> u64 {
        self.0
    }
}

/// What becomes of a response that grows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Growth {
    /// There is room, after these other responses were abandoned.
    Granted(Vec<ResponseId>),
    /// The response itself is abandoned.
    Abandoned,
}

/// The memory that responses take up.
#[derive(Debug)]
pub struct ResponseMemory {
    limit: usize,
    used: usize,
    /// The size of each response, and whether it is still being read.
    responses: BTreeMap<ResponseId, (usize, bool)>,
    next_id: u64,
}

impl ResponseMemory {
    /// Creates the state of a memory of so many bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit, used: 0, responses: BTreeMap::new(), next_id: 0 }
    }

    /// Adds a response, of which nothing has been read.
    pub fn open(&mut self) -> ResponseId {
        self.next_id += 1;
        let id = ResponseId(self.next_id);
        self.responses.insert(id, (0, true));
        id
    }

    /// Decides whether a response may take up so many bytes more.
    pub fn grow(&mut self, id: ResponseId, bytes: usize) -> Growth {
        let Some((own, _)) = self.responses.get(&id).copied() else { return Growth::Abandoned };
        let mut abandoned = Vec::new();
        while self.used + bytes > self.limit {
            let others = self.responses.iter().filter(|(other, _)| **other != id);
            let reading = others.filter(|(_, (_, is_reading))| *is_reading);
            let largest =
                reading.max_by_key(|(_, (size, _))| *size).map(|(id, (size, _))| (*id, *size));
            match largest {
                Some((other, size)) if size > own + bytes => {
                    self.close(other);
                    abandoned.push(other);
                }
                _ => {
                    self.close(id);
                    return Growth::Abandoned;
                }
            }
        }
        self.used += bytes;
        self.responses.insert(id, (own + bytes, true));
        Growth::Granted(abandoned)
    }

    /// Records that a response was read to its end; it is not abandoned any more.
    pub fn complete(&mut self, id: ResponseId) {
        if let Some((_, is_reading)) = self.responses.get_mut(&id) {
            *is_reading = false;
        }
    }

    /// Frees the memory of a response.
    pub fn close(&mut self, id: ResponseId) {
        if let Some((size, _)) = self.responses.remove(&id) {
            self.used -= size;
        }
    }

    /// Returns the number of bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }
}
