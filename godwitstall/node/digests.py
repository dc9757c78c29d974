"""SHA-256 over several parts, with their lengths, so that none can shift.

Example: digests.of_parts(b'POST', b'/pay', body)
"""

import hashlib

_LENGTH_BYTES = 8


def of_key(key: bytes) -> str:
    """Return the digest under which a key is known, hex."""
    return hashlib.sha256(key).hexdigest()


def of_parts(*parts: bytes) -> bytes:
    """Return the digest of the parts in order."""
    framed = b''.join(
        len(part).to_bytes(_LENGTH_BYTES, 'big') + part for part in parts
    )
    return hashlib.sha256(framed).digest()
