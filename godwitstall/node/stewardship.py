"""Takes tokens from stewards while the ledger is out of reach.

A node without the ledger asks the steward of the workspace. That one takes
from the ledger when it has it, has another node take from it when it knows
one that has, and else spends from a bucket of its own. Without an answer of
the steward, a node spends its own small part of the rate.
"""

import asyncio
import contextlib
import random

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import forward
from godwitstall.rates import allowance as allowance_module
from godwitstall.rates import local_share
from godwitstall.rates import steward as steward_module
from godwitstall.routing import view as view_module

_TAKES = metrics.counter(
    'steward_takes_total', 'Tokens asked for without the ledger by outcome.'
)

# Time for the answer of a steward, and of a node that has the ledger, seconds.
_ASK_TIMEOUT_S = 0.4
_RELAY_TIMEOUT_S = 0.2

# Longest time to come back that is told, seconds.
_MAX_WAIT_S = 2.0


class Stewardship:
    """The way of one node to the stewards, and its own work as one."""

    def __init__(
        self,
        own_id: messages.NodeId,
        view: view_module.View,
        forwarder: forward.Forwarder,
        allowance: allowance_module.Allowance,
        share: local_share.LocalShare,
    ) -> None:
        self.own_id = own_id
        self.view = view
        self.forwarder = forwarder
        self.allowance = allowance
        self.share = share
        self.steward = steward_module.Steward()
        self.random = random.Random()
        # Looks whether others have the ledger.
        self.probing: asyncio.Task[None] | None = None

    def on_view_change(self) -> None:
        """Take over rates and members."""
        rates = {ws.name: ws.rate for ws in self.view.workspaces.values()}
        self.share.set_rates(rates, len(self.view.members))
        self.steward.set_rates(rates, self.view.members)

    async def take(self, workspace: str, deadline: float) -> None:
        """Take a token for a call of this node.

        Errors: RequestError with RATE_EXCEEDED.
        """
        steward_id = self.steward.steward_of(workspace)
        now = clock.now()
        if steward_id == self.own_id:
            reply = await self._take_as_steward(workspace)
        else:
            timeout_s = min(_ASK_TIMEOUT_S, deadline - now)
            found = await self._ask(steward_id, workspace, False, timeout_s)
            if found is None:
                self._take_own_part(workspace)
                return
            reply = found
        _TAKES.inc(outcome='taken' if reply.is_taken else 'refused')
        if not reply.is_taken:
            raise allowance_module.refusal(
                workspace, reply.retry_after_ms / 1000
            )

    async def on_take(self, message: messages.Take) -> messages.TakeReply:
        """Take a token for a call of another node."""
        reply = messages.TakeReply()
        if message.is_relayed or self.share.should_try_ledger(clock.now()):
            reply = await self._take_from_ledger(message.workspace)
        if message.workspace and not (reply.has_ledger or message.is_relayed):
            # The asking node has no ledger either.
            self.steward.on_ledger_status('', False, clock.now())
            reply = await self._take_as_steward(message.workspace)
        reply.call_id = message.call_id
        return reply

    def _take_own_part(self, workspace: str) -> None:
        now = clock.now()
        is_taken = self.share.try_take(workspace, now)
        _TAKES.inc(outcome='own part' if is_taken else 'own part refused')
        if not is_taken:
            rate = max(self.share.local_rate(workspace, now), 1 / _MAX_WAIT_S)
            raise allowance_module.refusal(workspace, 1 / rate)

    async def _take_from_ledger(self, workspace: str) -> messages.TakeReply:
        if not workspace:
            return messages.TakeReply(
                has_ledger=self.share.outage_began_at is None
            )
        end = clock.now() + _RELAY_TIMEOUT_S
        try:
            await self.allowance.take_from_ledger(workspace, end)
        except errors.RequestError as e:
            is_known = e.kind is errors.ErrorKind.RATE_EXCEEDED
            return messages.TakeReply(
                has_ledger=is_known, retry_after_ms=e.retry_after_ms
            )
        return messages.TakeReply(is_taken=True, has_ledger=True)

    async def _take_as_steward(self, workspace: str) -> messages.TakeReply:
        now = clock.now()
        self.steward.had_ledger_at = self.share.ledger_replied_at
        other = self.steward.node_with_ledger(now)
        if other:
            reply = await self._ask(other, workspace, True, _RELAY_TIMEOUT_S)
            if reply is not None and reply.has_ledger:
                return reply
            self.steward.ledger_node = ''
        if not self.steward.has_recent_status(now):
            self._probe()
        now = clock.now()
        if self.steward.try_take(workspace, now):
            return messages.TakeReply(is_taken=True)
        wait_s = min(self.steward.retry_after_s(workspace, now), _MAX_WAIT_S)
        return messages.TakeReply(retry_after_ms=max(int(wait_s * 1000), 1))

    def _probe(self) -> None:
        """Ask any other node whether it has the ledger."""
        others = [each for each in self.view.members if each != self.own_id]
        if not others or (self.probing and not self.probing.done()):
            return
        self.probing = asyncio.create_task(
            self._ask_only(self.random.choice(others))
        )

    async def _ask_only(self, node_id: str) -> None:
        await self._ask(node_id, '', False, _ASK_TIMEOUT_S)

    async def _ask(
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
