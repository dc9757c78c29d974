"""An acknowledged drain is known to control, and so outlives the node.

The pattern: an upstream reports that it drains, its node acknowledges this
and ends. The next process of the node gets a late announcement from before
the drain.
"""

import asyncio
import collections.abc
import contextlib
import pathlib

import pytest

from godwitstall import messages
from loadtool import addresses
from tests import fakes

_NODE = messages.NodeId('siop-1')
_DRAINING = messages.UpstreamState.DRAINING
_INCARNATION = 1

_NOTE = fakes.note(
    1, {}, [{'name': 'orders', 'path_prefix': '/orders', 'service': 'siop'}]
)

# Longer than the lease and the wait for the last request, seconds.
_IDLE_STOP_S = 3.0

_NO_CONTENT = 204
_UNAVAILABLE = 503


def _recorded_state(
    control: fakes.FakeControl,
) -> messages.UpstreamState | None:
    member = control.machine.members.members.get(_NODE)
    return member.state if member is not None else None


@contextlib.asynccontextmanager
async def _running(
    folder: pathlib.Path, is_stopping: bool = False
) -> collections.abc.AsyncGenerator[
    tuple[fakes.FakeControl, fakes.NodeHarness, asyncio.Task[None] | None],
    None,
]:
    """Run a node whose upstream no longer announces itself by itself.

    A node that is stopping has left the member list. The task of its stop is
    the third value.
    """
    async with fakes.running(folder, _NOTE, {_NODE: 'siop'}) as (
        control,
        [harness],
    ):
        harness.stop_announcing()
        if not is_stopping:
            yield control, harness, None
            return
        stop = asyncio.create_task(harness.node.stop())
        await fakes.until(
            lambda: _recorded_state(control) is None, 'node has left'
        )
        yield control, harness, stop
        await stop


async def _start_next_process(
    folder: pathlib.Path, control: fakes.FakeControl
) -> fakes.NodeHarness:
    """Start a node process that knows of its upstream by late announcements.

    It announces the same upstream process as before, which is ready.
    """
    harness = fakes.NodeHarness(folder, control)
    await harness.start()
    return harness


def test_drain_in_a_planned_stop_outlives_the_node(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a drain that is forgotten with a stopping node."""

    async def run() -> None:
        async with _running(tmp_path, is_stopping=True) as (
            control,
            harness,
            stop,
        ):
            answer = await harness.announce(state='draining')
            assert answer.status == _NO_CONTENT
            assert stop is not None
            await stop
            successor = await _start_next_process(tmp_path, control)
            assert _recorded_state(control) is _DRAINING
            await fakes.until(
                lambda: successor.node.upstream.state is _DRAINING,
                'drain adopted',
            )
            await successor.stop()

    asyncio.run(run())


@pytest.mark.parametrize('is_stopping', [False, True])
def test_drain_is_acknowledged_only_if_control_knows_it(
    tmp_path: pathlib.Path, is_stopping: bool
) -> None:
    """Guards against an acknowledged drain that is lost with its node.

    Control does not answer when the drain is reported.
    """

    async def run() -> None:
        async with _running(tmp_path, is_stopping) as (control, harness, _):
            control.is_ignoring_commands = True
            answer = await harness.announce(state='draining')
            assert answer.status == _UNAVAILABLE
            # The upstream gets no more calls although this is not confirmed.
            assert harness.node.upstream.state is _DRAINING
            control.is_ignoring_commands = False
            while answer.status == _UNAVAILABLE:
                answer = await harness.announce(state='draining')
            assert answer.status == _NO_CONTENT
            drains = control.machine.members.drained_upstreams
            assert (_NODE, _INCARNATION) in drains

    asyncio.run(run())


def test_stop_lasts_until_a_drain_is_recorded(tmp_path: pathlib.Path) -> None:
    """Guards against a node that ends with a drain that control answers late.

    Its upstream finds no process that could acknowledge the drain.
    """

    async def run() -> None:
        async with _running(tmp_path, is_stopping=True) as (
            control,
            harness,
            stop,
        ):
            assert stop is not None
            control.is_ignoring_commands = True
            answer = await harness.announce(state='draining')
            assert answer.status == _UNAVAILABLE
            # Longer than an idle node takes to stop.
            await asyncio.sleep(_IDLE_STOP_S)
            control.is_ignoring_commands = False
            await stop
            drains = control.machine.members.drained_upstreams
            assert (_NODE, _INCARNATION) in drains

    asyncio.run(run())


def test_acknowledged_drain_is_recorded_at_once(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a drain that is lost if the node is killed after it."""

    async def run() -> None:
        async with _running(tmp_path) as (control, harness, _):
            answer = await harness.announce(state='draining')
            assert answer.status == _NO_CONTENT
            assert _recorded_state(control) is _DRAINING

    asyncio.run(run())


def test_drain_of_a_stalled_upstream_is_recorded(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stall that hides the drain of an upstream."""

    async def run() -> None:
        async with _running(tmp_path) as (control, harness, _):
            harness.node.upstream._start_stall(1e9)
            answer = await harness.announce(state='draining')
            assert answer.status == _NO_CONTENT
            drains = control.machine.members.drained_upstreams
            assert (_NODE, _INCARNATION) in drains

    asyncio.run(run())


def test_leaving_notice_in_a_planned_stop_is_recorded(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a leave that is forgotten with a stopping node.

    The upstream says only in an answer to a call that it leaves.
    """

    async def run() -> None:
        async with _running(tmp_path, is_stopping=True) as (
            control,
            harness,
            _,
        ):
            harness.node.upstream.set_state(_DRAINING)
            drains = control.machine.members.drained_upstreams
            await fakes.until(
                lambda: (_NODE, _INCARNATION) in drains, 'drain recorded'
            )

    asyncio.run(run())


def test_node_without_control_does_not_acknowledge(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an acknowledgement by a node that reaches no control."""

    async def run() -> None:
        absent = {'c1': addresses.free_address()}
        harness = fakes.NodeHarness(tmp_path, absent)
        await harness.upstream.start()
        await harness.node.start()
        answer = await harness.announce(state='draining')
        assert answer.status == _UNAVAILABLE
        await harness.stop()

    asyncio.run(run())
