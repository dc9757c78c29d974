"""The stand-in's HTTP application (bare ASGI) and its onward calls.

Calls are all paths outside /_standin/ and the health path. A call waits for
a slot, runs for the service time, makes its onward calls through the node
and answers with JSON that names the request by its digest, so that a client
can tell its own whole answer from a foreign one.
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

# Bytes that a cut answer promises beyond those it sends.
_CUT_BYTES = 64

# Onward calls are serial within a run, so slots bounds those open at once.
_SPARE_CONNECTIONS = 4

_NOT_RUN = [(b'godwitstall-outcome', b'not-run')]

# Load samples kept for lagging reports; one is taken each 100 ms.
_SAMPLE_S = 0.1
_MAX_SAMPLES = 1000


@dataclasses.dataclass(slots=True)
class _Request:
    """One call as received."""

    method: str
    # Path and query.
    path: str
    headers: dict[str, str]
    body: bytes
    # Digest of method, path and body, hex.
    digest: str
    # Deadline as loop time; None without one.
    ends_at: float | None


class Standin:
    """State and behaviour of one upstream process."""

    def __init__(
        self, options: standin_options.StandinOptions, incarnation: int
    ) -> None:
        self.options = options
        self.incarnation = incarnation
        self.behaviour = dataclasses.replace(options.behaviour)
        self.oracle = oracles.Oracle(options.runs_file, options.max_runs)
        self.slots = slot_pools.Slots(options.slots, options.max_queue)
        # Drives service times, error rates and fault shares.
        self.random = random.Random(options.seed)
        # Start of the process, seconds since boot.
        self.started = clock.now()
        # Start of draining, seconds since boot; 0 while ready.
        self.draining_since = 0.0
        # Calls received whose answer has not gone out.
        self.open_calls = 0
        # Number of the last run.
        self.last_run = 0
        self.node = (
            http_client.Client(
                options.node_address, options.slots + _SPARE_CONNECTIONS
            )
            if options.node_address
            else None
        )
        # Samples (time, running, queued) for lagging reports.
        self.samples: collections.deque[tuple[float, int, int]] = (
            collections.deque(maxlen=_MAX_SAMPLES)
        )
        # Number of connections open; set by the program.
        self.count_connections: collections.abc.Callable[[], int] = lambda: 0

    async def __call__(
        self, scope: dict[str, typing.Any], receive: _Receive, send: _Send
    ) -> None:
        """Serve one request."""
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
            await self._control(scope, path, body, send)
        elif path == self.options.health_path:
            await self._health(receive, send)
        else:
            self.open_calls += 1
            try:
                await self._call(scope, path, body, receive, send)
            finally:
                self.open_calls -= 1

    async def sample_load(self) -> None:
        """Record the load for lagging reports until cancelled."""
        while True:
            self.samples.append(
                (clock.now(), self.slots.running, len(self.slots.waiting))
            )
            await asyncio.sleep(_SAMPLE_S)

    def drain(self) -> None:
        """Enter the draining state; announcements say so from now on."""
        if not self.draining_since:
            self.draining_since = clock.now()

    def is_idle(self) -> bool:
        """Return whether no call is open."""
        return self.open_calls == 0

    def announcement(self) -> dict[str, typing.Any]:
        """Return the body of POST /announce."""
        return {
            'service': self.options.service,
            'incarnation': self.incarnation,
            'port': int(self.options.address.rpartition(':')[2]),
            'slots': self.options.slots,
            'connections': self.options.connections,
            'health_path': self.options.health_path,
            'state': 'draining' if self.draining_since else 'ready',
        }

    async def _call(
        self,
        scope: dict[str, typing.Any],
        path: str,
        body: bytes,
        receive: _Receive,
        send: _Send,
    ) -> None:
        if self.count_connections() > self.options.connections:
            self.oracle.count('connections_refused')
            await _abort(receive, send)
            return
        work = asyncio.create_task(
            self._answer(_read_request(scope, path, body), receive, send)
        )
        gone = asyncio.create_task(_wait_gone(receive))
        try:
            await asyncio.wait(
                (work, gone), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            gone.cancel()
            if not work.done():
                self.oracle.count('client_gone')
                work.cancel()
            await asyncio.wait((work,))
        if not work.cancelled():
            work.result()

    async def _answer(
        self, request: _Request, receive: _Receive, send: _Send
    ) -> None:
        fault = self._draw_fault()
        if fault is behaviours.Fault.FREEZE:
            self.oracle.count('frozen')
            await _wait_gone(receive)
            return
        if fault is behaviours.Fault.CLOSE_BEFORE:
            self.oracle.count('closed_before')
            await _abort(receive, send)
            return
        loop = asyncio.get_running_loop()
        try:
            await self.slots.take(request.ends_at)
        except slot_pools.QueueFullError:
            self.oracle.count('shed')
            await _send_json(
                send,
                503,
                {'error': 'shed', 'service': self.options.service},
                [*_NOT_RUN, (b'retry-after', b'1')],
            )
            return
        except TimeoutError:
            await self._send_late(send)
            return
        try:
            if request.ends_at is not None and loop.time() >= request.ends_at:
                await self._send_late(send)
                return
            status, answer = await self._run(request)
        finally:
            self.slots.give_back()
        if self.behaviour.late_ms:
            await asyncio.sleep(self.behaviour.late_ms / 1000)
        match fault:
            case behaviours.Fault.CUT:
                await _send_cut(receive, send, answer)
            case behaviours.Fault.CLOSE_AFTER:
                await _abort(receive, send)
            case behaviours.Fault.TWICE:
                await _send_body(send, status, answer, [])
                _transport(send).write(_raw_answer(answer, len(answer)))
            case _:
                await _send_body(send, status, answer, [])

    async def _send_late(self, send: _Send) -> None:
        self.oracle.count('deadline_passed')
        await _send_json(
            send,
            504,
            {'error': 'deadline_passed', 'service': self.options.service},
            _NOT_RUN,
        )

    async def _run(self, request: _Request) -> tuple[int, bytes]:
        """Run one request; return the status and the body of its answer."""
        headers = request.headers
        self.last_run += 1
        now = clock.now()
        run = oracles.Run(
            number=self.last_run,
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
        self.oracle.begin(run)
        marker = self.behaviour.crash_marker.encode()
        if marker and marker in request.body:
            os._exit(1)
        state = 'cancelled'
        try:
            service_s = self._draw_service_s(now)
            if service_s > 0:
                await asyncio.sleep(service_s)
            onward = await self._call_onward(request)
            state = 'done'
        finally:
            self.oracle.end(run, state)
        status = 200
        if any(not item['is_good'] for item in onward):
            status = 502
        if self.random.random() < self.behaviour.error_share:
            status = self.behaviour.error_status
        answer: dict[str, typing.Any] = {
            'service': self.options.service,
            'incarnation': self.incarnation,
            'run': run.number,
            'digest': request.digest,
            'onward': onward,
        }
        body = json.dumps(answer, separators=(',', ':'))
        missing = self.options.answer_bytes - len(body)
        if missing > 0:
            answer['padding'] = 'x' * max(0, missing - len(',"padding":""'))
            body = json.dumps(answer, separators=(',', ':'))
        return status, body.encode()

    async def _call_onward(
        self, request: _Request
    ) -> list[dict[str, typing.Any]]:
        results: list[dict[str, typing.Any]] = []
        if self.node is None:
            return results
        loop = asyncio.get_running_loop()
        ends_at = request.ends_at
        if ends_at is None:
            ends_at = loop.time() + self.options.onward_deadline_ms / 1000
        for call in self.options.onward:
            if not request.path.startswith(call.for_prefix):
                continue
            for place in range(call.count):
                # The query makes each onward request differ from all others.
                path = f'{call.path}?from={request.digest[:16]}-{place}'
                headers = {}
                context = request.headers.get('godwitstall-context')
                if context is not None:
                    headers['godwitstall-context'] = context
                if call.has_operation:
                    headers['godwitstall-operation'] = operation_ids.new_id()
                left_s = ends_at - loop.time()
                if left_s <= 0:
                    results.append(_onward_failure(path, 'deadline_passed'))
                    return results
                headers['godwitstall-deadline-ms'] = str(
                    math.ceil(left_s * 1000)
                )
                results.append(
                    await self._one_onward(call, path, headers, left_s)
                )
                if not results[-1]['is_good']:
                    return results
        return results

    async def _one_onward(
        self,
        call: standin_options.OnwardCall,
        path: str,
        headers: dict[str, str],
        timeout_s: float,
    ) -> dict[str, typing.Any]:
        assert self.node is not None
        body = b'x' * call.body_bytes
        try:
            answer = await self.node.request(
                call.method, path, headers.items(), body, timeout_s
            )
        except http_client.CallError as e:
            self.oracle.count(f'onward_{e.reason}')
            return _onward_failure(path, e.reason)
        try:
            content = json.loads(answer.body)
        except ValueError:
            content = None
        is_good = 200 <= answer.status < 300
        if is_good:
            digest = http_client.request_digest(call.method, path, body)
            if (
                not isinstance(content, dict)
                or content.get('digest') != digest
            ):
                self.oracle.count('onward_foreign')
                return _onward_failure(path, 'foreign')
        self.oracle.count('onward_good' if is_good else 'onward_refused')
        return {
            'path': path,
            'is_good': is_good,
            'status': answer.status,
            'error': answer.headers.get('godwitstall-error', ''),
            'outcome': answer.headers.get('godwitstall-outcome', ''),
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
            # The location keeps the mean at service_ms.
            location = -options.spread * options.spread / 2
            seconds *= self.random.lognormvariate(location, options.spread)
        age = now - self.started
        if age < options.cold_s:
            cold = (options.cold_factor - 1) * (1 - age / options.cold_s)
            seconds *= 1 + cold
        return seconds

    async def _health(self, receive: _Receive, send: _Send) -> None:
        is_fine = not self.draining_since
        match self.behaviour.health:
            case behaviours.Health.FROZEN:
                await _wait_gone(receive)
                return
            case behaviours.Health.FINE:
                is_fine = True
            case behaviours.Health.BAD:
                is_fine = False
        await _send_json(
            send,
            200 if is_fine else 503,
            {'is_fine': is_fine, **self._load()},
        )

    def _load(self) -> dict[str, typing.Any]:
        """Return the load as reported, which can lag or lie."""
        running, queued = self.slots.running, len(self.slots.waiting)
        if self.behaviour.report_lag_s:
            wanted = clock.now() - self.behaviour.report_lag_s
            running, queued = 0, 0
            for time, old_running, old_queued in self.samples:
                if time > wanted:
                    break
                running, queued = old_running, old_queued
        factor = self.behaviour.load_factor
        return {
            'running': int(running * factor),
            'queued': int(queued * factor),
            'slots': self.options.slots,
        }

    async def _control(
        self,
        scope: dict[str, typing.Any],
        path: str,
        body: bytes,
        send: _Send,
    ) -> None:
        query = urllib.parse.parse_qs(scope['query_string'].decode('latin-1'))
        match scope['method'], path[len(_CONTROL_PREFIX) :]:
            case 'GET', 'load':
                await _send_json(send, 200, self._load())
            case 'GET', 'runs':
                first = int(query.get('first', ['0'])[0])
                count = int(
                    query.get('count', [str(len(self.oracle.runs))])[0]
                )
                await _send_json(send, 200, self._shown_runs(first, count))
            case 'POST', 'runs':
                self.oracle.reset()
                await _send_json(send, 200, {})
            case 'GET', 'behaviour':
                await self._send_behaviour(send)
            case 'POST', 'behaviour':
                try:
                    self.behaviour = tables.change(
                        self.behaviour, json.loads(body)
                    )
                except (errors.SettingsError, ValueError, TypeError) as e:
                    await _send_json(send, 400, {'error': str(e)})
                    return
                _log.info('Behaviour is now %s.', self.behaviour)
                await self._send_behaviour(send)
            case _:
                await _send_json(send, 404, {'error': 'no such page'})

    async def _send_behaviour(self, send: _Send) -> None:
        await _send_json(send, 200, json.loads(tables.to_json(self.behaviour)))

    def _shown_runs(self, first: int, count: int) -> dict[str, typing.Any]:
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
    ends_at = None
    deadline_ms = headers.get('godwitstall-deadline-ms', '')
    if deadline_ms.isdecimal():
        now = asyncio.get_running_loop().time()
        ends_at = now + int(deadline_ms) / 1000
    return _Request(
        method=scope['method'],
        path=path,
        headers=headers,
        body=body,
        digest=http_client.request_digest(scope['method'], path, body),
        ends_at=ends_at,
    )


def _onward_failure(path: str, reason: str) -> dict[str, typing.Any]:
    return {'path': path, 'is_good': False, 'error': reason}


async def _wait_gone(receive: _Receive) -> None:
    """Return when the client has closed its connection."""
    while (await receive())['type'] != 'http.disconnect':
        pass


def _transport(send: _Send) -> asyncio.Transport:
    """Return the connection of a request.

    ASGI has no way to break an answer on purpose. send is a method of
    uvicorn's request cycle, which has the transport.
    """
    cycle = typing.cast(typing.Any, send).__self__
    return typing.cast(asyncio.Transport, cycle.transport)


async def _abort(receive: _Receive, send: _Send) -> None:
    """Close the connection without an answer."""
    _transport(send).abort()
    await _wait_gone(receive)


def _raw_answer(body: bytes, length: int) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
        b'content-length: %d\r\n\r\n' % length
    ) + body


async def _send_cut(receive: _Receive, send: _Send, body: bytes) -> None:
    """Send a part of an answer, then close the connection."""
    transport = _transport(send)
    transport.write(_raw_answer(body, len(body) + _CUT_BYTES))
    transport.close()
    await _wait_gone(receive)


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
