"""Finds out whether a lost connection means that the upstream crashed.

All requests that were lost with one upstream process are reported together;
control counts the reports by fingerprint over the whole fleet.
"""

import asyncio
import collections.abc

from godwitstall import errors
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import control_session
from godwitstall.node import upstream as upstream_module
from godwitstall.node import upstream_client

_LOG = logs.get('crashes')
_CRASHES = metrics.counter(
    'upstream_crashes_total', 'Crashes of the own upstream.'
)

# A restart that takes longer is found by the refused connection before.
CONFIRM_S = 3.0

# Time to hand one report to control, seconds.
REPORT_TIMEOUT_S = 30.0


class CrashWatch:
    """Collects lost requests by upstream process and reports crashes."""

    def __init__(
        self,
        node_id: messages.NodeId,
        upstream: upstream_module.Upstream,
        session: control_session.ControlSession,
    ) -> None:
        self.node_id = node_id
        self.upstream = upstream
        self.session = session
        # Lost calls by incarnation, until the crash is confirmed or not.
        self.lost: dict[int, list[messages.Call]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def note(
        self,
        call: messages.Call,
        incarnation: int,
        client: upstream_client.UpstreamClient,
    ) -> None:
        """Note that a call lost its connection without an answer."""
        if self.upstream.state is messages.UpstreamState.DRAINING:
            return
        calls = self.lost.setdefault(incarnation, [])
        calls.append(call)
        if len(calls) == 1:
            self._spawn(self._confirm(incarnation, client))

    def _spawn(
        self, work: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _confirm(
        self, incarnation: int, client: upstream_client.UpstreamClient
    ) -> None:
        has_died = await upstream_module.wait_for_exit(
            client,
            lambda: self.upstream.incarnation != incarnation,
            CONFIRM_S,
        )
        calls = self.lost.pop(incarnation)
        if not has_died:
            return
        _CRASHES.inc()
        _LOG.warning(
            'Upstream incarnation %d crashed with %d calls running.',
            incarnation,
            len(calls),
        )
        self.upstream.mark_down(incarnation)
        for call in {call.fingerprint: call for call in calls}.values():
            await self._report(call, incarnation)

    async def _report(self, call: messages.Call, incarnation: int) -> None:
        command = messages.ReportCrash(
            call.fingerprint,
            call.workspace,
            call.route_name,
            self.node_id,
            incarnation,
        )
        try:
            await self.session.propose(command, REPORT_TIMEOUT_S)
        except errors.GodwitstallError as e:
            _LOG.warning('A crash report was lost: %s', e)
