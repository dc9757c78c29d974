"""Planned stops of node programs that are busy when their signal arrives."""

import asyncio
import collections.abc
import dataclasses
import os
import pathlib
import signal

from adapter import names
from adapter import programs
import pytest

from godwitstall import clock
from godwitstall import messages
from godwitstall.node import gateway_node
from godwitstall.node import planned_stop
from godwitstall.node import program as node_program
from godwitstall import settings
from godwitstall import signals
from loadtool import addresses

_TIMEOUT_S = 30.0

# Time for which the event loop is blocked when the signal arrives, seconds.
_BLOCKED_S = 0.5


def _fleet() -> settings.FleetOptions:
    return settings.FleetOptions(
        't', seeds=[addresses.free_address()], is_without_secret=True
    )


def _options() -> settings.NodeOptions:
    return settings.NodeOptions(
        node_id=messages.NodeId('n1'),
        zone='z1',
        region='r1',
        link_address=addresses.free_address(),
        caller_address=addresses.free_address(),
        upstream_address=addresses.free_address(),
        admin_address=addresses.free_address(),
        service=messages.ServiceName('s'),
        stop_settle_s=0.1,
        stop_grace_s=2.0,
    )


async def _run_node(options: settings.NodeOptions, _: pathlib.Path) -> None:
    await node_program.run(options, _fleet())


async def _run_gateway_node(
    options: settings.NodeOptions, settings_path: pathlib.Path
) -> None:
    fleet = _fleet()
    stop_requested = programs._install_signal_handlers(
        settings_path, settings.NodeOptions, fleet
    )
    await programs._run_node(fleet, options, stop_requested)


@pytest.mark.parametrize('run', [_run_node, _run_gateway_node])
def test_stop_of_a_busy_process_does_not_outlast_its_grace_time(
    tmp_path: pathlib.Path,
    monkeypatch: pytest.MonkeyPatch,
    run: collections.abc.Callable[
        [settings.NodeOptions, pathlib.Path],
        collections.abc.Coroutine[None, None, None],
    ],
) -> None:
    """Guards against a stop that is counted from a late event loop.

    The infrastructure counts the grace time from the signal. A process that
    counts it from later accepts requests that SIGKILL cuts.
    """
    ends: list[float] = []
    monkeypatch.setattr(
        planned_stop.PlannedStop, 'set_end', lambda _, end: ends.append(end)
    )
    options = _options()

    async def main() -> None:
        task = asyncio.create_task(run(options, tmp_path / 'settings.toml'))
        async with asyncio.timeout(_TIMEOUT_S):
            while signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
                assert not task.done()
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            os.kill(os.getpid(), signal.SIGTERM)
            blocked_until = clock.now() + _BLOCKED_S
            while clock.now() < blocked_until:
                pass
            await task
        assert ends[0] - options.planned_stop_s() < blocked_until

    asyncio.run(main())


def test_time_to_settle_is_counted_from_the_signal() -> None:
    """Guards against requests that are accepted too late in a stop.

    A request that comes after the settle time is accepted only if it can end
    before the stop does.
    """
    options = dataclasses.replace(
        _options(), stop_settle_s=1000.0, stop_grace_s=2000.0
    )

    async def main() -> None:
        node = gateway_node.GatewayNode.from_config(
            options, _fleet(), names.DIALECT
        )
        await node.start()
        node.stop_requested.requested_at = clock.now() - options.stop_settle_s
        async with asyncio.timeout(_TIMEOUT_S):
            await node.stop()

    asyncio.run(main())


def test_second_signal_does_not_extend_a_stop() -> None:
    """Guards against a stop that is counted from the last of its signals."""

    async def main() -> None:
        stop_requested = signals.stop_requested()
        os.kill(os.getpid(), signal.SIGTERM)
        requested_at = stop_requested.requested_at
        assert stop_requested.is_requested()
        await stop_requested.wait()
        os.kill(os.getpid(), signal.SIGINT)
        await asyncio.sleep(0.1)
        assert stop_requested.requested_at == requested_at

    asyncio.run(main())
