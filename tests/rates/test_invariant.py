"""Requirement R4: no window has more spends than burst + rate x window.

A state machine runs real allowances against real ledgers while messages are
late, doubled, reordered and lost, nodes join and die, leaders change and the
configuration changes. It keeps every spend and checks every window.
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
_MASKS = strategies.integers(1, 2**_NODES - 1)
_IS_SOAK = 'GODWITSTALL_SOAK' in os.environ

# Steps of a rush and how often each comes.
_STEPS = 'demand take ask wait arrive reply lose leader limit'.split()
_WEIGHTS = [16, 8, 6, 12, 24, 24, 2, 1, 0.5]

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
        self.spends: list[float] = []
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
        self._step()
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

    @stateful.rule(mask=_MASKS, is_sent=strategies.booleans())
    def hoard(self, mask: int, is_sent: bool) -> None:
        """Some nodes ask for many tokens; the replies stay under way.

        Requests that are not sent yet ask for one token: a late request does
        most harm when it adds little to what the ledger takes for spent.
        """
        for i in range(_NODES):
            if mask >> i & 1:
                self.call(i, 12 if is_sent else 1)
                self.ask(i)
                if is_sent and self.requests:
                    self.arrive(len(self.requests) - 1, i == 0)

    @stateful.rule(
        limit=strategies.sampled_from(_LIMITS),
        mask=_MASKS,
        is_sent=strategies.booleans(),
        middle=strategies.lists(
            strategies.sampled_from(
                ['again', 'leader + more', 'leader + more', 'limit']
                + ['late', 'answer', 0.45, 0.45, 0.95]
            ),
            max_size=5,
        ),
        other=strategies.sampled_from(_LIMITS),
    )
    def squeeze(
        self,
        limit: tuple[float, int],
        mask: int,
        is_sent: bool,
        middle: list[str | float],
        other: tuple[float, int],
    ) -> None:
        """Tokens are out, something happens, and all is spent at once.

        Drawn as one rule, because separate rules seldom come in this order.
        """
        self.change_limit(limit)
        self.wait(4.0)
        self.release()
        self.lose(2**_NODES - 1)
        self.wait(4.0)
        self.hoard(mask, is_sent)
        for place, step in enumerate(middle, 1):
            match step:
                case 'again':
                    self.lose(mask)
                    self.hoard(2**_NODES - 1, True)
                case 'leader + more':
                    # The next node asks, so that earlier tokens stay out.
                    self.change_leader(1)
                    self.wait(0.45)
                    self.hoard(1 << place % _NODES, True)
                case 'limit':
                    self.change_limit(other)
                case 'late' if self.requests:
                    self.arrive(0, False)
                case 'answer' if self.replies:
                    self.reply(0)
                case float():
                    self.wait(step)
        self.release()

    @stateful.rule()
    def release(self) -> None:
        """All that is under way arrives, and all nodes spend what they can.

        Tokens that were out are spent together with what the level gives.
        """
        for _ in range(4):
            while self.requests:
                self.arrive(0, False)
            while self.replies:
                self.reply(0)
            for i in range(_NODES):
                self.take_all(i)
                self.call(i, 12)
                self.ask(i)
            # A node that was refused does not ask again for 50 ms.
            self.wait(0.051)

    @stateful.rule(mask=_MASKS)
    def lose(self, mask: int) -> None:
        """Nodes wait no longer; request and reply may still arrive."""
        for i in range(_NODES):
            if mask >> i & 1:
                self.nodes[f'n{i}'].tokens.on_lost()

    def take_all(self, i: int) -> None:
        """A burst of calls that spends all that the node has."""
        node = self.nodes[f'n{i}']
        for _ in range(30):
            if not node.tokens.try_take(_NAME, self.now):
                break
            self._spent()

    def call(self, i: int, count: int) -> None:
        """Calls that wait for tokens."""
        node = self.nodes[f'n{i}']
        for _ in range(count):
            take = node.tokens.take(_NAME, self.now + 1e6)
            node.tasks.append(self.loop.create_task(take))
        self._step()

    @stateful.rule(i=strategies.integers(0, _NODES - 1))
    def give_up(self, i: int) -> None:
        for task in self.nodes[f'n{i}'].tasks[:2]:
            task.cancel()
        self._step()

    def ask(self, i: int) -> None:
        node = self.nodes[f'n{i}']
        wants = node.tokens.next_wants(self.now)
        if wants:
            self.requests.append(_Request(f'n{i}', node, self.now, wants))

    @stateful.rule(seed=strategies.integers(0, 2**32))
    def rush(self, seed: int) -> None:
        """Many steps of high demand with few faults.

        Single rules rarely bring a workspace to its bound, where a fault
        first shows.
        """
        rng = random.Random(seed)
        limit = rng.choice(_LIMITS)
        for _ in range(60):
            i = rng.randrange(_NODES)
            match rng.choices(_STEPS, _WEIGHTS)[0]:
                case 'demand':
                    self.call(i, rng.randint(1, 12))
                    self.ask(i)
                case 'take':
                    self.take_all(i)
                case 'ask':
                    self.ask(i)
                case 'wait':
                    self.wait(rng.choice([0.01, 0.05, 0.2, 0.45]))
                case 'arrive' if self.requests:
                    self.arrive(rng.randrange(9), rng.random() < 0.1)
                case 'reply' if self.replies:
                    self.reply(rng.randrange(9))
                case 'lose':
                    self.lose(1 << i)
                case 'leader':
                    self.change_leader(rng.randrange(3))
                case 'limit':
                    self.change_limit(limit)

    @stateful.precondition(lambda self: self.requests)
    @stateful.rule(k=strategies.integers(0, 9), is_kept=strategies.booleans())
    def arrive(self, k: int, is_kept: bool) -> None:
        """A request reaches the leader; a kept one comes again later."""
        k %= len(self.requests)
        request = self.requests[k]
        if not is_kept:
            self.requests.pop(k)
        grants = self.leader.grant(
            request.name, request.node.incarnation, request.wants, self.now
        )
        self.replies.append(dataclasses.replace(request, grants=grants))

    @stateful.precondition(lambda self: self.replies)
    @stateful.rule(k=strategies.integers(0, 9))
    def reply(self, k: int) -> None:
        reply = self.replies.pop(k % len(self.replies))
        assert reply.grants is not None
        reply.node.tokens.on_reply(
            reply.sent_at, reply.wants, reply.grants, self.now
        )
        self._step()

    @stateful.rule(i=strategies.integers(0, _NODES - 1))
    def restart(self, i: int) -> None:
        node = self.nodes[f'n{i}']
        for task in node.tasks:
            task.cancel()
        self._step()
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

    def _step(self) -> None:
        """Let the waiting calls run on, and count those that got a token."""
        for _ in range(3):
            self.loop.run_until_complete(asyncio.sleep(0))
        for node in self.nodes.values():
            done = [task for task in node.tasks if task.done()]
            node.tasks = [task for task in node.tasks if not task.done()]
            for task in done:
                if not task.cancelled() and task.exception() is None:
                    self._spent()

    def _spent(self) -> None:
        """Check every window that ends with this spend."""
        self.spends.append(self.now)
        count = 0
        for start in reversed(self.spends):
            count += 1
            bound = self._burst(start) + self._refill(start)
            assert count <= bound + 1e-6, (
                f'{count} spends from {start} to {self.now}, bound {bound}'
            )

    def _burst(self, start: float) -> int:
        """Return the largest burst whose tokens can be alive at start."""
        ends = [limit[0] for limit in self.limits[1:]] + [self.now + 1]
        return max(
            burst
            for (begin, _, burst), end in zip(self.limits, ends)
            if begin <= start and end >= start - _LIFETIME_S
        )

    def _refill(self, start: float) -> float:
        ends = [limit[0] for limit in self.limits[1:]] + [self.now]
        return sum(
            rate * max(min(end, self.now) - max(begin, start), 0.0)
            for (begin, rate, _), end in zip(self.limits, ends)
        )


RateMachine.TestCase.settings = hypothesis_settings(
    max_examples=2000 if _IS_SOAK else 120,
    stateful_step_count=30 if _IS_SOAK else 12,
    deadline=None,
    derandomize=True,
)
TestRateMachine = RateMachine.TestCase
