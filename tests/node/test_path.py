"""The request path of one node with a fake control and a fake upstream."""

import asyncio
import json
import pathlib

from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (1000, 500), 'bach': (1, 2)},
    [
        {'name': 'orders', 'path_prefix': '/orders', 'service': 'siop'},
        {
            'name': 'open',
            'path_prefix': '/open',
            'service': 'siop',
            'open': True,
        },
    ],
)


def test_whole_path(tmp_path: pathlib.Path) -> None:
    """Guards against failures of the basic request path and its refusals."""

    async def run() -> None:
        control = fakes.FakeControl()
        await control.start()
        control.apply_note(_NOTE)
        node = fakes.NodeHarness(tmp_path, control)
        await node.start()
        try:
            answer = await node.call('/orders/7?a=b', 'key-dyffryn')
            assert (answer.status, answer.body) == (200, b'/orders/7?a=b|')
            assert answer.headers['godwitstall-outcome'] == 'run'
            refused = await node.call('/orders/7', 'key-of-nobody')
            assert refused.status == 403
            assert json.loads(refused.body)['error'] == 'key_unknown'
            assert (await node.call('/open/x')).status == 200
            assert (await node.call('/nowhere')).status == 404
            statuses = [
                (await node.call('/orders/1', 'key-bach')).status
                for _ in range(4)
            ]
            assert statuses.count(429) >= 1
            received = node.upstream.runs[0].headers
            assert received['godwitstall-workspace'] == 'dyffryn'
            assert not [name for name in received if 'key' in name]
        finally:
            await node.stop()
            await control.stop()

    asyncio.run(run())
