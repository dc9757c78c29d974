"""Takes rate tokens through stewards while the ledger is unreachable.

The steward of a workspace is the node that other nodes ask for tokens of the
workspace if they cannot reach the ledger. The steward takes a token from the
ledger if it can reach the ledger, else it relays the request to a node known
to reach the ledger, else it takes the token from a local bucket. If the
steward does not reply, the requesting node takes the token from its local
share of the rate.
"""

import asyncio
import contextlib
import random

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node.peers import forward
from godwitstall.rates import allowance as allowance_module
from godwitstall.rates import local_share
from godwitstall.rates import steward as steward_module
from godwitstall.routing import view as view_module

_TAKES = metrics.counter(
    'steward_takes_total', 'Tokens asked for without the ledger by outcome.'
)

# Timeouts of a request to a steward and of a relayed request, seconds.
_TAKE_TIMEOUT_S = 0.4
_RELAY_TIMEOUT_S = 0.2

# Longest retry-after time of a refusal, seconds.
_MAX_RETRY_AFTER_S = 2.0


class Stewardship:
    """Requests tokens from stewards and acts as a steward for other nodes."""

    def __init__(
        self,
        node_id: messages.NodeId,
        view: view_module.View,
        forwarder: forward.Forwarder,
        allowance: allowance_module.Allowance,
        share: local_share.LocalShare,
    ) -> None:
        self.node_id = node_id
        self.view = view
        self.forwarder = forwarder
        self.allowance = allowance
        self.share = share
        self.steward = steward_module.Steward()
        self.random = random.Random()
        # Asks another node whether it can reach the ledger.
        self.probe_task: asyncio.Task[None] | None = None

    def on_view_change(self) -> None:
        """Update rates and members from the view."""
        rates = {ws.name: ws.rate for ws in self.view.workspaces.values()}
        self.share.set_rates(rates, len(self.view.members))
        self.steward.set_rates(rates, self.view.members)

    async def take(self, workspace: str, deadline: float) -> None:
        """Take a token for a call of this node.

        Errors: RequestError of kind RATE_EXCEEDED if the token is refused.
        """
        steward_id = self.steward.steward_of(workspace)
        now = clock.now()
        if steward_id == self.node_id:
            reply = await self._take_as_steward(workspace)
        else:
            timeout_s = min(_TAKE_TIMEOUT_S, deadline - now)
            steward_reply = await self._send_take(
                steward_id, workspace, False, timeout_s
            )
            if steward_reply is None:
                self._take_local_share(workspace)
                return
            reply = steward_reply
        _TAKES.inc(outcome='taken' if reply.is_taken else 'refused')
        if not reply.is_taken:
            raise allowance_module.refusal(
                workspace, reply.retry_after_ms / 1000
            )

    async def on_take(self, message: messages.Take) -> messages.TakeReply:
        """Handle the token request of another node."""
        reply = messages.TakeReply()
        if message.is_relayed or self.share.should_try_ledger(clock.now()):
            reply = await self._take_from_ledger(message.workspace)
        if message.workspace and not (reply.has_ledger or message.is_relayed):
            # The requesting node cannot reach the ledger either.
            self.steward.on_ledger_status('', False, clock.now())
            reply = await self._take_as_steward(message.workspace)
        reply.call_id = message.call_id
        return reply

    def _take_local_share(self, workspace: str) -> None:
        now = clock.now()
        is_taken = self.share.try_take(workspace, now)
        _TAKES.inc(outcome='own part' if is_taken else 'own part refused')
        if not is_taken:
            rate = max(
                self.share.local_rate(workspace, now), 1 / _MAX_RETRY_AFTER_S
            )
            raise allowance_module.refusal(workspace, 1 / rate)

    async def _take_from_ledger(self, workspace: str) -> messages.TakeReply:
        if not workspace:
            return messages.TakeReply(
                has_ledger=self.share.outage_began_at is None
            )
        deadline = clock.now() + _RELAY_TIMEOUT_S
        try:
            await self.allowance.take_from_ledger(workspace, deadline)
        except errors.RequestError as e:
            has_ledger = e.kind is errors.ErrorKind.RATE_EXCEEDED
            return messages.TakeReply(
                has_ledger=has_ledger, retry_after_ms=e.retry_after_ms
            )
        return messages.TakeReply(is_taken=True, has_ledger=True)

    async def _take_as_steward(self, workspace: str) -> messages.TakeReply:
        now = clock.now()
        self.steward.had_ledger_at = self.share.ledger_replied_at
        ledger_node_id = self.steward.node_with_ledger(now)
        if ledger_node_id:
            reply = await self._send_take(
                ledger_node_id, workspace, True, _RELAY_TIMEOUT_S
            )
            if reply is not None and reply.has_ledger:
                return reply
            self.steward.ledger_node = ''
        if not self.steward.has_recent_status(now):
            self._start_probe()
        now = clock.now()
        if self.steward.try_take(workspace, now):
            return messages.TakeReply(is_taken=True)
        wait_s = min(
            self.steward.retry_after_s(workspace, now), _MAX_RETRY_AFTER_S
        )
        return messages.TakeReply(retry_after_ms=max(int(wait_s * 1000), 1))

    def _start_probe(self) -> None:
        """Start a task that asks a random node whether it has the ledger."""
        others = [each for each in self.view.members if each != self.node_id]
        if not others or (self.probe_task and not self.probe_task.done()):
            return
        self.probe_task = asyncio.create_task(
            self._probe_node(self.random.choice(others))
        )

    async def _probe_node(self, node_id: str) -> None:
        await self._send_take(node_id, '', False, _TAKE_TIMEOUT_S)

    async def _send_take(
        self,
        node_id: str,
        workspace: str,
        is_relayed: bool,
        timeout_s: float,
    ) -> messages.TakeReply | None:
        member = self.view.members.get(messages.NodeId(node_id))
        if member is None or timeout_s <= 0:
            return None
        request = messages.Take(
            workspace=messages.WorkspaceName(workspace), is_relayed=is_relayed
        )
        reply = None
        with contextlib.suppress(errors.RequestError):
            reply = await self.forwarder.take(
                member.address, request, timeout_s
            )
        if reply is not None:
            self.steward.on_ledger_status(
                node_id, reply.has_ledger, clock.now()
            )
        return reply
