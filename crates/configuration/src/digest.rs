//! SHA-256 as FIPS 180-4 has it: names of orders must stay the same for ever and never collide.

/// First 32 bits of the fractional parts of the square roots of the first 8 primes.
const START: [u32; 8] =
    [0x6a09_e667, 0xbb67_ae85, 0x3c6e_f372, 0xa54f_f53a, 0x510e_527f, 0x9b05_688c, 0x1f83_d9ab, 0x5be0_cd19];

/// First 32 bits of the fractional parts of the cube roots of the first 64 primes.
#[rustfmt::skip]
const ROUNDS: [u32; 64] = [
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4, 0xab1c5ed5,
    0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174,
    0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967,
    0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85,
    0xa2bfe8a1, 0xa81a664b, 0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
    0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2,
];

const BLOCK: usize = 64;

/// The SHA-256 digest of a message.
pub fn sha256(message: &[u8]) -> [u8; 32] {
    let mut state = START;
    let blocks = message.chunks_exact(BLOCK);
    let rest = blocks.remainder();
    for block in blocks {
        compress(&mut state, block);
    }
    for block in padded(rest, message.len()).chunks_exact(BLOCK) {
        compress(&mut state, block);
    }
    let mut digest = [0; 32];
    for (bytes, word) in digest.chunks_exact_mut(4).zip(state) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    digest
}

fn padded(rest: &[u8], length: usize) -> Vec<u8> {
    let mut tail = rest.to_vec();
    tail.push(0x80);
    while tail.len() % BLOCK != BLOCK - 8 {
        tail.push(0);
    }
    tail.extend_from_slice(&(length as u64 * 8).to_be_bytes());
    tail
}

fn compress(state: &mut [u32; 8], block: &[u8]) {
    let words = schedule(block);
    let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = *state;
    for (word, round) in words.iter().zip(ROUNDS) {
        let mixed = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
        let chosen = (e & f) ^ (!e & g);
        let first = h.wrapping_add(mixed).wrapping_add(chosen).wrapping_add(round).wrapping_add(*word);
        let spread = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
        let majority = (a & b) ^ (a & c) ^ (b & c);
        let second = spread.wrapping_add(majority);
        (h, g, f, e) = (g, f, e, d.wrapping_add(first));
        (d, c, b, a) = (c, b, a, first.wrapping_add(second));
    }
    for (word, change) in state.iter_mut().zip([a, b, c, d, e, f, g, h]) {
        *word = word.wrapping_add(change);
    }
}

fn schedule(block: &[u8]) -> [u32; 64] {
    let mut words = [0u32; 64];
    for (word, bytes) in words.iter_mut().zip(block.chunks_exact(4)) {
        *word = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    }
    for index in 16..64 {
        let (near, far) = (words[index - 2], words[index - 15]);
        let near = near.rotate_right(17) ^ near.rotate_right(19) ^ (near >> 10);
        let far = far.rotate_right(7) ^ far.rotate_right(18) ^ (far >> 3);
        words[index] = words[index - 16].wrapping_add(far).wrapping_add(words[index - 7]).wrapping_add(near);
    }
    words
}
