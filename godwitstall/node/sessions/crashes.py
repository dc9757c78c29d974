"""Detects upstream crashes behind lost connections.

If an upstream process has crashed, all requests that lost their connection to
the process are reported to control together. Control counts the reports of
the whole fleet by request fingerprint.
"""

import asyncio
import collections.abc

from godwitstall import errors
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node.sessions import control_session
from godwitstall.node.upstreams import upstream as upstream_module
from godwitstall.node.upstreams import upstream_client

_LOG = logs.get('crashes')
_CRASHES = metrics.counter(
    'upstream_crashes_total', 'Crashes of the own upstream.'
)

# Time to confirm a crash, seconds. A restart that takes longer is detected
# earlier by a refused connection.
CONFIRM_TIMEOUT_S = 3.0

# Time during which sending a report to control is retried, seconds.
REPORT_TIMEOUT_S = 30.0


class CrashDetector:
    """Collects the lost calls of an upstream process and reports its crash."""

    def __init__(
        self,
        node_id: messages.NodeId,
        upstream: upstream_module.Upstream,
        session: control_session.ControlSession,
    ) -> None:
        self.node_id = node_id
        self.upstream = upstream
        self.session = session
        # Lost calls by upstream incarnation, until the crash check is done.
        self.lost_calls: dict[int, list[messages.Call]] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def on_lost_connection(
        self,
        call: messages.Call,
        incarnation: int,
        client: upstream_client.UpstreamClient,
    ) -> None:
        """Record a call without a valid answer, and check for a crash."""
        if self.upstream.state is messages.UpstreamState.DRAINING:
            return
        calls = self.lost_calls.setdefault(incarnation, [])
        calls.append(call)
        if len(calls) == 1:
            self._spawn(self._check_crash(incarnation, client))

    def _spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _check_crash(
        self, incarnation: int, client: upstream_client.UpstreamClient
    ) -> None:
        has_crashed = await upstream_module.wait_for_exit(
            client,
            lambda: self.upstream.incarnation != incarnation,
            CONFIRM_TIMEOUT_S,
        )
        calls = self.lost_calls.pop(incarnation)
        if not has_crashed:
            return
        _CRASHES.inc()
        _LOG.warning(
            'Upstream incarnation %d crashed while running %d calls.',
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
            _LOG.warning('Failed to report a crash to control: %s', e)
