//! A thrift input protocol that bounds collection sizes by the message length.
//!
//! Generated code reserves memory for as many elements as a list claims, so a
//! corrupt or malicious message of a few bytes could request gigabytes. Every
//! element takes at least one byte of the message, so a larger claim is
//! malformed.
//!
//! Strings are left to the thrift crate, which reserves zeroed memory for up to
//! 4 GiB and frees it untouched when the message is shorter.

use thrift::protocol::{
    TCompactInputProtocol, TFieldIdentifier, TInputProtocol, TListIdentifier, TMapIdentifier,
    TMessageIdentifier, TSetIdentifier, TStructIdentifier,
};
use thrift::{ProtocolError, ProtocolErrorKind, Result};

/// Reads a message whose collection sizes are bounded by its length.
pub(crate) struct BoundedInput<'a> {
    input: TCompactInputProtocol<&'a [u8]>,
    max_elements: usize,
}

impl<'a> BoundedInput<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self {
            input: TCompactInputProtocol::new(bytes),
            max_elements: bytes.len(),
        }
    }

    fn check_size(&self, claimed: i32) -> Result<()> {
        match usize::try_from(claimed) {
            Ok(elements) if elements <= self.max_elements => Ok(()),
            _ => Err(thrift::Error::Protocol(ProtocolError::new(
                ProtocolErrorKind::SizeLimit,
                format!("{claimed} elements in {} bytes", self.max_elements),
            ))),
        }
    }
}

impl TInputProtocol for BoundedInput<'_> {
    fn read_list_begin(&mut self) -> Result<TListIdentifier> {
        let list = self.input.read_list_begin()?;
        self.check_size(list.size)?;
        Ok(list)
    }

    fn read_set_begin(&mut self) -> Result<TSetIdentifier> {
        let set = self.input.read_set_begin()?;
        self.check_size(set.size)?;
        Ok(set)
    }

    fn read_map_begin(&mut self) -> Result<TMapIdentifier> {
        let map = self.input.read_map_begin()?;
        self.check_size(map.size)?;
        Ok(map)
    }

    fn read_message_begin(&mut self) -> Result<TMessageIdentifier> {
        self.input.read_message_begin()
    }

    fn read_message_end(&mut self) -> Result<()> {
        self.input.read_message_end()
    }

    fn read_struct_begin(&mut self) -> Result<Option<TStructIdentifier>> {
        self.input.read_struct_begin()
    }

    fn read_struct_end(&mut self) -> Result<()> {
        self.input.read_struct_end()
    }

    fn read_field_begin(&mut self) -> Result<TFieldIdentifier> {
        self.input.read_field_begin()
    }

    fn read_field_end(&mut self) -> Result<()> {
        self.input.read_field_end()
    }

    fn read_bool(&mut self) -> Result<bool> {
        self.input.read_bool()
    }

    fn read_bytes(&mut self) -> Result<Vec<u8>> {
        self.input.read_bytes()
    }

    fn read_i8(&mut self) -> Result<i8> {
        self.input.read_i8()
    }

    fn read_i16(&mut self) -> Result<i16> {
        self.input.read_i16()
    }

    fn read_i32(&mut self) -> Result<i32> {
        self.input.read_i32()
    }

    fn read_i64(&mut self) -> Result<i64> {
        self.input.read_i64()
    }

    fn read_double(&mut self) -> Result<f64> {
        self.input.read_double()
    }

    fn read_string(&mut self) -> Result<String> {
        self.input.read_string()
    }

    fn read_list_end(&mut self) -> Result<()> {
        self.input.read_list_end()
    }

    fn read_set_end(&mut self) -> Result<()> {
        self.input.read_set_end()
    }

    fn read_map_end(&mut self) -> Result<()> {
        self.input.read_map_end()
    }

    fn read_byte(&mut self) -> Result<u8> {
        self.input.read_byte()
    }
}
