"""SHA-256 digests of keys and of sequences of byte strings.

Each part of a sequence is prefixed with its length, so that two sequences
with the same concatenation have different digests.

Example: digests.of_parts(b'POST', b'/pay', body)
"""

import hashlib

_LENGTH_BYTES = 8


def of_key(key: bytes) -> str:
    """Return the digest by which a key is looked up, as hexadecimal text."""
    return hashlib.sha256(key).hexdigest()


def of_parts(*parts: bytes) -> bytes:
    """Return the digest of a sequence of parts, without a copy of them."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return digest.digest()
