//! Socket filters that drop all packets of some sources, as a network that is partitioned does.

use std::{collections::BTreeSet, io, net::Ipv4Addr, os::fd::AsFd};

use socket2::{SockFilter, SockRef};

/// Loads a word at a fixed offset.
const LOAD_WORD: u16 = 0x20;
/// Jumps if the word equals a constant.
const JUMP_IF_EQUAL: u16 = 0x15;
/// Ends with the number of bytes of the packet to keep.
const RETURN: u16 = 0x06;
/// Offset of the source address, counted from the network header.
const SOURCE_OFFSET: u32 = 0xfff0_0000 + 12;

/// Drops packets of these sources that arrive at a socket; at a listener, those of new connections.
pub fn drop_sources(socket: &impl AsFd, sources: &BTreeSet<Ipv4Addr>) -> io::Result<()> {
    let count = sources.len() as u8;
    let jumps = sources.iter().zip(0..count).map(|(source, index)| {
        SockFilter::new(JUMP_IF_EQUAL, count - index, 0, u32::from(*source))
    });
    let mut program = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_OFFSET)];
    program.extend(jumps);
    program.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    program.push(SockFilter::new(RETURN, 0, 0, 0));
    SockRef::from(socket).attach_filter(&program)
}
