"""Requirement R4: at most burst + rate x window spends in any window.

A state machine runs real allowances against real ledgers while messages are
delayed, duplicated, reordered and lost, nodes start and restart, the leader
changes and the configuration changes. It records every spend and checks every
window that ends with it.
"""

import asyncio
import dataclasses
import os
import random
from unittest import mock

from hypothesis import settings as hypothesis_settings
from hypothesis import stateful
from hypothesis import strategies

from godwitstall import clock
from godwitstall import messages
from godwitstall.rates import allowance
from godwitstall.rates import ledger

_LIFETIME_S = 1.0
_NAME = messages.WorkspaceName('w')
_NODES = 4
_NODE_MASKS = strategies.integers(1, 2**_NODES - 1)
_IS_SOAK = 'GODWITSTALL_SOAK' in os.environ

# Random steps and their weights.
_RANDOM_STEPS = (
    'demand take request wait deliver_request deliver_reply lose leader limit'
).split()
_STEP_WEIGHTS = [16, 8, 6, 12, 24, 24, 2, 1, 0.5]

# (rate, burst)
_LIMITS = [
    (0.5, 1),
    (20.0, 1),
    (5.0, 2),
    (1.0, 3),
    (4.0, 8),
    (20.0, 20),
    (3.0, 9),
    (0.0, 5),
]


@dataclasses.dataclass
class _Node:
    incarnation: int
    tokens: allowance.Allowance
    tasks: list[asyncio.Task[None]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class _Request:
    name: str
    node: _Node
    sent_at: float
    wants: list[messages.Want]
    grants: list[messages.Grant] | None = None


class RateMachine(stateful.RuleBasedStateMachine):
    """Nodes, ledgers, and the messages between them."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 10.0
        self.loop = asyncio.new_event_loop()
        self.patch = mock.patch.object(clock, 'now', lambda: self.now)
        self.patch.start()
        self.spend_times: list[float] = []
        # (start, rate, burst), oldest first.
        self.limits: list[tuple[float, float, int]] = []
        self.ledgers = [ledger.Ledger(_LIFETIME_S) for _ in range(3)]
        self.leader = self.ledgers[0]
        self.nodes: dict[str, _Node] = {}
        self.requests: list[_Request] = []
        self.replies: list[_Request] = []

    def teardown(self) -> None:
        for node in self.nodes.values():
            for task in node.tasks:
                task.cancel()
        self._run_tasks()
        self.loop.close()
        self.patch.stop()

    @stateful.initialize(
        limit=strategies.sampled_from(_LIMITS), is_new=strategies.booleans()
    )
    def begin(self, limit: tuple[float, int], is_new: bool) -> None:
        self.leader.start_term(0.0)
        self._configure(limit, {_NAME} if is_new else set())
        for i in range(_NODES):
            self._start(f'n{i}', 1)

    @stateful.rule(
        step=strategies.sampled_from([0.01, 0.2, 0.45, 0.6, 0.95, 4.0])
    )
    def wait(self, step: float) -> None:
        self.now += step

    @stateful.rule(node_mask=_NODE_MASKS, is_delivered=strategies.booleans())
    def request_many(self, node_mask: int, is_delivered: bool) -> None:
        """Some nodes request many tokens; the replies are not delivered yet.

        A request that is not delivered yet wants a single token: a delayed
        request does most harm when it adds little to the tokens that the
        ledger counts as spent.
        """
        for i in range(_NODES):
            if node_mask >> i & 1:
                self.start_calls(i, 12 if is_delivered else 1)
                self.send_request(i)
                if is_delivered and self.requests:
                    self.deliver_request(len(self.requests) - 1, i == 0)

    @stateful.rule(
        limit=strategies.sampled_from(_LIMITS),
        node_mask=_NODE_MASKS,
        is_delivered=strategies.booleans(),
        events=strategies.lists(
            strategies.sampled_from(
                ['repeat', 'leader_and_request', 'leader_and_request', 'limit']
                + ['deliver_request', 'deliver_reply', 0.45, 0.45, 0.95]
            ),
            max_size=5,
        ),
        next_limit=strategies.sampled_from(_LIMITS),
    )
    def spend_after_events(
        self,
        limit: tuple[float, int],
        node_mask: int,
        is_delivered: bool,
        events: list[str | float],
        next_limit: tuple[float, int],
    ) -> None:
        """Grant tokens, apply some events, then spend all tokens at once.

        This is a single rule because separate rules seldom run in this order.
        """
        self.change_limit(limit)
        self.wait(4.0)
        self.spend_everything()
        self.lose_replies(2**_NODES - 1)
        self.wait(4.0)
        self.request_many(node_mask, is_delivered)
        for index, step in enumerate(events, 1):
            match step:
                case 'repeat':
                    self.lose_replies(node_mask)
                    self.request_many(2**_NODES - 1, True)
                case 'leader_and_request':
                    # Another node sends a request, so that earlier tokens stay
                    # outstanding.
                    self.change_leader(1)
                    self.wait(0.45)
                    self.request_many(1 << index % _NODES, True)
                case 'limit':
                    self.change_limit(next_limit)
                case 'deliver_request' if self.requests:
                    self.deliver_request(0, False)
                case 'deliver_reply' if self.replies:
                    self.deliver_reply(0)
                case float():
                    self.wait(step)
        self.spend_everything()

    @stateful.rule()
    def spend_everything(self) -> None:
        """Deliver all messages and let all nodes spend as much as they can.

        Outstanding tokens are spent together with the tokens of the level.
        """
        for _ in range(4):
            while self.requests:
                self.deliver_request(0, False)
            while self.replies:
                self.deliver_reply(0)
            for i in range(_NODES):
                self.take_all(i)
                self.start_calls(i, 12)
                self.send_request(i)
            # After a rejection, a node sends no request for 50 ms.
            self.wait(0.051)

    @stateful.rule(node_mask=_NODE_MASKS)
    def lose_replies(self, node_mask: int) -> None:
        """Some nodes stop waiting; request and reply may still arrive."""
        for i in range(_NODES):
            if node_mask >> i & 1:
                self.nodes[f'n{i}'].tokens.on_lost()

    def take_all(self, i: int) -> None:
        """Start a burst of calls that spends all tokens of a node."""
        node = self.nodes[f'n{i}']
        for _ in range(30):
            if not node.tokens.try_take(_NAME, self.now):
                break
            self._record_spend()

    def start_calls(self, i: int, count: int) -> None:
        """Start calls that wait for tokens."""
        node = self.nodes[f'n{i}']
        for _ in range(count):
            take = node.tokens.take(_NAME, self.now + 1e6)
            node.tasks.append(self.loop.create_task(take))
        self._run_tasks()

    @stateful.rule(i=strategies.integers(0, _NODES - 1))
    def cancel_calls(self, i: int) -> None:
        for task in self.nodes[f'n{i}'].tasks[:2]:
            task.cancel()
        self._run_tasks()

    def send_request(self, i: int) -> None:
        node = self.nodes[f'n{i}']
        wants = node.tokens.next_wants(self.now)
        if wants:
            self.requests.append(_Request(f'n{i}', node, self.now, wants))

    @stateful.rule(seed=strategies.integers(0, 2**32))
    def run_random_steps(self, seed: int) -> None:
        """Run many random steps with high demand and few faults.

        Single rules rarely bring a workspace to its bound, where a fault first
        becomes visible.
        """
        rng = random.Random(seed)
        limit = rng.choice(_LIMITS)
        for _ in range(60):
            i = rng.randrange(_NODES)
            match rng.choices(_RANDOM_STEPS, _STEP_WEIGHTS)[0]:
                case 'demand':
                    self.start_calls(i, rng.randint(1, 12))
                    self.send_request(i)
                case 'take':
                    self.take_all(i)
                case 'request':
                    self.send_request(i)
                case 'wait':
                    self.wait(rng.choice([0.01, 0.05, 0.2, 0.45]))
                case 'deliver_request' if self.requests:
                    self.deliver_request(rng.randrange(9), rng.random() < 0.1)
                case 'deliver_reply' if self.replies:
                    self.deliver_reply(rng.randrange(9))
                case 'lose':
                    self.lose_replies(1 << i)
                case 'leader':
                    self.change_leader(rng.randrange(3))
                case 'limit':
                    self.change_limit(limit)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(
        k=strategies.integers(0, 9), is_duplicated=strategies.booleans()
    )
    def deliver_request(self, k: int, is_duplicated: bool) -> None:
        """Deliver a request; a duplicated one is delivered again later."""
        k %= len(self.requests)
        request = self.requests[k]
        if not is_duplicated:
            self.requests.pop(k)
        grants = self.leader.grant(
            request.name, request.node.incarnation, request.wants, self.now
        )
        self.replies.append(dataclasses.replace(request, grants=grants))

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(k=strategies.integers(0, 9))
    def deliver_reply(self, k: int) -> None:
        reply = self.replies.pop(k % len(self.replies))
        assert reply.grants is not None
        reply.node.tokens.on_reply(
            reply.sent_at, reply.wants, reply.grants, self.now
        )
        self._run_tasks()

    @stateful.rule(i=strategies.integers(0, _NODES - 1))
    def restart(self, i: int) -> None:
        node = self.nodes[f'n{i}']
        for task in node.tasks:
            task.cancel()
        self._run_tasks()
        self._start(f'n{i}', node.incarnation + 1)

    @stateful.rule(k=strategies.integers(0, 2))
    def change_leader(self, k: int) -> None:
        _, rate, burst = self.limits[-1]
        self.leader = self.ledgers[k]
        self.leader.start_term(self.now)
        self._apply(rate, burst, set())

    @stateful.rule(limit=strategies.sampled_from(_LIMITS))
    def change_limit(self, limit: tuple[float, int]) -> None:
        self._configure(limit, {_NAME})

    def _start(self, name: str, incarnation: int) -> None:
        self.nodes[name] = _Node(
            incarnation, allowance.Allowance(_LIFETIME_S, 1e6)
        )

    def _configure(self, limit: tuple[float, int], new: set[str]) -> None:
        self.limits.append((self.now, *limit))
        self._apply(*limit, new)

    def _apply(self, rate: float, burst: int, new: set[str]) -> None:
        workspace = messages.Workspace(_NAME, rate, burst)
        self.leader.set_workspaces([workspace], self.now, new)

    def _run_tasks(self) -> None:
        """Run the waiting calls, and record those that got a token."""
        for _ in range(3):
            self.loop.run_until_complete(asyncio.sleep(0))
        for node in self.nodes.values():
            done = [task for task in node.tasks if task.done()]
            node.tasks = [task for task in node.tasks if not task.done()]
            for task in done:
                if not task.cancelled() and task.exception() is None:
                    self._record_spend()

    def _record_spend(self) -> None:
        """Record a spend and check every window that ends with it."""
        self.spend_times.append(self.now)
        count = 0
        for start in reversed(self.spend_times):
            count += 1
            bound = self._burst(start) + self._refill(start)
            assert count <= bound + 1e-6, (
                f'{count} spends from {start} to {self.now}, bound {bound}'
            )

    def _burst(self, start: float) -> int:
        """Return the largest burst whose tokens can be unexpired at start."""
        end_times = [limit[0] for limit in self.limits[1:]] + [self.now + 1]
        return max(
            burst
            for (begin, _, burst), end in zip(self.limits, end_times)
            if begin <= start and end >= start - _LIFETIME_S
        )

    def _refill(self, start: float) -> float:
        end_times = [limit[0] for limit in self.limits[1:]] + [self.now]
        return sum(
            rate * max(min(end, self.now) - max(begin, start), 0.0)
            for (begin, rate, _), end in zip(self.limits, end_times)
        )


RateMachine.TestCase.settings = hypothesis_settings(
    max_examples=2000 if _IS_SOAK else 120,
    stateful_step_count=30 if _IS_SOAK else 12,
    deadline=None,
    derandomize=True,
)
TestRateMachine = RateMachine.TestCase
