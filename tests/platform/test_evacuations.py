"""Evacuations by the operator's API of the platform."""

import asyncio
import pathlib

from adapter import control as control_adapter
import pytest

from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall import messages
from tests.control import harness
from tests import fakes


async def _call(api: control_adapter.OperatorApi, query: str) -> int:
    request = http_messages.Request(
        'POST', f'/-/rpc?call={query}', [], b'', 0.0
    )
    return (await api.serve(request)).status


def _apis(fleet: harness.Fleet) -> list[control_adapter.OperatorApi]:
    return [
        control_adapter.OperatorApi(process.service)
        for process in fleet.control.values()
    ]


def test_orders_at_any_process(tmp_path: pathlib.Path) -> None:
    """Guards against an order that is refused when it is sent again."""

    async def run() -> None:
        async with harness.running(tmp_path, zones=['sied wau']) as fleet:
            machines = [p.machine for p in fleet.control.values()]
            for order, expected in (
                ('begin', ['sied wau']),
                ('finish', []),
                ('begin', ['sied wau']),
            ):
                query = f'evacuations.{order}&of=sied%20wau'
                for api in _apis(fleet):
                    assert await _call(api, query) == 200
                await fakes.until(
                    lambda expected=expected: all(  # type: ignore[misc]
                        m.evacuations.active_zones() == expected
                        for m in machines
                    ),
                    'all replicas have applied the order',
                )

    asyncio.run(run())


@pytest.mark.parametrize('order', ['begin', 'finish'])
@pytest.mark.parametrize('of', ['', '&of=', '&of=nowhere'])
def test_zone_that_does_not_exist(
    tmp_path: pathlib.Path, order: str, of: str
) -> None:
    """Guards against an accepted order for a zone that does not exist."""

    async def run() -> None:
        async with harness.running(tmp_path) as fleet:
            api = _apis(fleet)[0]
            assert await _call(api, f'evacuations.{order}{of}') == 400

    asyncio.run(run())


def test_order_that_is_not_confirmed() -> None:
    """Guards against a refusal, or an ack, while control has no leader."""

    class Service:
        async def evacuate(
            self, zone: str, is_active: bool, operator: str
        ) -> messages.EvacuationResult:
            if zone == 'lost':
                raise errors.ControlError(errors.ErrorKind.CONTROL_LOST)
            return messages.EvacuationResult(
                messages.EvacuationVerdict.SUPERSEDED
            )

    api = control_adapter.OperatorApi(Service())  # type: ignore[arg-type]
    for zone in 'lost', 'raced':
        query = f'evacuations.begin&of={zone}'
        assert asyncio.run(_call(api, query)) == 503
