"""Planned stops of nodes that cannot record outcomes at control."""

import asyncio
import pathlib

import pytest

from tests import fakes
from tests.node import test_operations

_GRACE_S = 2.0


def test_unrecorded_outcome_does_not_hold_a_process_beyond_its_grace_time(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a stop that SIGKILL ends before its links are closed.

    An outcome waits to be recorded while control cannot be reached.
    """

    async def scenario() -> None:
        async with fakes.running(
            tmp_path,
            test_operations._NOTE,
            {'siop-1': 'siop'},
            stop_settle_s=0.1,
            stop_grace_s=_GRACE_S,
        ) as (control, [node]):
            node.upstream.respond = fakes.no_answer
            call = asyncio.create_task(
                test_operations._pay(node, test_operations._operation_id())
            )
            await fakes.until(lambda: bool(node.upstream.runs), 'run begun')
            await control.stop()
            call.cancel()
            claimer = node.node.claimer
            await fakes.until(lambda: bool(claimer.tasks), 'outcome pending')
            waits: list[tuple[float, bool]] = []

            async def drain(timeout_s: float) -> None:
                waits.append((timeout_s, node.node.peer_server.is_closed))

            monkeypatch.setattr(claimer, 'drain', drain)
            await node.node.stop()
            [(timeout_s, is_closed)] = waits
            assert timeout_s < _GRACE_S
            assert is_closed

    asyncio.run(scenario())
