"""Header names of the HTTP interface and the blocks that carry headers.

A block is the bytes 'name: value' CRLF, one line a header. Between the
processes it travels as it is; it is split only where a header is needed.
"""

import collections.abc
import functools

OPERATION = b'godwitstall-operation'
DEADLINE_MS = b'godwitstall-deadline-ms'
ATTEMPTS = b'godwitstall-attempts'
PRIORITY = b'godwitstall-priority'
CONTEXT = b'godwitstall-context'
WORKSPACE = b'godwitstall-workspace'
KEY = b'godwitstall-key'
AUTHORIZATION = b'authorization'
OUTCOME = b'godwitstall-outcome'
ERROR = b'godwitstall-error'
RETRY_AFTER = b'retry-after'
RETRY_AFTER_MS = b'godwitstall-retry-after-ms'
REPLAYED = b'godwitstall-replayed'
ATTEMPTS_USED = b'godwitstall-attempts-used'

_OWN_PREFIX = b'godwitstall-'

# Hop-by-hop headers of RFC 9110, section 7.6.1, and those that the sending
# side sets anew.
_NOT_RELAYED = frozenset(
    (
        b'connection',
        b'content-length',
        b'expect',
        b'host',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        AUTHORIZATION,
    )
)

# Names of headers whose treatment is remembered; callers can send any.
_KNOWN_NAMES = 1024

Pairs = collections.abc.Iterable[tuple[bytes, bytes]]


@functools.lru_cache(_KNOWN_NAMES)
def is_relayed(name: bytes) -> bool:
    """Return whether a header of this lower-case name is passed on.

    The key headers are never relayed, so that no upstream sees a key.
    Underscores count as hyphens, because CGI and WSGI upstreams cannot tell
    the two apart and a caller could name a workspace that way.
    """
    if b'_' in name:
        name = name.replace(b'_', b'-')
    return name not in _NOT_RELAYED and not name.startswith(_OWN_PREFIX)


def to_block(pairs: Pairs) -> bytes:
    """Return the block of all headers that are passed on."""
    return b''.join(
        name + b': ' + value + b'\r\n'
        for name, value in pairs
        if is_relayed(name)
    )


def from_block(block: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers of a block as pairs."""
    pairs = []
    for line in block.split(b'\r\n'):
        if line:
            name, _, value = line.partition(b': ')
            pairs.append((name, value))
    return pairs
