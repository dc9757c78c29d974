"""Requests and responses of the HTTP listeners, and their encoding.

Example:
    response = http_messages.Response(200, [(b'content-type', b'text/plain')])
    head, body = http_messages.encode_response(response, False, False)
"""

import collections.abc
import dataclasses
import http

from godwitstall import errors

_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_BODILESS_STATUSES = frozenset((204, 304))

Headers = list[tuple[bytes, bytes]]


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on the requests of clients."""

    # Total size of the request target and the headers.
    max_header_bytes: int = 32 * 1024
    max_body_bytes: int = 8 * 1024 * 1024
    # Time from the start of a request to the end of its headers.
    header_timeout_s: float = 10.0
    # Time after which a connection without requests is closed.
    idle_timeout_s: float = 75.0
    # Time after which a connection is closed whose client has received nothing
    # of the responses that are sent to it.
    delivery_timeout_s: float = 60.0
    # Number of requests of one connection that are handled at the same time.
    # No more are parsed while as many are pending.
    max_pipelined_requests: int = 32


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its complete body."""

    method: str
    # Path and query, as sent by the client.
    target: str
    # Names are in lower case.
    headers: Headers
    # A large one is a bytearray, which saves a copy and is not changed. What
    # needs bytes, such as a schema or an ASGI application, has to convert it.
    body: bytes
    # Time of clock.recent() at which the last byte was received.
    received_at: float

    def header(self, name: bytes) -> bytes:
        """Return the first value of a header, or b'' if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return b''


@dataclasses.dataclass(slots=True)
class Response:
    """A response; Content-Length is added when it is sent."""

    status: int
    # Headers other than Connection and Content-Length.
    headers: Headers = dataclasses.field(default_factory=list)
    # A large one may be a bytearray, as that of a request.
    body: bytes = b''
    # Whether to close the connection. The requests that have been read are
    # answered first, and those that are read meanwhile are refused.
    closes_connection: bool = False
    # Encoded lines of additional headers, each with its line end.
    encoded_headers: bytes = b''


Handler = collections.abc.Callable[
    [Request], collections.abc.Awaitable[Response]
]

# Builds the responses of a listener to requests that get none from a handler.
ErrorResponder = collections.abc.Callable[[errors.ErrorKind], Response]


def respond_plainly(kind: errors.ErrorKind) -> Response:
    """Return a response to an error that has a status only."""
    return Response(errors.ANSWERS[kind].status)


def encode_response(
    response: Response, is_head: bool, closes_connection: bool
) -> tuple[bytes, bytes]:
    """Return the head of a response and the body that follows it.

    A response to HEAD has no body.
    """
    status = response.status
    parts = [
        b'HTTP/1.1 %d %s\r\n' % (status, _REASON_PHRASES.get(status, b''))
    ]
    parts += [
        b'%s: %s\r\n' % (name, value) for name, value in response.headers
    ]
    parts.append(response.encoded_headers)
    # The length of the body that GET would return is unknown.
    is_length_known = not is_head or response.body
    if status not in _BODILESS_STATUSES and is_length_known:
        parts.append(b'content-length: %d\r\n' % len(response.body))
    if closes_connection:
        parts.append(b'connection: close\r\n')
    parts.append(b'\r\n')
    has_body = not is_head and status not in _BODILESS_STATUSES
    return b''.join(parts), response.body if has_body else b''
