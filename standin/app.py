"""ASGI application of the stand-in.

A request to any path other than the health path or those below /_standin/ is
a call. A call waits for a slot, runs for the service time and makes its onward
calls through the node. The JSON response contains the digest of the request,
so that a client can detect a response that belongs to another request.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import json
import math
import os
import random
import typing
import urllib.parse

from godwitstall import clock
from godwitstall import errors
from godwitstall import logs
from loadtool import http_client
from loadtool import operation_ids
from loadtool import tables
from standin import behaviour as behaviours
from standin import options as standin_options
from standin import oracle as oracles
from standin import slots as slot_pools

_log = logs.get('standin')

_Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]
_Receive = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]

_CONTROL_PREFIX = '/_standin/'

# Bytes by which Content-Length exceeds the body of a truncated response.
_MISSING_BYTES = 64

# Connections to the node beyond one per slot. A run makes its onward calls
# one after the other, so it needs at most one connection.
_SPARE_CONNECTIONS = 4

_NOT_RUN = [(b'godwitstall-outcome', b'not-run')]

# Interval and number of the load samples from which delayed reports are made.
_SAMPLE_INTERVAL_S = 0.1
_MAX_SAMPLES = 1000


@dataclasses.dataclass(slots=True)
class _Request:
    """A received call."""

    method: str
    # Path with the query.
    path: str
    headers: dict[str, str]
    body: bytes
    # SHA-256 of method, path and body, hex.
    digest: str
    # Deadline in loop time; None without a deadline.
    deadline: float | None


class Standin:
    """ASGI application and state of one simulated upstream process."""

    def __init__(
        self, options: standin_options.StandinOptions, incarnation: int
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.behaviour = dataclasses.replace(options.behaviour)
        self.oracle = oracles.Oracle(options.runs_file, options.max_runs)
        self.slots = slot_pools.Slots(options.slots, options.max_queue)
        # Source of service times, error responses and faults.
        self.random = random.Random(options.seed)
        # Start time of the process, seconds since boot.
        self.started_at = clock.now()
        # Time at which draining started, seconds since boot; 0 while ready.
        self.draining_since = 0.0
        # Calls received and not yet answered.
        self.active_calls = 0
        # Number of the newest run.
        self.last_run_number = 0
        self.node_client = (
            http_client.Client(
                options.node_address, options.slots + _SPARE_CONNECTIONS
            )
            if options.node_address
            else None
        )
        # Samples (time, running, queued) for delayed reports.
        self.samples: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        # Returns the number of open connections; set by the program.
        self.count_connections: collections.abc.Callable[[], int] = lambda: 0

    async def __call__(
        self, scope: dict[str, typing.Any], receive: _Receive, send: _Send
    ) -> None:
        """Serve one HTTP request."""
        body = b''
        while True:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return
            body += event.get('body', b'')
            if not event.get('more_body'):
                break
        path = scope['raw_path'].decode('latin-1')
        if path.startswith(_CONTROL_PREFIX):
            await self._serve_control(scope, path, body, send)
        elif path == self.options.health_path:
            await self._serve_health(receive, send)
        else:
            self.active_calls += 1
            try:
                await self._serve_call(scope, path, body, receive, send)
            finally:
                self.active_calls -= 1

    async def sample_load(self) -> None:
        """Sample the load for delayed reports until cancelled."""
        while True:
            self.samples.append(
                (clock.now(), self.slots.running, len(self.slots.waiters))
            )
            await asyncio.sleep(_SAMPLE_INTERVAL_S)

    def drain(self) -> None:
        """Enter the draining state, which later announcements contain."""
        if not self.draining_since:
            self.draining_since = clock.now()

    def is_idle(self) -> bool:
        """Return whether no call is in progress."""
        return self.active_calls == 0

    def announcement(self) -> dict[str, typing.Any]:
        """Return the content of POST /announce to the node."""
        return {
            'service': self.options.service,
            'incarnation': self.incarnation,
            'port': int(self.options.address.rpartition(':')[2]),
            'slots': self.options.slots,
            'connections': self.options.connections,
            'health_path': self.options.health_path,
            'state': 'draining' if self.draining_since else 'ready',
        }

    async def _serve_call(
        self,
        scope: dict[str, typing.Any],
        path: str,
        body: bytes,
        receive: _Receive,
        send: _Send,
    ) -> None:
        if self.count_connections() > self.options.connections:
            self.oracle.increment('connections_refused')
            await _close_connection(receive, send)
            return
        response_task = asyncio.create_task(
            self._respond(_read_request(scope, path, body), receive, send)
        )
        disconnect_task = asyncio.create_task(_wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (response_task, disconnect_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            disconnect_task.cancel()
            if not response_task.done():
                self.oracle.increment('client_gone')
                response_task.cancel()
            await asyncio.wait((response_task,))
        if not response_task.cancelled():
            response_task.result()

    async def _respond(
        self, request: _Request, receive: _Receive, send: _Send
    ) -> None:
        fault = self._draw_fault()
        if fault is behaviours.Fault.FREEZE:
            self.oracle.increment('frozen')
            await _wait_for_disconnect(receive)
            return
        if fault is behaviours.Fault.CLOSE_BEFORE:
            self.oracle.increment('closed_before')
            await _close_connection(receive, send)
            return
        loop = asyncio.get_running_loop()
        try:
            await self.slots.acquire(request.deadline)
        except slot_pools.QueueFullError:
            self.oracle.increment('shed')
            await _send_json(
                send,
                503,
                {'error': 'shed', 'service': self.options.service},
                [
                    *_NOT_RUN,
                    (b'retry-after', b'1'),
                    *self._status_headers(),
                ],
            )
            return
        except TimeoutError:
            await self._send_deadline_passed(send)
            return
        try:
            if (
                request.deadline is not None
                and loop.time() >= request.deadline
            ):
                await self._send_deadline_passed(send)
                return
            status, response_body = await self._run(request)
        finally:
            self.slots.release()
        if self.behaviour.late_ms:
            await asyncio.sleep(self.behaviour.late_ms / 1000)
        match fault:
            case behaviours.Fault.CUT:
                await _send_truncated(receive, send, response_body)
            case behaviours.Fault.CLOSE_AFTER:
                await _close_connection(receive, send)
            case behaviours.Fault.TWICE:
                await _send_body(
                    send, status, response_body, self._status_headers()
                )
                _transport(send).write(
                    _encode_response(response_body, len(response_body))
                )
            case _:
                await _send_body(
                    send, status, response_body, self._status_headers()
                )

    def _status_headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers with which this upstream describes itself."""
        pairs = []
        if self.behaviour.rate_limit >= 0:
            limit = b'%g' % self.behaviour.rate_limit
            pairs.append((b'godwitstall-rate-limit', limit))
        if self.behaviour.says_leaving:
            pairs.append((b'godwitstall-leaving', b'1'))
        return pairs

    async def _send_deadline_passed(self, send: _Send) -> None:
        self.oracle.increment('deadline_passed')
        await _send_json(
            send,
            504,
            {'error': 'deadline_passed', 'service': self.options.service},
            [*_NOT_RUN, *self._status_headers()],
        )

    async def _run(self, request: _Request) -> tuple[int, bytes]:
        """Run one request; return the status and body of the response."""
        headers = request.headers
        self.last_run_number += 1
        now = clock.now()
        run = oracles.Run(
            number=self.last_run_number,
            incarnation=self.incarnation,
            start=now,
            method=request.method,
            path=request.path,
            digest=request.digest,
            workspace=headers.get('godwitstall-workspace', ''),
            operation=headers.get('godwitstall-operation', ''),
            has_key='authorization' in headers or 'godwitstall-key' in headers,
            drain_s=now - self.draining_since if self.draining_since else -1,
        )
        self.oracle.record_start(run)
        marker = self.behaviour.crash_marker.encode()
        if marker and marker in request.body:
            os._exit(1)
        state = 'cancelled'
        try:
            service_s = self._draw_service_s(now)
            if service_s > 0:
                await asyncio.sleep(service_s)
            onward = await self._make_onward_calls(request)
            state = 'done'
        finally:
            self.oracle.record_end(run, state)
        status = 200
        if any(not item['is_good'] for item in onward):
            status = 502
        if self.random.random() < self.behaviour.error_share:
            status = self.behaviour.error_status
        content: dict[str, typing.Any] = {
            'service': self.options.service,
            'incarnation': self.incarnation,
            'run': run.number,
            'digest': request.digest,
            'onward': onward,
        }
        body = json.dumps(content, separators=(',', ':'))
        padding_bytes = self.options.answer_bytes - len(body)
        if padding_bytes > 0:
            content['padding'] = 'x' * max(
                0, padding_bytes - len(',"padding":""')
            )
            body = json.dumps(content, separators=(',', ':'))
        return status, body.encode()

    async def _make_onward_calls(
        self, request: _Request
    ) -> list[dict[str, typing.Any]]:
        results: list[dict[str, typing.Any]] = []
        if self.node_client is None:
            return results
        loop = asyncio.get_running_loop()
        deadline = request.deadline
        if deadline is None:
            deadline = loop.time() + self.options.onward_deadline_ms / 1000
        for call in self.options.onward:
            if not request.path.startswith(call.for_prefix):
                continue
            for index in range(call.count):
                # The query makes the digest of each onward request unique.
                path = f'{call.path}?from={request.digest[:16]}-{index}'
                headers = {}
                context = request.headers.get('godwitstall-context')
                if context is not None:
                    headers['godwitstall-context'] = context
                if call.has_operation:
                    headers['godwitstall-operation'] = operation_ids.new_id()
                remaining_s = deadline - loop.time()
                if remaining_s <= 0:
                    results.append(
                        _describe_onward_failure(path, 'deadline_passed')
                    )
                    return results
                headers['godwitstall-deadline-ms'] = str(
                    math.ceil(remaining_s * 1000)
                )
                results.append(
                    await self._make_onward_call(
                        call, path, headers, remaining_s
                    )
                )
                if not results[-1]['is_good']:
                    return results
        return results

    async def _make_onward_call(
        self,
        call: standin_options.OnwardCall,
        path: str,
        headers: dict[str, str],
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        assert self.node_client is not None
        body = b'x' * call.body_bytes
        try:
            response = await self.node_client.request(
                call.method, path, headers.items(), body, timeout_s
            )
        except http_client.CallError as e:
            self.oracle.increment(f'onward_{e.reason}')
            return _describe_onward_failure(path, e.reason)
        try:
            content = json.loads(response.body)
        except ValueError:
            content = None
        is_good = 200 <= response.status < 300
        if is_good:
            digest = http_client.request_digest(call.method, path, body)
            if (
                not isinstance(content, dict)
                or content.get('digest') != digest
            ):
                self.oracle.increment('onward_foreign')
                return _describe_onward_failure(path, 'foreign')
        self.oracle.increment('onward_good' if is_good else 'onward_refused')
        return {
            'path': path,
            'is_good': is_good,
            'status': response.status,
            'error': response.headers.get('godwitstall-error', ''),
            'outcome': response.headers.get('godwitstall-outcome', ''),
            'answer': content,
        }

    def _draw_fault(self) -> behaviours.Fault:
        if self.behaviour.fault is behaviours.Fault.NONE:
            return behaviours.Fault.NONE
        if self.random.random() < self.behaviour.fault_share:
            return self.behaviour.fault
        return behaviours.Fault.NONE

    def _draw_service_s(self, now: float) -> float:
        options = self.options
        seconds = options.service_ms / 1000 * self.behaviour.slowdown
        if options.spread:
            # This location makes service_ms the mean of the distribution.
            location = -options.spread * options.spread / 2
            seconds *= self.random.lognormvariate(location, options.spread)
        age = now - self.started_at
        if age < options.cold_s:
            extra_factor = (options.cold_factor - 1) * (
                1 - age / options.cold_s
            )
            seconds *= 1 + extra_factor
        return seconds

    async def _serve_health(self, receive: _Receive, send: _Send) -> None:
        is_fine = not self.draining_since
        match self.behaviour.health:
            case behaviours.Health.FROZEN:
                await _wait_for_disconnect(receive)
                return
            case behaviours.Health.FINE:
                is_fine = True
            case behaviours.Health.BAD:
                is_fine = False
        await _send_json(
            send,
            200 if is_fine else 503,
            {'is_fine': is_fine, **self._reported_load()},
        )

    def _reported_load(self) -> dict[str, typing.Any]:
        """Return the reported load, which may be delayed or scaled."""
        running, queued = self.slots.running, len(self.slots.waiters)
        if self.behaviour.report_lag_s:
            sample_time = clock.now() - self.behaviour.report_lag_s
            running, queued = 0, 0
            for time, old_running, old_queued in self.samples:
                if time > sample_time:
                    break
                running, queued = old_running, old_queued
        factor = self.behaviour.load_factor
        return {
            'running': int(running * factor),
            'queued': int(queued * factor),
            'slots': self.options.slots,
        }

    async def _serve_control(
        self,
        scope: dict[str, typing.Any],
        path: str,
        body: bytes,
        send: _Send,
    ) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        match scope['method'], path[len(_CONTROL_PREFIX) :]:
            case 'GET', 'load':
                await _send_json(send, 200, self._reported_load())
            case 'GET', 'runs':
                first = int(query.get('first', ['0'])[0])
                count = int(
                    query.get('count', [str(len(self.oracle.runs))])[0]
                )
                await _send_json(send, 200, self._describe_runs(first, count))
            case 'POST', 'runs':
                self.oracle.reset()
                await _send_json(send, 200, {})
            case 'GET', 'behaviour':
                await self._send_behaviour(send)
            case 'POST', 'behaviour':
                try:
                    self.behaviour = tables.replace(
                        self.behaviour, json.loads(body)
                    )
                except (errors.SettingsError, ValueError, TypeError) as e:
                    await _send_json(send, 400, {'error': str(e)})
                    return
                _log.info('Behaviour changed to %s.', self.behaviour)
                await self._send_behaviour(send)
            case _:
                await _send_json(send, 404, {'error': 'no such page'})

    async def _send_behaviour(self, send: _Send) -> None:
        await _send_json(send, 200, json.loads(tables.to_json(self.behaviour)))

    def _describe_runs(self, first: int, count: int) -> dict[str, typing.Any]:
        return {
            'service': self.options.service,
            'incarnation': self.incarnation,
            'counts': self.oracle.counts,
            'total': len(self.oracle.runs),
            'runs': [
                dataclasses.asdict(run)
                for run in self.oracle.runs[first : first + count]
            ],
        }


def _read_request(
    scope: dict[str, typing.Any], path: str, body: bytes
) -> _Request:
    headers = {
        name.decode('latin-1'): value.decode('latin-1')
        for name, value in scope['headers']
    }
    if scope['query_string']:
        path += '?' + scope['query_string'].decode('latin-1')
    deadline = None
    deadline_ms = headers.get('godwitstall-deadline-ms', '')
    if deadline_ms.isdecimal():
        now = asyncio.get_running_loop().time()
        deadline = now + int(deadline_ms) / 1000
    return _Request(
        method=scope['method'],
        path=path,
        headers=headers,
        body=body,
        digest=http_client.request_digest(scope['method'], path, body),
        deadline=deadline,
    )


def _describe_onward_failure(path: str, reason: str) -> dict[str, typing.Any]:
    return {'path': path, 'is_good': False, 'error': reason}


async def _wait_for_disconnect(receive: _Receive) -> None:
    """Wait until the client has closed its connection."""
    while (await receive())['type'] != 'http.disconnect':
        pass


def _transport(send: _Send) -> asyncio.Transport:
    """Return the transport of the connection of a request.

    ASGI cannot send a malformed response. send is a method of uvicorn's
    request cycle, which holds the transport.
    """
    cycle = typing.cast(typing.Any, send).__self__
    return typing.cast(asyncio.Transport, cycle.transport)


async def _close_connection(receive: _Receive, send: _Send) -> None:
    """Close the connection without a response."""
    _transport(send).abort()
    await _wait_for_disconnect(receive)


def _encode_response(body: bytes, length: int) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
        b'content-length: %d\r\n\r\n' % length
    ) + body


async def _send_truncated(receive: _Receive, send: _Send, body: bytes) -> None:
    """Send a truncated response and close the connection."""
    transport = _transport(send)
    transport.write(_encode_response(body, len(body) + _MISSING_BYTES))
    transport.close()
    await _wait_for_disconnect(receive)


async def _send_body(
    send: _Send,
    status: int,
    body: bytes,
    headers: list[tuple[bytes, bytes]],
) -> None:
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
                *headers,
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


async def _send_json(
    send: _Send,
    status: int,
    content: dict[str, typing.Any],
    headers: collections.abc.Iterable[tuple[bytes, bytes]] = (),
) -> None:
    await _send_body(send, status, json.dumps(content).encode(), [*headers])
