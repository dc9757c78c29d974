"""Header names of the HTTP interface, and header blocks.

A header block is a sequence of lines 'name: value' CRLF as bytes, one line per
header. Processes pass a block on unparsed and split it only to read a header.
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
RATE_LIMIT = b'godwitstall-rate-limit'
LEAVING = b'godwitstall-leaving'
COLD_MS = b'godwitstall-cold-ms'

_OWN_PREFIX = b'godwitstall-'

# Hop-by-hop headers of RFC 9110, section 7.6.1, and headers that the sender
# sets itself.
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

# Number of cached header names. It is bounded because callers can send
# arbitrary names.
_RELAY_CACHE_SIZE = 1024

Pairs = collections.abc.Iterable[tuple[bytes, bytes]]


@functools.lru_cache(_RELAY_CACHE_SIZE)
def is_relayed(name: bytes) -> bool:
    """Return whether a header with this lower-case name is relayed.

    Headers that carry keys are never relayed, so that no upstream receives a
    key. Underscores are treated as hyphens, because CGI and WSGI upstreams
    cannot distinguish the two, so that a caller could set the workspace header
    with underscores.
    """
    if b'_' in name:
        name = name.replace(b'_', b'-')
    return name not in _NOT_RELAYED and not name.startswith(_OWN_PREFIX)


def to_block(pairs: Pairs) -> bytes:
    """Return the block of all headers that are relayed."""
    return b''.join(
        name + b': ' + value + b'\r\n'
        for name, value in pairs
        if is_relayed(name)
    )


def from_block(block: bytes) -> list[tuple[bytes, bytes]]:
    """Return the headers of a block as pairs of name and value."""
    pairs = []
    for line in block.split(b'\r\n'):
        if line:
            name, _, value = line.partition(b': ')
            pairs.append((name, value))
    return pairs
