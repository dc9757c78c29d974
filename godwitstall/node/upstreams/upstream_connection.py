"""A connection to the node's own upstream, with one answer at a time.

If upstreams return the id of the request, the id decides to which request an
answer belongs. An answer without an id is accepted only as the first one on
its connection, because it may otherwise belong to an earlier request.

An answer without Content-Length and chunked coding ends when the connection
is closed and cannot be distinguished from a truncated one. It counts as
truncated, unless the upstreams are known to close a connection cleanly only
after a complete answer.

The connection is an asyncio.Protocol, because a stream does not report bytes
that arrive while the connection is idle.

Example:
    connection = UpstreamConnection(1024 * 1024, framing, budget)
    answer = await connection.start(head, is_head=False, body=body)
"""

import asyncio
import enum
import re
import typing

import httptools

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import errors
from godwitstall import metrics
from godwitstall.node.upstreams import answer_room
from godwitstall.node.upstreams import upstream_answer
from godwitstall import paced_writer

_STRAY_BYTES = metrics.counter(
    'upstream_stray_bytes_total',
    'Connections closed because of bytes that no request waited for.',
)
_UNATTRIBUTED_ANSWERS = metrics.counter(
    'upstream_unattributed_answers_total',
    'Answers without the id of a request on connections used before.',
)
_ENDLESS_ANSWERS = metrics.counter(
    'upstream_endless_answers_total',
    'Answers cut because their bytes came without an end.',
)
_INVALID_STATUSES = metrics.counter(
    'upstream_invalid_statuses_total',
    'Answers cut because their status is not from 100 to 599.',
)

# Connections that were idle for longer are not reused, seconds. Many HTTP
# servers close them after 5 s, and a request sent into a closing connection is
# lost.
DEFAULT_IDLE_LIMIT_S = 4.0

# Maximum size of the headers of an answer, bytes. The link frame that carries
# an answer to another node is bounded, and an oversized frame ends the link.
MAX_HEADER_BYTES = 64 * 1024

# Bytes that are read from the connection at once.
_READ_BYTES = 64 * 1024

# Maximum number of bytes outside of the body per byte of the body. A chunk of
# one byte has five.
_MAX_OVERHEAD_PER_BODY_BYTE = 8

# Fraction of the upstream's Keep-Alive timeout that is used. The rest allows
# for network latency and late timers.
_USED_IDLE_SHARE = 0.8

_FIRST_FINAL_STATUS = 200
_FIRST_ERROR_STATUS = 400
_BODILESS_STATUSES = (204, 304)

# Start of an answer, which occurs inside of a head if a truncated answer and
# the next one form one head.
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')

_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')


class _Recipient(enum.Enum):
    """The request to which an answer belongs."""

    CURRENT = 0
    OTHER = 1
    UNKNOWN = 2


class UpstreamConnection(asyncio.Protocol):
    """One connection, which parses the answer to its current request."""

    def __init__(
        self,
        max_answer_bytes: int,
        framing: upstream_answer.Framing,
        budget: byte_budget.ByteBudget,
    ) -> None:
        self.max_answer_bytes = max_answer_bytes
        self.framing = framing
        # Shared by the connections of the client.
        self.budget = budget
        # Id that the answer must return; empty if the request has none.
        self.request_id = b''
        # Whether a final answer was received on this connection.
        self.has_received_answer = False
        # Maximum idle time of the connection, seconds.
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self.transport: asyncio.Transport | None = None
        # Set with the transport.
        self.writer: paced_writer.PacedWriter
        self.is_closed = False
        # Time at which the last answer was complete, seconds.
        self.idle_since = 0.0
        # Time of the last read, seconds.
        self.moved_at = 0.0
        # Whether the connection can carry another request.
        self.is_reusable = True
        self.waiter: asyncio.Future[upstream_answer.UpstreamAnswer] | None = (
            None
        )
        self.has_answer_bytes = False
        self.is_head = False
        self.status = 0
        self.reason = b''
        self.answer_headers: list[tuple[bytes, bytes]] = []
        self.header_bytes = 0
        # Whether the header section has ended; later headers are trailers.
        self.has_all_headers = False
        self.headers_at = 0.0
        self.body = bytearray()
        self.room = answer_room.AnswerRoom(budget)
        # Number of bytes received since the request, and how many of them
        # belong to bodies.
        self.received_bytes = 0
        self.received_body_bytes = 0
        # Number of bytes received since the last read with a part of a body.
        self.bytes_since_body = 0
        self.parser: typing.Any = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = typing.cast(asyncio.Transport, transport)
        # asyncio reads 256 KiB at once by default.
        transport_options: typing.Any = transport
        transport_options.max_size = _READ_BYTES
        self.writer = paced_writer.PacedWriter(transport)

    def pause_writing(self) -> None:
        """Send no more of the request; the upstream reads slowly."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Go on with the request."""
        self.writer.resume()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True
        # A transport that sent its last bytes after it had received the end
        # of the stream cannot be aborted any more.
        self.transport = None
        if exc is None and self._is_close_delimited():
            self.is_reusable = False
            self._finish()
        if self.has_answer_bytes:
            self.fail(errors.ErrorKind.ANSWER_CUT)
        else:
            self.fail(errors.ErrorKind.UPSTREAM_LOST)

    def data_received(self, data: bytes) -> None:
        if self.waiter is None or self.waiter.done():
            _STRAY_BYTES.inc()
            self.close()
            return
        self.has_answer_bytes = True
        self.moved_at = clock.recent()
        self.received_bytes += len(data)
        self.bytes_since_body += len(data)
        try:
            self.parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as e:
            self.close()
            # If the read also holds a second message, the parser raises after
            # the first one is complete, which remains valid.
            if not self.waiter.done():
                self.fail(errors.ErrorKind.ANSWER_CUT, f'Bad answer: {e}.')
        self._check_overhead()
        self.budget.add(len(data))

    def _check_overhead(self) -> None:
        """Abort an answer with too many bytes outside of the body.

        The parser reports a header line, a chunk extension or a trailer only
        at its end, and buffers the line until then. Only the framing of
        chunks grows with the body.
        """
        overhead_bytes = self.received_bytes - self.received_body_bytes
        bound = 2 * MAX_HEADER_BYTES
        if self.bytes_since_body > bound or (
            overhead_bytes
            > bound + _MAX_OVERHEAD_PER_BODY_BYTE * self.received_body_bytes
        ):
            self.abort_oversized()

    def abort_oversized(self) -> None:
        """Abort an answer because of a size limit.

        The limit is that of the answer, or that of all bodies together.
        """
        if self.waiter is None or self.waiter.done():
            return
        _ENDLESS_ANSWERS.inc()
        self.fail(
            errors.ErrorKind.ANSWER_CUT, 'The answer exceeds a size limit.'
        )
        self.close()

    def _is_close_delimited(self) -> bool:
        """Return whether the answer ends when the connection is closed."""
        return (
            self.framing.allows_close_delimited
            and self.has_all_headers
            and self.status >= _FIRST_FINAL_STATUS
            and self.status not in _BODILESS_STATUSES
            and upstream_answer.find_header(
                self.answer_headers, b'content-length'
            )
            is None
            and upstream_answer.find_header(
                self.answer_headers, b'transfer-encoding'
            )
            is None
        )

    def fail(self, kind: errors.ErrorKind, detail: str = '') -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(errors.RequestError(kind, detail))

    def is_open(self) -> bool:
        """Return whether a request written now would be sent.

        A transport that has received the end of the stream drops writes, one
        iteration of the event loop before connection_lost() is called.
        """
        return (
            not self.is_closed
            and self.transport is not None
            and not self.transport.is_closing()
        )

    def close(self) -> None:
        """Close the connection at once, dropping unsent bytes."""
        self.is_closed = True
        if self.transport is not None:
            self.writer.clear()
            self.transport.abort()

    def start(
        self,
        head: bytes,
        is_head: bool,
        request_id: bytes = b'',
        body: bytes = b'',
    ) -> asyncio.Future[upstream_answer.UpstreamAnswer]:
        """Send a request and return a future for its answer."""
        assert self.transport is not None
        self.request_id = request_id if self.framing.request_id_header else b''
        self.has_all_headers = False
        self.parser = httptools.HttpResponseParser(self)
        self.has_answer_bytes = False
        self.moved_at = clock.recent()
        self.room.open(self.transport, self.moved_at)
        self.received_bytes = 0
        self.received_body_bytes = 0
        self.bytes_since_body = 0
        self.is_head = is_head
        self.waiter = asyncio.get_running_loop().create_future()
        self.writer.write(head, body)
        return self.waiter

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        if self.waiter is not None and self.waiter.done():
            # It is unknown to which request a second answer belongs.
            _STRAY_BYTES.inc()
            self.is_reusable = False
            return
        self.status = 0
        self.reason = b''
        self.answer_headers = []
        self.header_bytes = 0
        self.has_all_headers = False
        self.body = bytearray()
        self.room.release()

    def on_status(self, reason: bytes) -> None:
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.waiter is None or self.waiter.done() or self.has_all_headers:
            # The headers of a second answer must not be added to the first,
            # and trailers are not headers (RFC 9110, section 6.5.1).
            return
        self.header_bytes += len(name) + len(value)
        if self.header_bytes > MAX_HEADER_BYTES:
            self.abort_oversized()
            return
        self.answer_headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.has_all_headers = True
        self.headers_at = clock.recent()
        self.status = self.parser.get_status_code()
        if self._holds_other_answer():
            self.fail(
                errors.ErrorKind.ANSWER_CUT,
                'A truncated answer precedes the answer.',
            )
            self.close()
            return
        if not upstream_answer.is_status(self.status):
            _INVALID_STATUSES.inc()
            self.fail(
                errors.ErrorKind.ANSWER_CUT,
                f'The upstream returned the invalid status {self.status}.',
            )
            self.close()
            return
        if self._content_length() > self.max_answer_bytes:
            self.fail(errors.ErrorKind.ANSWER_TOO_LARGE)
            self.close()
            return
        if self.is_head and self.status >= _FIRST_FINAL_STATUS:
            # The parser does not know that no body follows.
            self.is_reusable = False
            self._finish()
            return
        if not self.room.reserve(self._content_length()):
            self.abort_oversized()

    def _holds_other_answer(self) -> bool:
        """Return whether the head holds the start of another answer."""
        if _STATUS_LINE.search(self.reason):
            return True
        return any(_STATUS_LINE.search(v) for _, v in self.answer_headers)

    def on_body(self, body: bytes) -> None:
        if self.waiter is None or self.waiter.done():
            return
        self.received_body_bytes += len(body)
        self.bytes_since_body = 0
        # Late answers to earlier requests may precede the expected one.
        if (
            len(self.body) + len(body) > self.max_answer_bytes
            or self.received_body_bytes > 2 * self.max_answer_bytes
        ):
            self.abort_oversized()
            return
        self.body += body
        self.room.check_growth(len(self.body))

    def _content_length(self) -> int:
        """Return the body length from Content-Length, 0 if there is none."""
        if self.is_head or self.status in _BODILESS_STATUSES:
            return 0
        length = upstream_answer.find_header(
            self.answer_headers, b'content-length'
        )
        return int(length) if length and length.isdigit() else 0

    def on_message_complete(self) -> None:
        if self.status < _FIRST_FINAL_STATUS:
            return
        if not self.parser.should_keep_alive():
            self.is_reusable = False
        self._finish()

    def _returned_id(self) -> bytes:
        """Return the request id in the answer, empty if there is none."""
        header = self.framing.request_id_header
        return upstream_answer.find_header(self.answer_headers, header) or b''

    def _recipient(self) -> _Recipient:
        """Return to which request the answer belongs."""
        if not self.framing.request_id_header:
            return _Recipient.CURRENT
        returned_id = self._returned_id()
        if returned_id == self.request_id:
            return _Recipient.CURRENT
        if returned_id:
            return _Recipient.OTHER
        if self.has_received_answer:
            return _Recipient.UNKNOWN
        return _Recipient.CURRENT

    def _allows_reuse(self) -> bool:
        """Return whether later answers on the connection can be attributed.

        An upstream that omits the id once may omit it again. A probe has no
        id, so only its refusal counts: a copy of it must not reach a call.
        """
        if not self.framing.request_id_header or self._returned_id():
            return True
        return not self.request_id and self.status < _FIRST_ERROR_STATUS

    def _finish(self) -> None:
        recipient = self._recipient()
        self.has_received_answer = True
        match recipient:
            case _Recipient.OTHER:
                # The expected answer follows.
                _STRAY_BYTES.inc()
                self.is_reusable = False
                self.has_all_headers = False
            case _Recipient.UNKNOWN:
                _UNATTRIBUTED_ANSWERS.inc()
                self.fail(
                    errors.ErrorKind.ANSWER_CUT,
                    'The answer has no request id.',
                )
                self.close()
            case _Recipient.CURRENT:
                self._return_answer()

    def _return_answer(self) -> None:
        if not self._allows_reuse() or self.writer.is_busy():
            # In the second case the rest of the request is not sent.
            self.is_reusable = False
        keep_alive = upstream_answer.find_header(
            self.answer_headers, b'keep-alive'
        )
        timeout_match = (
            _KEEP_ALIVE_TIMEOUT.search(keep_alive) if keep_alive else None
        )
        if timeout_match is not None:
            self.idle_limit_s = int(timeout_match[1]) * _USED_IDLE_SHARE
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(
                upstream_answer.UpstreamAnswer(
                    self.status,
                    self.answer_headers,
                    self._whole_body(),
                    self.headers_at,
                )
            )

    def _whole_body(self) -> bytes:
        """Return the body; a large one must not be copied."""
        if len(self.body) > _READ_BYTES:
            return typing.cast(bytes, self.body)
        return bytes(self.body)

    def clear_answer(self) -> None:
        """Free the memory of an answer that was returned or aborted."""
        self.room.release()
        self.answer_headers = []
        self.body = bytearray()
        self.header_bytes = 0
        self.bytes_since_body = 0

    def held_bytes(self) -> int:
        """Return what is held without a reservation, bytes."""
        body_bytes = 0 if self.room.has_whole() else len(self.body)
        return self._outside_bytes() + body_bytes

    def _outside_bytes(self) -> int:
        """Return the size of what is not the body, bytes."""
        return (
            self.header_bytes
            + len(self.answer_headers) * byte_budget.HEADER_OBJECT_BYTES
            + self.bytes_since_body
        )

    def release_bytes(self) -> None:
        """Abort an answer that has no end in sight.

        It is one with many bytes outside of its body, or one of unknown length
        that waits for more room, unless its request is the oldest.
        """
        outside_bytes = self._outside_bytes()
        if self.room.is_stuck() or (
            outside_bytes > self.budget.unreserved_bytes
        ):
            self.abort_oversized()
            self.clear_answer()
