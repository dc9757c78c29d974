"""Messages with which two processes open a link, and errors.

Example: Hello(sender_id='siop-1')
"""

import dataclasses

from godwitstall import errors
from godwitstall.schema import states


@dataclasses.dataclass(slots=True)
class Hello:
    """First message on a link."""

    # Role of the connecting process.
    role: states.Role = states.Role.NODE
    # Id of the sender.
    sender_id: str = ''
    # Random bytes that the proof of the peer must cover.
    nonce: bytes = b''
    # Whether the sender receives large bodies in parts.
    takes_parts: bool = False


@dataclasses.dataclass(slots=True)
class HelloReply:
    """Reply to Hello with a proof and the nonce of the accepting side."""

    # Id of the sender.
    sender_id: str = ''
    # Random bytes that the proof of the peer must cover.
    nonce: bytes = b''
    # HMAC-SHA-256 with the fleet secret over the nonce of the peer.
    proof: bytes = b''
    # Whether the sender receives large bodies in parts.
    takes_parts: bool = False


@dataclasses.dataclass(slots=True)
class HelloProof:
    """Last message of the handshake."""

    # HMAC-SHA-256 with the fleet secret over the nonce of the peer.
    proof: bytes = b''


@dataclasses.dataclass(slots=True)
class Error:
    """Reply to a request that failed."""

    # Sequence number that matches a reply to its request.
    seq: int = 0
    # Error kind.
    kind: errors.ErrorKind = errors.ErrorKind.NONE
    # Human-readable explanation in one sentence.
    detail: str = ''
    # Recommended delay before a retry, milliseconds; 0 when unknown.
    retry_after_ms: int = 0
