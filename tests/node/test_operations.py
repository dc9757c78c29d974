"""R7: a non-idempotent operation runs at most once."""

import asyncio
import collections

import pathlib
import typing
import uuid

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from godwitstall import clock
from godwitstall import messages
from godwitstall.node import control_session
from loadtool import http_client
from tests import fakes

_NOTE = fakes.note(
    1,
    {'dyffryn': (100_000, 50_000)},
    [
        {
            'name': 'pay',
            'path_prefix': '/pay',
            'service': 'siop',
            'attempts': 4,
            'priority': 'payment',
        }
    ],
)
_KEY = 'key-dyffryn'
_ONE = {'siop-1': 'siop'}
_TWO = {'siop-1': 'siop', 'siop-2': 'siop'}


def _operation(ahead_ms: int = 0) -> str:
    """Return a UUIDv7 of now."""
    stamp = clock.wall_ms() + ahead_ms
    value = (stamp << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = value & ~(0xF << 76) | (7 << 76)
    value = value & ~(0x3 << 62) | (2 << 62)
    return str(uuid.UUID(int=value))


async def _pay(
    node: fakes.NodeHarness,
    operation: str,
    body: bytes = b'7',
    deadline_ms: int = 5000,
    send: str = '',
) -> http_client.Response:
    headers = {'godwitstall-deadline-ms': str(deadline_ms), 'x-send': send}
    if operation:
        headers['godwitstall-operation'] = operation
    return await node.call('/pay', _KEY, 'POST', body, headers)


def _told(answer: http_client.Response) -> tuple[str, str]:
    return (
        answer.headers.get('godwitstall-error', 'none'),
        answer.headers['godwitstall-outcome'],
    )


def _runs(*nodes: fakes.NodeHarness) -> int:
    return sum(len(node.upstream.runs) for node in nodes)


def _only(
    control: fakes.FakeControl, *kinds: type[messages.Message]
) -> list[str]:
    """Return the names of the commands of some kinds, in order."""
    return [
        type(command).__name__
        for command in control.commands
        if isinstance(command, kinds)
    ]


_OPERATION_KINDS: tuple[typing.Any, ...] = (
    messages.Claim,
    messages.Complete,
    messages.Release,
)


def test_claim_comes_before_the_dispatch(tmp_path: pathlib.Path) -> None:
    """Guards against a run that no claim stands for."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE) as (control, [node]):
            seen: list[list[str]] = []

            async def respond(
                request: fakes.Received, writer: asyncio.StreamWriter
            ) -> None:
                seen.append(_only(control, *_OPERATION_KINDS))
                await fakes.echo(request, writer)

            node.upstream.respond = respond
            operation = _operation()
            answer = await _pay(node, operation)
            assert (answer.status, answer.body) == (200, b'/pay|7')
            assert seen == [['Claim']]
            assert _only(control, *_OPERATION_KINDS) == ['Claim', 'Complete']
            sent = node.upstream.runs[0].headers['godwitstall-operation']
            assert sent == operation
            # Without an id there is no record, and one dispatch.
            node.upstream.respond = fakes.sends(is_closing=True)
            lost = await _pay(node, '')
            assert _told(lost) == ('upstream_lost', 'unknown')
            assert _runs(node) == 2
            assert len(_only(control, *_OPERATION_KINDS)) == 2

    asyncio.run(run())


_BIG = b'x' * 9000

# Answer of the first send, then what a resend through another node is told.
_RESENDS: list[tuple[str, fakes.Respond, tuple[str, str], tuple[str, str]]] = [
    ('done', fakes.echo, ('none', 'run'), ('none', 'run')),
    (
        'larger than a record',
        fakes.sends(fakes.response(_BIG)),
        ('none', 'run'),
        ('operation_run', 'run'),
    ),
    (
        'lost answer',
        fakes.sends(is_closing=True),
        ('upstream_lost', 'unknown'),
        ('operation_unknown', 'unknown'),
    ),
    (
        'cut answer',
        fakes.sends(b'HTTP/1.1 200 X\r\ncontent-le', is_closing=True),
        ('answer_cut', 'unknown'),
        ('operation_unknown', 'unknown'),
    ),
    (
        'timeout',
        fakes.never,
        ('upstream_timeout', 'unknown'),
        ('operation_unknown', 'unknown'),
    ),
]


def test_resends(tmp_path: pathlib.Path) -> None:
    """Guards against a second run by a resend after each kind of answer."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO) as (control, nodes):
            for name, respond, first_told, resent_told in _RESENDS:
                for node in nodes:
                    node.upstream.respond = respond
                    node.upstream.runs.clear()
                operation = _operation()
                first = await _pay(nodes[0], operation, deadline_ms=600)
                assert _told(first) == first_told, name
                records = control.machine.operations
                await fakes.until(
                    lambda: (
                        records.lookup(operation)[0].state  # noqa: B023
                        is not messages.OperationState.CLAIMED
                    ),
                    'outcome recorded',
                )
                for node in nodes:
                    node.upstream.respond = fakes.echo
                for node in (nodes[1], nodes[0]):
                    resent = await _pay(node, operation)
                    assert _told(resent) == resent_told, (name, resent)
                    if resent_told[0] == 'none':
                        assert resent.body == first.body
                        assert resent.headers['godwitstall-replayed'] == '1'
                    else:
                        assert resent.status == 409, name
                other = await _pay(nodes[1], operation, b'8')
                assert _told(other) == ('operation_mismatch', 'not-run')
                assert other.status == 422
                assert _runs(*nodes) == 1, name

    asyncio.run(run())


def test_invalid_operation_ids(tmp_path: pathlib.Path) -> None:
    """Guards against a run for an id whose record may be gone."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE) as (_, [node]):
            cases = [
                (str(uuid.uuid4()), 400, 'operation_invalid'),
                ('seven', 400, 'operation_invalid'),
                (_operation(10 * 60_000), 400, 'operation_invalid'),
                (_operation(-25 * 3_600_000), 409, 'operation_expired'),
            ]
            for operation, status, kind in cases:
                answer = await _pay(node, operation)
                assert answer.status == status
                assert _told(answer) == (kind, 'not-run')
            assert not _runs(node)

    asyncio.run(run())


def test_resend_while_the_first_runs(tmp_path: pathlib.Path) -> None:
    """Guards against two runs side by side, and after the owner is lost."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO) as (control, nodes):
            for node in nodes:
                node.upstream.respond = fakes.never
            operation = _operation()
            first = asyncio.create_task(_pay(nodes[0], operation))
            await fakes.until(lambda: _runs(*nodes), 'it runs')
            for node in nodes:
                resent = await _pay(node, operation)
                assert _told(resent) == ('operation_running', 'unknown')
                assert int(resent.headers['retry-after']) >= 1
            owner = nodes[0] if nodes[0].upstream.runs else nodes[1]
            other = nodes[1] if owner is nodes[0] else nodes[0]
            # The owner is lost to control while the call runs.
            beat = messages.NodeBeat(
                owner.options.node_id, owner.node.session.incarnation
            )
            owner.node.membership.is_leaving = True
            control.apply(messages.Expire([beat]))
            resent = await _pay(other, operation)
            assert _told(resent) == ('operation_unknown', 'unknown')
            first.cancel()
            await asyncio.gather(first, return_exceptions=True)
            assert _runs(*nodes) == 1

    asyncio.run(run())


def test_resend_after_a_hang_up(tmp_path: pathlib.Path) -> None:
    """Guards against a second run after the caller of the first has gone."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO) as (control, nodes):
            # Through both nodes, so that the owner is the entry node or not.
            for count, entry in enumerate([*nodes, *nodes], 1):
                for node in nodes:
                    node.upstream.respond = fakes.never
                operation = _operation()
                first = asyncio.create_task(_pay(entry, operation))
                await fakes.until_equal(lambda: _runs(*nodes), count)
                first.cancel()
                await fakes.until(
                    lambda: not any(n.node.owner.active for n in nodes),
                    'the run was cancelled',
                )
                for node in nodes:
                    await node.node.claimer.drain(fakes.WAIT_S)
                    node.upstream.respond = fakes.echo
                for node in nodes:
                    resent = await _pay(node, operation)
                    assert _told(resent) == ('operation_unknown', 'unknown')
                assert _runs(*nodes) == count
            assert not _only(control, messages.Release)

    asyncio.run(run())


def test_lost_replies_of_control(tmp_path: pathlib.Path) -> None:
    """Guards against a run on a claim whose grant never arrived."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO) as (control, nodes):
            operation = _operation()
            control.is_losing_replies = True
            answer = await _pay(nodes[0], operation, deadline_ms=400)
            assert _told(answer) == ('control_lost', 'not-run')
            assert not _runs(*nodes)
            control.is_losing_replies = False
            # The release frees the operation for a resend.
            await fakes.until(
                lambda: 'Release' in _only(control, messages.Release),
                'released',
            )
            resent = await _pay(nodes[1], operation)
            assert _told(resent) == ('none', 'run')
            assert _runs(*nodes) == 1

    asyncio.run(run())


def test_deaf_control(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a run on a claim that arrives after it was given up."""
    monkeypatch.setattr(control_session, '_PROPOSE_TRY_S', 0.3)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _TWO) as (control, nodes):
            operation = _operation()
            control.is_deaf = True
            answer = await _pay(nodes[0], operation, deadline_ms=400)
            assert _told(answer) == ('control_lost', 'not-run')
            assert int(answer.headers['retry-after']) >= 1
            claims = [
                command
                for command in control.held
                if isinstance(command, messages.Claim)
            ]
            assert claims
            control.is_deaf = False
            await fakes.until(
                lambda: 'Release' in _only(control, messages.Release),
                'released',
            )
            # Late, twice, and after the release.
            for claim in claims * 2:
                control.apply(claim)
            assert not _runs(*nodes)
            resent = await _pay(nodes[1], operation)
            assert _told(resent) == ('none', 'run')
            for claim in claims:
                control.apply(claim)
            assert _runs(*nodes) == 1

    asyncio.run(run())


def test_claim_is_refused_long_before_the_deadline(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a refusal that is held back until the deadline (R12)."""

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE) as (control, [node]):
            waits: list[float] = []
            propose = node.node.session.propose

            async def watched(
                command: messages.Message, timeout_s: float
            ) -> messages.Message:
                if isinstance(command, messages.Claim):
                    waits.append(timeout_s)
                return await propose(command, timeout_s)

            monkeypatch.setattr(node.node.session, 'propose', watched)
            for deadline_ms in (400, 10_000):
                await _pay(node, _operation(), deadline_ms=deadline_ms)
            assert waits[0] <= 0.2
            assert waits[1] <= 2.0

    asyncio.run(run())


def test_retry_after_a_proved_not_run(tmp_path: pathlib.Path) -> None:
    """Guards against a retry that meets the claim of the first try."""

    async def run() -> None:
        async with fakes.running(
            tmp_path, _NOTE, _TWO, retry_min_per_s=100.0
        ) as (control, nodes):
            shed: list[str] = []

            def responder(node: fakes.NodeHarness) -> fakes.Respond:
                async def respond(
                    request: fakes.Received, writer: asyncio.StreamWriter
                ) -> None:
                    if not shed:
                        shed.append(node.options.node_id)
                        writer.write(fakes.SHED)
                        return
                    await fakes.echo(request, writer)

                return respond

            for node in nodes:
                node.upstream.respond = responder(node)
            answer = await _pay(nodes[0], _operation())
            assert _told(answer) == ('none', 'run')
            assert _only(control, *_OPERATION_KINDS) == [
                'Claim',
                'Release',
                'Claim',
                'Complete',
            ]
            # The second run is at the other owner; shedding was no run.
            assert [len(node.upstream.runs) for node in nodes] == [1, 1]

    asyncio.run(run())


@pytest.mark.parametrize('change', ['key withdrawn', 'draining'])
def test_change_while_claiming(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, change: str
) -> None:
    """Guards against a run that a change during the claim forbids."""
    monkeypatch.setattr(control_session, '_PROPOSE_TRY_S', 0.3)

    async def run() -> None:
        async with fakes.running(tmp_path, _NOTE, _ONE) as (control, [node]):
            control.is_deaf = True
            task = asyncio.create_task(_pay(node, _operation()))
            await fakes.until(lambda: control.held, 'claim on its way')
            if change == 'draining':
                node.stop_announcing()
                await node.announce(state='draining')
            else:
                control.apply_note(
                    'number = 2\n[withdrawn]\nkeys = ["dyffryn-1"]\n'
                )
            control.is_deaf = False
            answer = await task
            assert answer.headers['godwitstall-outcome'] == 'not-run'
            assert not _runs(node)
            assert 'Release' in _only(control, messages.Release)

    asyncio.run(run())


_SCRIPTS: dict[str, fakes.Respond] = {
    'echo': fakes.echo,
    'lost': fakes.sends(is_closing=True),
    'silent': fakes.never,
    'shed': fakes.sends(fakes.SHED),
    'big': fakes.sends(fakes.response(_BIG)),
}


class _Operations(stateful.RuleBasedStateMachine):
    """Resends of a few operations while replies, nodes and links are lost."""

    folder: pathlib.Path
    runner: asyncio.Runner
    control: fakes.FakeControl
    nodes: list[fakes.NodeHarness]

    def __init__(self) -> None:
        super().__init__()
        self.operations = [_operation() for _ in range(3)]
        # Runs by operation; shedding is no run.
        self.runs: collections.Counter[str] = collections.Counter()
        # The same by single sends, which are told apart by a header.
        self.runs_of_send: collections.Counter[str] = collections.Counter()
        self.tasks: list[tuple[str, asyncio.Task[http_client.Response]]] = []
        self.script = 'echo'
        for node in self.nodes:
            node.upstream.respond = self._respond

    async def _respond(
        self, request: fakes.Received, writer: asyncio.StreamWriter
    ) -> None:
        if self.script != 'shed':
            self.runs[request.headers['godwitstall-operation']] += 1
            self.runs_of_send[request.headers['x-send']] += 1
        await _SCRIPTS[self.script](request, writer)

    @stateful.rule(
        which=strategies.integers(0, 2),
        through=strategies.integers(0, 1),
        deadline_ms=strategies.sampled_from((30, 150)),
        is_waiting=strategies.booleans(),
    )
    def send(
        self, which: int, through: int, deadline_ms: int, is_waiting: bool
    ) -> None:
        """Send or resend an operation through one of the nodes."""
        operation = self.operations[which]

        async def start() -> None:
            task = asyncio.create_task(
                _pay(
                    self.nodes[through],
                    operation,
                    deadline_ms=deadline_ms,
                    send=str(len(self.tasks)),
                )
            )
            self.tasks.append((operation, task))
            if is_waiting:
                await asyncio.wait({task})
            else:
                await asyncio.sleep(0.01)

        self.runner.run(start())

    @stateful.rule(script=strategies.sampled_from(sorted(_SCRIPTS)))
    def change_script(self, script: str) -> None:
        """Let the upstreams answer in another way."""
        self.script = script

    @stateful.rule(
        is_losing=strategies.booleans(), is_deaf=strategies.booleans()
    )
    def change_control(self, is_losing: bool, is_deaf: bool) -> None:
        """Let control lose replies or commands."""
        self.control.is_losing_replies = is_losing
        self.control.is_deaf = is_deaf

    @stateful.rule()
    def deliver_late(self) -> None:
        """Apply the commands that were swallowed, late and out of order."""

        async def deliver() -> None:
            for command in reversed(self.control.held):
                if isinstance(command, _OPERATION_KINDS):
                    self.control.apply(command)
            self.control.held.clear()

        self.runner.run(deliver())

    @stateful.rule(which=strategies.integers(0, 1))
    def lose_node(self, which: int) -> None:
        """Control takes a node for dead and lets it join again."""
        node = self.nodes[which]

        async def lose() -> None:
            beat = messages.NodeBeat(
                node.options.node_id, node.node.session.incarnation
            )
            self.control.apply(messages.Expire([beat]))

        self.runner.run(lose())

    @stateful.rule(which=strategies.integers(0, 1))
    def cut_links(self, which: int) -> None:
        """Break the links between the nodes."""

        async def cut() -> None:
            for link in list(self.nodes[which].node.peers.links):
                link.writer.transport.abort()

        self.runner.run(cut())

    @stateful.rule(which=strategies.integers(1, 3))
    def hang_up(self, which: int) -> None:
        """One of the last callers hangs up."""
        if which <= len(self.tasks):

            async def cancel() -> None:
                self.tasks[-which][1].cancel()
                # Noticed by the node before the next step.
                await asyncio.sleep(0.03)

            self.runner.run(cancel())

    @stateful.invariant()
    def runs_at_most_once(self) -> None:
        """No operation runs twice."""
        assert not [n for n in self.runs.values() if n > 1], self.runs

    def teardown(self) -> None:
        """Compare what callers were told with the runs; clean up."""

        async def finish() -> None:
            self.control.is_losing_replies = self.control.is_deaf = False
            found = await asyncio.gather(
                *(task for _, task in self.tasks), return_exceptions=True
            )
            self.control.held.clear()
            for send, answer in enumerate(found):
                if isinstance(answer, asyncio.CancelledError):
                    continue
                assert isinstance(answer, http_client.Response), answer
                told = answer.headers['godwitstall-outcome']
                if told == 'run':
                    assert self.runs[self.tasks[send][0]] == 1, answer
                elif told == 'not-run':
                    assert not self.runs_of_send[str(send)], answer
            for node in self.nodes:
                await fakes.until(
                    lambda node=node: (
                        not (  # type: ignore
                            node.node.owner.slots.running
                            or node.node.owner.active
                        )
                    ),
                    'nothing is left behind',
                )

        self.runner.run(finish())
        assert not [n for n in self.runs.values() if n > 1], self.runs


def test_operations_run_at_most_once(tmp_path: pathlib.Path) -> None:
    """Guards against a second run in any order of losses and resends."""
    with asyncio.Runner() as runner:
        fleet = fakes.running(tmp_path, _NOTE, _TWO, retry_min_per_s=1000.0)
        control, nodes = runner.run(fleet.__aenter__())

        class Operations(_Operations):
            pass

        Operations.runner = runner
        Operations.control = control
        Operations.nodes = nodes
        try:
            stateful.run_state_machine_as_test(
                Operations,
                settings=hypothesis.settings(
                    hypothesis.settings(), stateful_step_count=12
                ),
            )
        finally:
            runner.run(fleet.__aexit__(None, None, None))
