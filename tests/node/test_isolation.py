"""R3: a request runs only for the workspace whose key it carries."""

import asyncio
import json
import logging
import pathlib
import typing

import httpx
import pytest

from godwitstall import clock
from godwitstall import link as link_module
from godwitstall.node.sessions import control_session
from tests import fakes

_ROUTES: list[dict[str, typing.Any]] = [
    {
        'name': 'orders',
        'path_prefix': '/orders',
        'service': 'siop',
        'attempts': 9,
        'dispatch_attempts': 4,
    },
    {'name': 'far', 'path_prefix': '/far', 'service': 'gwydd'},
    {
        'name': 'far-open',
        'path_prefix': '/far-open',
        'service': 'gwydd',
        'open': True,
    },
    {
        'name': 'again',
        'path_prefix': '/again',
        'service': 'gwydd',
        'idempotent': True,
        'attempts': 4,
    },
    {
        'name': 'open',
        'path_prefix': '/open',
        'service': 'siop',
        'open': True,
        'attempts': 6,
        'dispatch_attempts': 3,
    },
]
_NOTE = fakes.note(1, {'dyffryn': (1000, 500), 'bach': (1000, 500)}, _ROUTES)
_WITHDRAWN = 'number = 2\n[withdrawn]\nkeys = ["dyffryn-1"]\n'
_KEY = 'key-dyffryn'
_SERVICES = {'siop-1': 'siop', 'gwydd-1': 'gwydd'}


class _BlockedUpstream:
    """Blocks the runs of an upstream until the test releases them."""

    def __init__(self, node: fakes.NodeHarness) -> None:
        self.is_released = asyncio.Event()
        node.upstream.respond = self._respond

    async def _respond(
        self, request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await self.is_released.wait()
        await fakes.echo(request, writer)


async def _start_parent_call(
    node: fakes.NodeHarness, path: str = '/orders/1', key: str = _KEY
) -> tuple[
    _BlockedUpstream, 'asyncio.Task[typing.Any]', fakes.ReceivedRequest
]:
    """Start a call that runs until the test releases it."""
    blocked = _BlockedUpstream(node)
    previous_runs = len(node.upstream.runs)
    task = asyncio.create_task(node.call(path, key))
    await fakes.until(
        lambda: len(node.upstream.runs) > previous_runs, 'the call runs'
    )
    return blocked, task, node.upstream.runs[-1]


def _has_lease(session: control_session.ControlSession) -> bool:
    return session.has_lease(clock.now())


def test_contexts(tmp_path: pathlib.Path) -> None:
    """Guards against onward calls that belong to no running request."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _SERVICES) as (
            _,
            [near, far],
        ):
            blocked, task, parent = await _start_parent_call(near)
            valid_context = parent.headers['godwitstall-context']
            onward = await near.call_onward(parent, '/far/1')
            assert onward.status == 200
            foreign_context = far.upstream.runs[-1].headers[
                'godwitstall-context'
            ]
            refused: list[tuple[str, fakes.NodeHarness, list[str], int]] = [
                ('none', near, [], 403),
                ('empty', near, [''], 403),
                ('forged', near, ['0' * 32], 403),
                ('other case', near, [valid_context.upper() + 'A'], 403),
                ('of another node', far, [valid_context], 403),
                ('ended at another node', far, [foreign_context], 403),
                ('twice', near, [valid_context, valid_context], 400),
                ('not ASCII', near, [valid_context + '\xe9'], 400),
            ]
            for name, node, values, status in refused:
                answer = await node.onward_client.request(
                    'GET',
                    '/far/x',
                    [('godwitstall-context', value) for value in values],
                    b'',
                    5.0,
                )
                assert answer.status == status, name
                assert answer.headers['godwitstall-outcome'] == 'not-run', name
            blocked.is_released.set()
            assert (await task).status == 200
            ended = await near.call_onward(parent, '/far/replayed')
            assert json.loads(ended.body)['error'] == 'context_invalid'
            assert len(far.upstream.runs) == 1

    asyncio.run(run())


def test_chain_without_a_key(tmp_path: pathlib.Path) -> None:
    """Guards against an onward call from an open route to one with a key."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _SERVICES) as (
            _,
            [near, far],
        ):
            blocked, task, parent = await _start_parent_call(
                near, '/open/1', ''
            )
            keyed = await near.call_onward(parent, '/far/1')
            assert keyed.status == 401
            assert json.loads(keyed.body)['error'] == 'key_missing'
            assert not far.upstream.runs
            opened = await near.call_onward(parent, '/far-open/1')
            assert opened.status == 200
            blocked.is_released.set()
            assert (await task).status == 200

    asyncio.run(run())


_SPOOFED_HEADERS = {
    'godwitstall-workspace': 'bach',
    'godwitstall_workspace': 'bach',
    'Godwitstall_Context': 'f' * 32,
    'godwitstall-key': 'key-bach',
    'authorization': 'Bearer key-bach',
}


def test_spoofed_headers(tmp_path: pathlib.Path) -> None:
    """Guards against an upstream or a caller that chooses the workspace."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _SERVICES) as (
            _,
            [near, far],
        ):
            blocked, task, parent = await _start_parent_call(near)
            onward = await near.call_onward(
                parent, '/far/1', headers=_SPOOFED_HEADERS
            )
            assert onward.status == 200
            blocked.is_released.set()
            await task
            spoofed_headers = _SPOOFED_HEADERS | {'godwitstall-key': _KEY}
            spoofed_headers['authorization'] = 'Bearer ' + _KEY
            assert (
                await far.call('/far/2', headers=spoofed_headers)
            ).status == 200
            for received in far.upstream.runs:
                workspace_headers = {
                    name: value
                    for name, value in received.headers.items()
                    if 'workspace' in name or 'context' in name
                }
                context = workspace_headers.pop('godwitstall-context')
                assert context != 'f' * 32
                assert workspace_headers == {
                    'godwitstall-workspace': 'dyffryn'
                }
                # A server may reject or misinterpret a second host header.
                assert received.headers['host'] == far.upstream.address
                assert received.header_names.count('host') == 1

    asyncio.run(run())


def test_key_is_never_exposed(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a key in upstream requests, logs or admin pages."""
    logged: list[str] = []
    monkeypatch.setattr(logging.Logger, 'isEnabledFor', lambda *_: True)
    monkeypatch.setattr(
        logging.Logger,
        'handle',
        lambda _, record: logged.append(
            record.getMessage() + repr(record.exc_info)
        ),
    )

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _SERVICES) as (
            _,
            [near, far],
        ):
            blocked, task, parent = await _start_parent_call(near)
            await near.call_onward(
                parent, '/far/1', headers={'authorization': f'Bearer {_KEY}'}
            )
            blocked.is_released.set()
            await task
            await near.call('/orders/2', headers={'authorization': _KEY})
            await near.call(
                '/orders/3', headers={'authorization': f'Bearer {_KEY}'}
            )
            await near.call('/orders/4', _KEY, headers={'x': 'y' * 40_000})
            await near.call('/orders/4', _KEY + '-of-nobody')
            far.upstream.respond = fakes.sends(b'garbage', is_closing=True)
            await near.call('/far/5', _KEY)
            outputs = [
                repr(request)
                for node in (near, far)
                for request in node.upstream.runs
            ]
            assert len(outputs) == 4
            async with httpx.AsyncClient() as admin:
                for node in (near, far):
                    for page in ('state', 'metrics'):
                        page_response = await admin.get(
                            f'http://{node.options.admin_address}/{page}'
                        )
                        assert page_response.status_code == 200
                        outputs.append(page_response.text)
            outputs += logged
            assert [text for text in logged if 'Node siop-1 started' in text]
            assert not [text for text in outputs if _KEY in text]

    asyncio.run(run())


def test_withdrawn_key_stops_a_running_chain(tmp_path: pathlib.Path) -> None:
    """Guards against onward calls of a chain whose key was withdrawn."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _SERVICES) as (
            control,
            [near, far],
        ):
            blocked, task, parent = await _start_parent_call(near)
            assert (await near.call_onward(parent, '/far/1')).status == 200
            control.apply_note(_WITHDRAWN)
            await fakes.until(lambda: near.node.view.number == 2, 'note')
            onward = await near.call_onward(parent, '/far/2')
            assert json.loads(onward.body)['error'] == 'key_unknown'
            assert onward.headers['godwitstall-outcome'] == 'not-run'
            blocked.is_released.set()
            assert (await task).status == 200
            assert (await near.call('/orders/2', _KEY)).status == 403
            assert (await near.call('/orders/3', 'key-bach')).status == 200
            assert len(far.upstream.runs) == 1

    asyncio.run(run())


def test_withdrawn_key_stops_retries(tmp_path: pathlib.Path) -> None:
    """Guards against a retry for a key withdrawn during the first try."""

    async def run() -> None:
        services = {'siop-1': 'siop', 'gwydd-1': 'gwydd', 'gwydd-2': 'gwydd'}
        async with fakes.running(tmp_path, _NOTE, services) as (
            control,
            [near, *far],
        ):

            async def respond(
                request: fakes.ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                if near.node.view.number == 1:
                    control.apply_note(_WITHDRAWN)
                    await fakes.until(
                        lambda: near.node.view.number == 2, 'note'
                    )
                writer.close()

            for node in far:
                node.upstream.respond = respond
            answer = await near.call('/again/1', _KEY)
            assert answer.status == 502
            assert sum(len(node.upstream.runs) for node in far) == 1

    asyncio.run(run())


def test_lost_control(tmp_path: pathlib.Path) -> None:
    """Guards against serving requests after the lease has expired."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _SERVICES) as (
            control,
            [near, far],
        ):
            blocked, task, parent = await _start_parent_call(near)
            control.is_confirming_heartbeats = False
            await fakes.until(
                lambda: (
                    not any(
                        node.node.session.has_lease(clock.now())
                        for node in (near, far)
                    )
                ),
                'leases expired',
            )
            refused = [
                await near.call('/orders/2', _KEY),
                await near.call('/open/2'),
                await near.call('/nowhere'),
                await near.call_onward(parent, '/far/2'),
            ]
            # An owner without a lease also refuses calls of other nodes.
            near.node.session.lease_until = clock.now() + 60.0
            refused.append(await near.call('/far-open/3'))
            near.node.session.lease_until = 0.0
            for answer in refused:
                assert json.loads(answer.body)['error'] == 'control_lost'
                assert answer.headers['godwitstall-outcome'] == 'not-run'
                assert int(answer.headers['retry-after']) >= 1
            assert len(near.upstream.runs) == 1
            assert not far.upstream.runs
            control.is_confirming_heartbeats = True
            blocked.is_released.set()
            assert (await task).status == 200
            await fakes.until(
                lambda: all(
                    node.node.session.has_lease(clock.now())
                    for node in (near, far)
                ),
                'leases renewed',
            )
            assert (await near.call('/orders/4', _KEY)).status == 200
            assert (await near.call('/far/4', _KEY)).status == 200

    asyncio.run(run())


# Target, additional header lines and expected status.
_UNSAFE_REQUESTS: list[tuple[str, list[str], int]] = [
    ('/open/../orders/1', [], 400),
    ('/open/./x', [], 400),
    ('/open/..', [], 400),
    ('/open/..;/orders/1', [], 400),
    ('/open/%2e%2e/orders/1', [], 400),
    ('/open/.%2E/orders/1', [], 400),
    ('/open%2forders', [], 400),
    ('/open%5c..%5corders', [], 400),
    ('/open\\..\\orders', [], 400),
    ('//open/x', [], 400),
    ('/open//x', [], 400),
    ('/open/x/%2e', [], 400),
    ('/%6fpen%2f', [], 400),
    ('*', [], 400),
    ('/openly', [], 404),
    ('/OPEN/x', [], 404),
    ('/orders/1', ['godwitstall-key: key-dyffryn'] * 2, 400),
    ('/orders/1', ['authorization: Bearer key-dyffryn'] * 2, 400),
    ('/open/1', ['godwitstall-deadline-ms: 5'] * 2, 400),
    ('/open/1', ['godwitstall-deadline-ms: -5'], 400),
    ('/open/1', ['godwitstall-attempts: 0'], 400),
    ('/open/1', ['godwitstall-attempts: 1e3'], 400),
    ('/open/1', ['godwitstall-priority: top'], 400),
    ('/open/1', ['godwitstall-operation: 7'], 400),
    ('/open/1', ['content-length: 1', 'transfer-encoding: chunked'], 400),
]


def test_unsafe_paths_and_headers(tmp_path: pathlib.Path) -> None:
    """Guards against requests that node and upstream parse differently."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, {'siop-1': 'siop'}) as (
            _,
            [node],
        ):
            host, port = link_module.split_address(node.options.caller_address)
            for target, lines, status in _UNSAFE_REQUESTS:
                reader, writer = await asyncio.open_connection(host, port)
                head = [f'GET {target} HTTP/1.1', 'host: x', *lines]
                head.append('connection: close')
                writer.write('\r\n'.join(head).encode() + b'\r\n\r\n')
                answer = await reader.read()
                writer.close()
                assert answer.startswith(b'HTTP/1.1 %d ' % status), (
                    target,
                    lines,
                    answer,
                )
            assert not node.upstream.runs

    asyncio.run(run())
