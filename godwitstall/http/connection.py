"""A connection of a client to an HTTP listener.

Keeps the requests of the connection with their responses, in order, from the
first byte to the close.
"""

import asyncio
import collections
import contextlib
import enum
import typing

from godwitstall import byte_budget
from godwitstall import clock
from godwitstall import errors
from godwitstall import event_loop
from godwitstall.http import exchange as exchange_module
from godwitstall.http import lifetime as lifetime_module
from godwitstall.http import messages as http_messages
from godwitstall.http import parse_turns
from godwitstall.http import parser as http_parser
from godwitstall.http import unparsed as unparsed_module
from godwitstall import logs
from godwitstall import metrics
from godwitstall import paced_writer

_LOG = logs.get('http')
_BAD_REQUESTS = metrics.counter(
    'http_bad_requests_total', 'Connections closed for bad requests by status.'
)
_CUT_REQUESTS = metrics.counter(
    'http_cut_requests_total',
    'Requests ended before their handlers returned by reason.',
)
_REFUSED_REQUESTS = metrics.counter(
    'http_refused_requests_total',
    'Requests refused because their connections are about to close.',
)
_DISCARDED_BYTES = metrics.counter(
    'http_discarded_bytes_total',
    'Bytes discarded on connections that are closing, by whether the last '
    'response was written.',
)

# Time in which the close of a client is read behind a request that has waited
# to be read.
_LATE_CLOSE_WAIT_S = 0.001

# Unsent bytes of one connection above which no more requests are parsed.
_WRITE_HIGH_WATER_BYTES = 256 * 1024


class CutReason(enum.Enum):
    """Why a request ends before its handler returns.

    The task of its handler is cancelled with the value as the message.
    """

    CLIENT_LEFT = 'client_left'
    LISTENER_CLOSED = 'listener_closed'


class Server(typing.Protocol):
    """The state that the connections of a listener share."""

    limits: http_messages.Limits
    # Bounds the bytes of all connections together.
    budget: byte_budget.ByteBudget
    parse_turns: parse_turns.ParseTurns
    respond_to_error: http_messages.ErrorResponder
    connections: set['Connection']
    # Number of requests that are being handled.
    active_requests: int
    # Whether a connection is closed when its pending requests have been
    # answered.
    is_stopping: bool


class Connection(asyncio.Protocol):
    """A connection from a client."""

    def __init__(
        self, listener: Server, handler: http_messages.Handler
    ) -> None:
        self.listener = listener
        self.handler = handler
        self.transport: typing.Any = None
        # Set with the transport.
        self.lifetime: lifetime_module.Lifetime
        self.writer: paced_writer.PacedWriter
        self.unparsed: unparsed_module.UnparsedBytes
        # Once it is stopped, no more requests are read; pending responses are
        # still sent.
        self.parser = http_parser.RequestParser(listener.limits, self)
        # Requests whose responses have not been written, oldest first.
        self.exchanges: collections.deque[exchange_module.Exchange] = (
            collections.deque()
        )
        # Whether some of them may wait for their handlers.
        self.has_waiting = False
        # The connection is closed behind the pending responses. Requests are
        # read, and refused without being passed to the handler.
        self.is_refusing = False
        # Whether the last response has been written. The connection is then
        # read until the client closes it, because the kernel resets a
        # connection that is closed with unread bytes, and the client would
        # lose what it has not received yet.
        self.is_lingering = False
        # Whether the connection ends behind the response that is written.
        self.ends_after_response = False
        self.has_client_left = False
        self.is_write_paused = False
        # Whether responses are written although the client reads none.
        self.is_cut = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.writer = paced_writer.PacedWriter(transport)
        self.lifetime = lifetime_module.Lifetime(
            transport, self.listener.limits, self.writer
        )
        self.unparsed = unparsed_module.UnparsedBytes(
            transport, self.listener.parse_turns, self
        )
        self.transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.listener.connections.discard(self)
        self._on_client_left()
        self.writer.clear()

    def eof_received(self) -> bool:
        """Cancel the pending requests, and close the connection.

        It is closed only when the response that is written has been sent.
        """
        self._on_client_left()
        self.has_client_left = True
        return self.writer.is_busy()

    def _on_client_left(self) -> None:
        self.parser.is_stopped = True
        self._cancel_handlers(CutReason.CLIENT_LEFT)
        self.exchanges.clear()
        self.unparsed.clear()

    def cut_requests(self) -> None:
        """End the pending requests, and close after the last response.

        Those whose handlers have not returned get a final response, so that
        they delay the responses that are ready behind them no longer. What has
        been received and not parsed is refused, and so is a request that is
        half read.
        """
        self.is_refusing = True
        self.is_cut = True
        self._refuse_unparsed()
        if self.parser.request_started_at and not self.parser.is_stopped:
            exchange = exchange_module.Exchange(is_head=self.parser.is_head())
            self.exchanges.append(exchange)
            self._refuse(exchange)
        self.parser.is_stopped = True
        self._cancel_handlers(CutReason.LISTENER_CLOSED)
        for exchange in self.exchanges:
            if exchange.request is not None:
                # Its handler must not be started any more.
                self._refuse(exchange)
            elif exchange.response is None and not exchange.is_refused:
                exchange.response = self.listener.respond_to_error(
                    errors.ErrorKind.CUT_BY_STOP
                )
        self._flush()
        if self.writer.is_busy():
            self.ends_after_response = not self.exchanges
        elif not self.is_lingering:
            # No response was due, but one may be on its way.
            self._linger()

    def close(self) -> None:
        """Cut the pending requests and close the connection."""
        self.cut_requests()
        while self.writer.is_busy():
            self.writer.flush()
            self._on_response_written()
        self.transport.close()

    def _cancel_handlers(self, reason: CutReason) -> None:
        for exchange in self.exchanges:
            if exchange.task is not None:
                _CUT_REQUESTS.inc(reason=reason.value)
                exchange.task.cancel(reason.value)
                exchange.task = None

    def pause_writing(self) -> None:
        """Parse no more requests; the client is slow to read its responses."""
        self.is_write_paused = True
        self.writer.pause()

    def resume_writing(self) -> None:
        """Go on with the response and with parsing; the client reads."""
        self.is_write_paused = False
        if self.writer.is_busy():
            if self.writer.resume():
                self._on_response_written()
            return
        self.writer.resume()
        self._flush()
        self.unparsed.parse()

    def _on_response_written(self) -> None:
        """Go on behind a response that was written in parts."""
        self.lifetime.last_active_at = clock.recent()
        if self.has_client_left:
            self.transport.close()
        elif self.ends_after_response:
            self._linger()
        else:
            self._flush()
            self.unparsed.parse()

    def may_parse(self) -> bool:
        """Return whether more requests may be parsed now."""
        return not (
            self.parser.is_stopped
            or self.is_write_paused
            or len(self.exchanges)
            >= self.listener.limits.max_pipelined_requests
        )

    def data_received(self, data: bytes) -> None:
        if self.parser.is_stopped:
            _DISCARDED_BYTES.inc(
                len(data), is_answered=str(self.is_lingering).lower()
            )
            return
        self.lifetime.received_at = clock.recent()
        if (
            self.exchanges
            or self.unparsed
            or self.is_write_paused
            or len(data) > unparsed_module.PARSE_BYTES
            or not self.listener.parse_turns.take(len(data))
        ):
            self.unparsed.add(data)
            self.unparsed.parse()
        else:
            self.parser.feed(data)
        self.listener.budget.add(len(data))

    def feed(self, data: bytes) -> None:
        """Parse bytes in the turn of this connection."""
        self.parser.feed(data)

    def is_stopped(self) -> bool:
        """Return whether nothing more is parsed."""
        return self.parser.is_stopped

    def reject(self, kind: errors.ErrorKind) -> None:
        """Send an error response to an invalid request and close.

        The requests before it are answered first.
        """
        if self.parser.is_stopped:
            return
        response = self.listener.respond_to_error(kind)
        _BAD_REQUESTS.inc(status=str(response.status))
        exchange = exchange_module.Exchange(
            response=response, is_head=self.parser.is_head()
        )
        self.exchanges.append(exchange)
        self.parser.discard()
        self.unparsed.clear()
        self._flush()

    def on_expect_continue(self) -> None:
        """Ask for the body of a request if no response is due before it."""
        if not self.exchanges and not self.writer.is_busy():
            self.parser.expects_continue = False
            self.lifetime.received_at = clock.recent()
            self.transport.write(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_request(
        self, request: http_messages.Request, closes_connection: bool
    ) -> None:
        """Start the handler of a request, or refuse the request."""
        if closes_connection:
            self.parser.is_stopped = True
        self.lifetime.has_served = True
        exchange = exchange_module.Exchange(
            request, len(request.body), is_head=request.method == 'HEAD'
        )
        self.exchanges.append(exchange)
        if self.is_refusing:
            self._refuse(exchange)
        elif len(self.exchanges) <= (
            self.listener.limits.max_pipelined_requests
        ):
            self._start_handler(exchange)
        else:
            self.has_waiting = True

    def _refuse(self, exchange: exchange_module.Exchange) -> None:
        """Refuse a request; the response is written in its turn.

        A refusal takes no time, so that a client that always has a request
        pending cannot keep a connection that is about to close.
        """
        _REFUSED_REQUESTS.inc()
        exchange.refuse()

    def _start_handler(self, exchange: exchange_module.Exchange) -> None:
        assert exchange.request is not None
        exchange.task = asyncio.get_running_loop().create_task(
            self._serve(exchange, exchange.request, event_loop.is_late())
        )
        exchange.request = None

    def _start_waiting_handler(self) -> None:
        """Start the handler of the first request that waits for others."""
        last = self.listener.limits.max_pipelined_requests - 1
        if len(self.exchanges) > last:
            exchange = self.exchanges[last]
            if exchange.request is not None:
                self._start_handler(exchange)
        else:
            self.has_waiting = False

    def _refuse_unparsed(self) -> None:
        """Parse and refuse what has been received before the last response.

        The limit of pending requests does not apply, as none is handled.
        """
        self.parser.feed(self.unparsed.take_all())

    async def _serve(
        self,
        exchange: exchange_module.Exchange,
        request: http_messages.Request,
        is_read_late: bool,
    ) -> None:
        self.listener.active_requests += 1
        try:
            if is_read_late:
                # The client may have left, which cancels this task.
                await asyncio.sleep(_LATE_CLOSE_WAIT_S)
            response = await self.handler(request)
        except Exception:
            _LOG.exception('Unexpected error while serving a request.')
            response = self.listener.respond_to_error(
                errors.ErrorKind.INTERNAL
            )
        finally:
            self.listener.active_requests -= 1
        if exchange.response is None:
            self._complete(exchange, response)

    def _complete(
        self,
        exchange: exchange_module.Exchange,
        response: http_messages.Response,
    ) -> None:
        exchange.task = None
        exchange.response = response
        if response.closes_connection:
            self.is_refusing = True
        self._flush()
        self.listener.budget.add(len(response.body))

    def _flush(self) -> None:
        """Write the completed responses that are next in order."""
        while self.exchanges and not self.writer.is_busy():
            exchange = self.exchanges[0]
            if exchange.is_refused and exchange.response is None:
                exchange.response = self.listener.respond_to_error(
                    errors.ErrorKind.STOPPING
                )
            if exchange.response is None:
                break
            if self.is_write_paused and not self.is_cut:
                # The transport would copy it, for a client that does not read.
                break
            if self.listener.is_stopping:
                self.is_refusing = True
            if self.is_refusing and self.unparsed and len(self.exchanges) == 1:
                self._refuse_unparsed()
                continue
            self.exchanges.popleft()
            # For the client, requests after a closing response were not
            # processed (RFC 9112, section 9.6), so all requests that have been
            # read are answered before the connection is closed.
            is_last = not self.exchanges and (
                self.is_refusing or self.parser.is_stopped
            )
            self.writer.write(
                *http_messages.encode_response(
                    exchange.response, exchange.is_head, is_last
                )
            )
            self.lifetime.last_active_at = clock.recent()
            if is_last:
                if self.writer.is_busy():
                    self.ends_after_response = True
                else:
                    self._linger()
                return
            if self.has_waiting:
                self._start_waiting_handler()
        if self.parser.is_body_held_back():
            self.on_expect_continue()
        if self.unparsed:
            self.unparsed.parse()

    def _linger(self) -> None:
        """Send the end of the stream; ignore what still arrives."""
        self.is_lingering = True
        self.parser.discard()
        self.unparsed.clear()
        # The client may have reset the connection.
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self.unparsed.update_reading()

    def close_if_finished(self) -> None:
        """Close the connection if no request and no response can be lost."""
        if (
            self.parser.request_started_at
            or self.exchanges
            or self.unparsed
            or self.writer.is_busy()
        ):
            return
        if self.lifetime.has_lingered(clock.recent()):
            self.parser.is_stopped = True
            self.transport.close()
        elif not self.is_lingering:
            # The last response may still be on its way.
            self._linger()

    def _abort(self) -> None:
        """Close the connection at once, and discard what is unsent."""
        self._on_client_left()
        self.writer.clear()
        self.transport.abort()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle or done, or a request is late.

        A client that leaves while reading is paused is noticed here, too.
        """
        if self.lifetime.is_abandoned(now):
            self._abort()
        elif self.is_lingering:
            if self.lifetime.has_lingered(now):
                self.transport.close()
        elif self.parser.request_started_at:
            self._check_half_read_request(now)
        elif not (
            self.exchanges or self.unparsed or self.writer.is_busy()
        ) and self.lifetime.is_idle_too_long(now):
            self.parser.is_stopped = True
            self.transport.close()

    def _check_half_read_request(self, now: float) -> None:
        limits = self.listener.limits
        if self.unparsed or not self.may_parse():
            # The rest of the request may have arrived.
            self.parser.request_started_at = self.lifetime.received_at = now
        elif self.parser.is_in_headers:
            started_at = self.parser.request_started_at
            if now - started_at > limits.header_timeout_s:
                self.reject(errors.ErrorKind.HEADERS_LATE)
        elif self.exchanges:
            # The client may wait for a response first.
            self.lifetime.received_at = now
        elif self.lifetime.is_body_late(now):
            self.reject(errors.ErrorKind.BODY_LATE)

    # Methods for the limit on connections.

    def idle_order(self) -> tuple[int, float] | None:
        """Return the rank and last activity; None while a request runs."""
        if any(exchange.response is None for exchange in self.exchanges):
            return None
        return self.lifetime.idle_order(
            self.is_lingering,
            bool(self.parser.request_started_at or self.unparsed),
            self.is_write_paused,
        )

    def close_idle(self) -> None:
        """Close the connection; nothing of it has been passed on."""
        self._abort()

    # Methods for the budget of the listener.

    @property
    def moved_at(self) -> float:
        """Time at which the client last read or sent something, seconds."""
        return self.lifetime.moved_at()

    def held_bytes(self) -> int:
        """Return the size of what is read, handled, and not yet sent."""
        unsent_bytes: int = self.transport.get_write_buffer_size()
        return (
            len(self.unparsed)
            + self.parser.held_bytes()
            + sum(exchange.held_bytes() for exchange in self.exchanges)
            + self.writer.held_bytes()
            + unsent_bytes
        )

    def release_bytes(self) -> None:
        """Reject a half-read request, or abort responses that are not read.

        Those of a client that reads them are aborted only if the process
        would exceed its memory otherwise.
        """
        if not self.parser.is_stopped and (
            self.parser.request_started_at or self.unparsed
        ):
            self.reject(errors.ErrorKind.MEMORY_FULL)
        elif self.is_write_paused and (
            self.lifetime.is_slow_reader(self._response_bytes())
            or self.listener.budget.is_over_total()
        ):
            self._abort()

    def _response_bytes(self) -> int:
        """Return the size of the responses that wait for the client."""
        ready_bytes = 0
        for exchange in self.exchanges:
            if exchange.response is not None:
                ready_bytes += len(exchange.response.body)
        return ready_bytes + self.lifetime.delivery.unsent_bytes()
