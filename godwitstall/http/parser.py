"""Parses the requests of one connection, within the limits of its listener.

Example:
    parser = http_parser.RequestParser(listener.limits, connection)
    parser.feed(data)
"""

import typing

import httptools

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall import log_limit
from godwitstall import logs

_LOG = logs.get('http')
_bad_requests = log_limit.LogLimit()

# The ': ' and the line end of a header line.
_HEADER_LINE_OVERHEAD_BYTES = 4

# A Content-Length with more digits is rejected without being converted.
_MAX_CONTENT_LENGTH_DIGITS = 15

# Headers of a request that are kept as objects until it is complete.
_MAX_HEADER_OBJECTS = 64

# Size up to which a body that arrived in parts is copied into one object.
_COPIED_BODY_BYTES = 64 * 1024

_CHECKED_HEADERS = frozenset(
    (b'content-length', b'expect', b'host', b'transfer-encoding')
)
_HTTP_VERSIONS = frozenset(('1.0', '1.1'))


class Receiver(typing.Protocol):
    """Gets the requests of a connection."""

    def on_request(
        self, request: http_messages.Request, closes_connection: bool
    ) -> None:
        """Receive a request; closes_connection if the client sends no more."""

    def on_expect_continue(self) -> None:
        """Ask the client for the body of its request."""

    def reject(self, kind: errors.ErrorKind) -> None:
        """Receive the error of an invalid request."""


class RequestParser:
    """Parses bytes of a client and passes whole requests to a receiver.

    It gets the limits as an object that can change, and is the protocol whose
    callbacks httptools calls.
    """

    def __init__(
        self, limits: http_messages.Limits, receiver: Receiver
    ) -> None:
        self.limits = limits
        self.receiver = receiver
        self.parser: typing.Any = httptools.HttpRequestParser(self)
        # No more requests are passed on, because the connection is closing.
        self.is_stopped = False
        # When the first byte of the current request was read; 0 between
        # requests, also behind an empty line.
        self.request_started_at = 0.0
        # Bytes received since the last request ended, until the headers of
        # the next one are complete.
        self.header_bytes = 0
        # Bytes received since the headers or the last part of the body.
        self.bytes_since_body = 0
        self._reset()

    def _reset(self) -> None:
        self.url = b''
        # The first headers, and the lines 'name:value' of the others. As
        # objects of their own, short ones cost many times their size.
        self.headers: http_messages.Headers = []
        self.other_header_lines = bytearray()
        self.is_in_headers = True
        # Whether the client waits for a response before it sends the body.
        self.expects_continue = False
        # Whether the client offers another protocol.
        self.is_upgrade = False
        # Parts are joined as they arrive: as objects of their own, those of a
        # few bytes would cost many times their size.
        self.body: bytes | bytearray = b''
        self.body_bytes = 0

    def is_body_held_back(self) -> bool:
        """Return whether the client waits to be asked for a body."""
        return self.expects_continue and not (
            self.is_in_headers or self.body_bytes or self.is_stopped
        )

    def is_head(self) -> bool:
        """Return whether the request that is half read is a HEAD request."""
        method: bytes = self.parser.get_method()
        return bool(self.request_started_at and self.url) and method == b'HEAD'

    def held_bytes(self) -> int:
        """Return the size of the request that is half read."""
        if not self.request_started_at:
            return 0
        return (
            self.header_bytes
            + len(self.headers) * byte_budget.HEADER_OBJECT_BYTES
            + len(self.other_header_lines)
            + self.bytes_since_body
            + self.body_bytes
        )

    def discard(self) -> None:
        """Free the request that is half read; its connection is closing."""
        self.is_stopped = True
        self.request_started_at = 0.0
        self._reset()

    def feed(self, data: bytes) -> None:
        """Parse bytes, which may hold any part of any number of requests."""
        # The parser reports a header line, a chunk extension or a trailer only
        # when it is complete, so its callbacks cannot limit an incomplete one.
        if self.is_in_headers:
            self.header_bytes += len(data)
        else:
            self.bytes_since_body += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # Its request closes the connection.
            pass
        except httptools.HttpParserError as e:
            if not self.is_stopped:
                if _bad_requests.allows():
                    _LOG.info('Bad request: %s.%s', e, _bad_requests.suffix())
                self.receiver.reject(errors.ErrorKind.BAD_REQUEST)
        outside_bytes = (
            self.header_bytes if self.is_in_headers else self.bytes_since_body
        )
        if outside_bytes > self.limits.max_header_bytes:
            self.receiver.reject(errors.ErrorKind.HEADERS_TOO_LARGE)

    # Callbacks of httptools.HttpRequestParser.

    def on_message_begin(self) -> None:
        if self.is_stopped:
            return
        self._reset()
        self.request_started_at = clock.recent()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.is_in_headers:
            # Trailer fields must not be merged into the headers (RFC 9110,
            # section 6.5.1).
            return
        self._add_header(name.lower(), value)

    def _add_header(self, name: bytes, value: bytes) -> None:
        if len(self.headers) < _MAX_HEADER_OBJECTS:
            self.headers.append((name, value))
        else:
            # The parser lets no line end into a value.
            self.other_header_lines += b'%b:%b\n' % (name, value)

    def _all_headers(self) -> http_messages.Headers:
        if not self.other_header_lines:
            return self.headers
        headers = list(self.headers)
        for line in bytes(self.other_header_lines).split(b'\n')[:-1]:
            name, _, value = line.partition(b':')
            headers.append((name, value))
        return headers

    def on_headers_complete(self) -> None:
        self.is_in_headers = False
        self.bytes_since_body = 0
        if self.is_stopped:
            return
        if not self.url.startswith(b'/'):
            self._use_origin_form()
        problem = self._find_problem()
        if problem is not None:
            self.receiver.reject(problem)
        elif self.expects_continue:
            self.receiver.on_expect_continue()

    def _use_origin_form(self) -> None:
        """Split an absolute URL, as proxies get it, into host and path."""
        if self.url == b'*':
            return
        try:
            url = httptools.parse_url(self.url)
        except httptools.HttpParserInvalidURLError:
            self.url = b''
            return
        self.url = url.path or b''
        if url.query:
            self.url += b'?' + url.query
        if url.host:
            # It replaces the header (RFC 9112, section 3.2.2).
            host = url.host + (b':%d' % url.port if url.port else b'')
            headers = [(b'host', host)]
            headers += [(n, v) for n, v in self._all_headers() if n != b'host']
            self.headers = []
            self.other_header_lines.clear()
            for name, value in headers:
                self._add_header(name, value)

    def _find_problem(self) -> errors.ErrorKind | None:
        """Return why the request cannot be served, None if it can."""
        limits = self.limits
        header_size = len(self.url)
        host_count = 0
        has_body = False
        for name, value in self._all_headers():
            header_size += len(name) + len(value) + _HEADER_LINE_OVERHEAD_BYTES
            if name not in _CHECKED_HEADERS:
                continue
            if name == b'host':
                host_count += 1
            elif name == b'transfer-encoding':
                has_body = True
            elif name == b'expect':
                self.expects_continue = value.lower() == b'100-continue'
            else:
                has_body = has_body or value != b'0'
                if (
                    len(value) > _MAX_CONTENT_LENGTH_DIGITS
                    or int(value) > limits.max_body_bytes
                ):
                    return errors.ErrorKind.BODY_TOO_LARGE
        if header_size > limits.max_header_bytes:
            return errors.ErrorKind.HEADERS_TOO_LARGE
        self.is_upgrade = self.parser.should_upgrade()
        if (
            # Another server on the path could use a different one of them.
            host_count > 1
            or not self.url
            or not self.url.isascii()
            or self.parser.get_http_version() not in _HTTP_VERSIONS
            # The parser does not read the body of such a request.
            or (self.is_upgrade and (has_body or self._is_connect()))
        ):
            return errors.ErrorKind.BAD_REQUEST
        return None

    def _is_connect(self) -> bool:
        method: bytes = self.parser.get_method()
        return method == b'CONNECT'

    def on_body(self, body: bytes) -> None:
        self.body_bytes += len(body)
        self.bytes_since_body = 0
        if self.body_bytes > self.limits.max_body_bytes:
            self.receiver.reject(errors.ErrorKind.BODY_TOO_LARGE)
            self.body = b''
        elif not self.is_stopped:
            self._add_to_body(body)

    def _add_to_body(self, part: bytes) -> None:
        if not self.body:
            # Most bodies have one part only.
            self.body = part
            return
        if isinstance(self.body, bytes):
            self.body = bytearray(self.body)
        self.body += part

    def _whole_body(self) -> bytes:
        """Return the body; a large one must not be copied."""
        if self.body_bytes > _COPIED_BODY_BYTES:
            return typing.cast(bytes, self.body)
        return bytes(self.body)

    def on_message_complete(self) -> None:
        self.request_started_at = 0.0
        self.is_in_headers = True
        self.header_bytes = 0
        if self.is_stopped:
            return
        request = http_messages.Request(
            self.parser.get_method().decode('ascii', 'replace'),
            self.url.decode('latin-1'),
            self._all_headers(),
            self._whole_body(),
            clock.recent(),
        )
        self.body = b''
        # The listener supports no other protocol, and the parser reads nothing
        # behind an upgrade request.
        closes_connection = (
            self.is_upgrade or not self.parser.should_keep_alive()
        )
        self.receiver.on_request(request, closes_connection)
