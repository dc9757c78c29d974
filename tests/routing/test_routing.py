"""Route table, view and picker: comparison with simple models."""

import os
import random
import typing

import hypothesis
from hypothesis import strategies
import pytest

from godwitstall import messages
from godwitstall.routing import member_load
from godwitstall.routing import picker
from godwitstall.routing import table
from godwitstall.routing import view

_EXAMPLES = 5000 if 'GODWITSTALL_SOAK' in os.environ else 300
_SERVICE = messages.ServiceName('siop')
_SEGMENTS = strategies.sampled_from(['a', 'b', 'aa', 'pay'])
_PATHS = strategies.lists(_SEGMENTS, max_size=5).map(
    lambda parts: '/' + '/'.join(parts)
)
_METHODS = ['GET', 'POST', 'PUT']


def _naive_match(
    routes: list[messages.Route], method: str, path: str
) -> messages.Route | None:
    """Match a path by scanning all routes."""
    parts = [part for part in path.split('/') if part]
    best: list[messages.Route] = []
    depth = -1
    for route in routes:
        prefix = [part for part in route.path_prefix.split('/') if part]
        if parts[: len(prefix)] != prefix or len(prefix) < depth:
            continue
        if len(prefix) > depth:
            depth, best = len(prefix), []
        best.append(route)
    for route in best:
        if method in route.methods:
            return route
    return next((route for route in best if not route.methods), None)


@hypothesis.settings(max_examples=_EXAMPLES, derandomize=True)
@hypothesis.given(
    prefixes=strategies.lists(
        strategies.tuples(
            _PATHS,
            strategies.lists(strategies.sampled_from(_METHODS), unique=True),
        ),
        max_size=12,
    ),
    paths=strategies.lists(_PATHS, min_size=1, max_size=10),
    method=strategies.sampled_from(_METHODS),
    slash=strategies.sampled_from(['', '/']),
)
def test_match_against_scan(
    prefixes: list[tuple[str, list[str]]],
    paths: list[str],
    method: str,
    slash: str,
) -> None:
    """Guards against '/a' matching '/aa' and a wrong route precedence."""
    routes = [
        messages.Route(str(i), prefix, methods)
        for i, (prefix, methods) in enumerate(prefixes)
    ]
    compiled = table.RouteTable(routes)
    for path in paths:
        path = path if path == '/' else path + slash
        assert compiled.match(method, path) is _naive_match(
            routes, method, path
        )


@pytest.mark.parametrize(
    'path,name',
    [
        ('/pay/1', 'pay'),
        ('/p%61y/1', 'pay'),
        ('/open/.well', 'open'),
        ('/open/%2e%2e/pay', None),
        ('/open/../pay', None),
        ('/open/./x', None),
        ('/open%2fpay', None),
        ('//pay', None),
        ('/open\\..\\pay', None),
        ('/open/%5c', None),
        ('pay', None),
        ('', None),
        ('/' + 'x/' * 9000, 'open'),
    ],
)
def test_ambiguous_paths(path: str, name: str | None) -> None:
    """Guards against a guarded path reached by an open route (R3)."""
    compiled = table.RouteTable(
        [messages.Route('pay', '/pay'), messages.Route('open', '/')]
    )
    route = compiled.match('GET', path)
    assert (route.name if route else None) == name


def test_method_has_no_shorter_fallback() -> None:
    """Guards against GET /pay matching the open route '/'."""
    compiled = table.RouteTable(
        [messages.Route('pay', '/pay', ['POST']), messages.Route('o', '/')]
    )
    assert compiled.match('GET', '/pay') is None


def _member(
    name: str, zone: str = 'z1', state: str = 'READY', is_drained: bool = False
) -> messages.Member:
    return messages.Member(
        messages.NodeId(name),
        service=_SERVICE,
        zone=zone,
        state=messages.UpstreamState.__members__[state],
        is_drained=is_drained,
        slots=10,
    )


def _update(index: int, **fields: typing.Any) -> messages.StateUpdate:
    return messages.StateUpdate(index=index, **fields)


def test_view_never_goes_back() -> None:
    """Guards against updates of a replica that is behind (R10)."""
    state = view.View()
    applied_indices: list[int] = []
    state.on_change.append(lambda: applied_indices.append(state.index))
    assert not state.apply(_update(9, members=[_member('n1')]))
    configuration = messages.Configuration(
        number=2,
        keys=[messages.Key(messages.KeyId('k'), digest='d')],
        workspaces=[messages.Workspace('w', 1.0, 1)],
        upstreams=[messages.UpstreamRule('n2', is_withdrawn=True)],
    )
    assert state.apply(
        _update(
            5,
            is_full=True,
            has_configuration=True,
            configuration=configuration,
            members=[_member('n1'), _member('n2')],
        )
    )
    assert state.key_by_digest('d') is state.key_by_id(messages.KeyId('k'))
    assert state.upstream_rule(messages.NodeId('n2')) is not None
    assert not state.apply(_update(4, is_full=True))
    quarantines = [
        messages.Quarantine(b'q', is_quarantined=True),
        messages.Quarantine(b's'),
    ]
    assert state.apply(
        _update(
            6,
            removed_members=['n1'],
            has_quarantines=True,
            quarantines=quarantines,
        )
    )
    assert state.number == 2 and 'w' in state.workspaces
    assert [m.node_id for m in state.members_of(_SERVICE)] == ['n2']
    assert state.is_quarantined(b'q') and not state.is_suspect(b'q')
    assert state.is_suspect(b's') and not state.is_quarantined(b's')
    assert applied_indices == [5, 6]


def _picker(
    members: list[messages.Member], withdrawn: list[str], seed: int = 1
) -> picker.Picker:
    state = view.View()
    chooser = picker.Picker(state, 'z1', random.Random(seed))
    rules = [
        messages.UpstreamRule(name, is_withdrawn=True) for name in withdrawn
    ]
    state.apply(
        _update(
            1,
            is_full=True,
            members=members,
            has_configuration=True,
            configuration=messages.Configuration(upstreams=rules),
        )
    )
    return chooser


def _naive_choices(
    usable: list[tuple[messages.Member, float, float]], now: float
) -> set[str]:
    """Return the ids that two random choices in each zone can yield.

    usable has (member, score, end of avoidance) of each eligible member.
    """
    free = [entry for entry in usable if entry[2] <= now]
    if not free:
        first = min((entry[2] for entry in usable), default=0.0)
        return {
            m.node_id
            for m, _, avoided_until in usable
            if avoided_until == first
        }
    winners = []
    for is_local in (True, False):
        zone = [e for e in free if (e[0].zone == 'z1') == is_local]
        pairs = [(a, b) for a in zone for b in zone if a is not b]
        pairs = pairs or [(a, a) for a in zone]
        winners.append(
            [e for a, b in pairs for e in (a, b) if e[1] <= min(a[1], b[1])]
        )
    local, remote = winners
    if not local or not remote:
        return {e[0].node_id for e in local + remote}
    return {
        (
            a
            if a[1] <= picker.ZONE_FULL_LOAD
            or a[1] - b[1] <= picker.ZONE_LOAD_MARGIN
            else b
        )[0].node_id
        for a in local
        for b in remote
    }


@hypothesis.settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)
@hypothesis.given(
    members=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['z1', 'z2', 'z3']),
            strategies.sampled_from(['READY', 'READY', 'DRAINING', 'DOWN']),
            strategies.booleans(),
        ),
        max_size=6,
    ),
    events=strategies.lists(
        strategies.tuples(
            strategies.integers(0, 5),
            strategies.sampled_from(
                ['send', 'send', 'good', 'fail', 'silent']
            ),
            strategies.integers(0, 12),
            strategies.sampled_from([0.0, 0.1, 0.3, 1.5]),
        ),
        max_size=20,
    ),
    excluded=strategies.sets(strategies.integers(0, 5), max_size=3),
    withdrawn=strategies.sets(strategies.integers(0, 5), max_size=1),
    seed=strategies.integers(0, 99),
)
def test_pick_against_model(
    members: list[tuple[str, str, bool]],
    events: list[tuple[int, str, int, float]],
    excluded: set[int],
    withdrawn: set[int],
    seed: int,
) -> None:
    """Guards against work for a drained, withdrawn or failed owner."""
    owners = [
        _member(f'n{i}', zone, state, is_drained and i % 2 == 0)
        for i, (zone, state, is_drained) in enumerate(members)
    ]
    chooser = _picker(owners, [f'n{i}' for i in withdrawn], seed)
    outstanding = dict.fromkeys(range(6), 0)
    reports: dict[int, tuple[int, float]] = {}
    failures = dict.fromkeys(range(6), 0)
    avoided_until = dict.fromkeys(range(6), float('-inf'))
    now = 0.0
    for i, event, load, elapsed_s in events:
        now += elapsed_s
        node_id = messages.NodeId(f'n{i}')
        if i >= len(owners):
            continue
        if event == 'send':
            chooser.on_dispatch(node_id, 0.0)
            outstanding[i] += 1
            continue
        report = messages.LoadReport(load // 2, load - load // 2, 10)
        is_failed = event == 'fail'
        chooser.on_answer(
            node_id, report if event == 'good' else None, is_failed, now
        )
        outstanding[i] = max(outstanding[i] - 1, 0)
        if event == 'silent':
            # A call that the caller gave up carries no information on the
            # owner.
            continue
        if event == 'good':
            reports[i] = (load, now)
            failures[i] = 0
            avoided_until[i] = float('-inf')
        elif now >= avoided_until[i]:
            failures[i] += 1
            avoided_until[i] = now + min(0.2 * 2 ** (failures[i] - 1), 5.0)
    usable = []
    for i, member in enumerate(owners):
        load, reported_at = reports.get(i, (0, now))
        weight = max(
            1 - (now - reported_at) / member_load.REPORT_LIFETIME_S, 0
        )
        score = (outstanding[i] + load * weight) / 10
        is_usable = (
            member.state is messages.UpstreamState.READY
            and not member.is_drained
            and i not in excluded | withdrawn
        )
        if is_usable:
            usable.append((member, score, avoided_until[i]))
    choices = _naive_choices(usable, now)
    excluded_ids = {messages.NodeId(f'n{i}') for i in excluded}
    for _ in range(5):
        chosen = chooser.pick(_SERVICE, excluded_ids, now)
        if chosen is None:
            assert not choices
        else:
            assert chosen.node_id in choices


def test_call_that_was_given_up_keeps_an_owner_avoided() -> None:
    """Guards against selecting a failed owner again after a timeout."""
    broken, good = _member('n1', 'z1', 'READY'), _member('n2', 'z1', 'READY')
    chooser = _picker([broken, good], [])
    chooser.on_dispatch(broken.node_id, 0.0)
    chooser.on_dispatch(broken.node_id, 0.0)
    chooser.on_answer(broken.node_id, None, True, 0.0)
    chooser.on_answer(broken.node_id, None, False, 0.05)
    for _ in range(20):
        assert chooser.pick(_SERVICE, set(), 0.1) is good


def _picker_with_loads(local: int, remote: int) -> picker.Picker:
    """Return a picker with a reported load for one member in each zone."""
    chooser = _picker([_member('n1', 'z1'), _member('n2', 'z2')], [])
    for name, load in (('n1', local), ('n2', remote)):
        node_id = messages.NodeId(name)
        chooser.on_answer(
            node_id, messages.LoadReport(0, load, 10), False, 0.0
        )
    return chooser


@pytest.mark.parametrize(
    'local,remote,expected',
    [(4, 0, 'n1'), (7, 1, 'n1'), (9, 0, 'n1'), (10, 1, 'n2'), (10, 9, 'n1')],
)
def test_half_busy_service_keeps_its_zone(
    local: int, remote: int, expected: str
) -> None:
    """Guards against traffic between zones that speeds up no call.

    Load pattern: members of different speed, so that the slower member of a
    zone is two thirds busy while another zone is nearly idle.
    """
    chooser = _picker_with_loads(local, remote)
    for _ in range(20):
        chosen = chooser.pick(_SERVICE, set(), 0.0)
        assert chosen is not None and chosen.node_id == expected


def test_failing_member_with_capacity_is_not_selected() -> None:
    """Guards against a local member that fails calls and so is never full.

    Load pattern: an upstream answers a third of its calls with an immediate
    error.
    """
    chooser = _picker_with_loads(local=1, remote=0)
    for i in range(60):
        chooser.on_outcome(messages.NodeId('n1'), i % 3 == 0, 0.0)
    chosen = chooser.pick(_SERVICE, set(), 0.0)
    assert chosen is not None and chosen.node_id == 'n2'


def test_other_zones_are_not_compared_while_the_local_zone_has_capacity(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against comparing members of other zones without need.

    Load pattern: a member of the own zone has capacity, as is usual.
    """
    chooser = picker.Picker(view.View(), 'own', random.Random(7))
    remote = [
        messages.Member(
            node_id=messages.NodeId(f'remote-{number}'),
            service=_SERVICE,
            zone='other',
        )
        for number in range(9)
    ]
    local = messages.Member(
        node_id=messages.NodeId('local'),
        service=_SERVICE,
        zone='own',
    )
    candidate_counts: list[int] = []
    best_of_two = chooser._best_of_two

    def count_candidates(
        members: list[messages.Member], *rest: typing.Any
    ) -> typing.Any:
        candidate_counts.append(len(members))
        return best_of_two(members, *rest)

    chooser._candidate_cache[_SERVICE] = [local], remote
    monkeypatch.setattr(chooser, '_best_of_two', count_candidates)
    assert chooser.pick(_SERVICE, set(), 1.0) is local
    assert candidate_counts == [1]
    assert chooser.pick(_SERVICE, {local.node_id}, 1.0) in remote


def _limited_picker() -> picker.Picker:
    """Return a picker whose only known member names a limit of 2/s."""
    chooser = _picker([_member('n1', 'z1'), _member('n2', 'z1')], [])
    report = messages.LoadReport(
        0, 0, 10, messages.UpstreamState.READY, 1, rate_limit=2.0
    )
    chooser.on_dispatch(messages.NodeId('n1'), 0.0)
    chooser.on_answer(messages.NodeId('n1'), report, False, 0.0)
    chooser.on_dispatch(messages.NodeId('n1'), 1.0)
    chooser.on_answer(messages.NodeId('n1'), report, False, 1.05)
    return chooser


def test_limited_member_gets_no_more_than_a_share() -> None:
    """Guards against nodes that all press on an upstream with a limit."""
    chooser = _limited_picker()
    # The limit is shared by two nodes, so the next call may follow after 1 s.
    for _ in range(20):
        chosen = chooser.pick(_SERVICE, set(), 1.9)
        assert chosen is not None and chosen.node_id == 'n2'
    picked = [chooser.pick(_SERVICE, set(), 2.1) for _ in range(50)]
    assert {m.node_id for m in picked if m is not None} == {'n1', 'n2'}


def test_limited_member_is_picked_if_there_is_no_other() -> None:
    """Guards against a refusal by a node while its owner may have room."""
    chooser = _limited_picker()
    excluded = {messages.NodeId('n2')}
    chosen = chooser.pick(_SERVICE, excluded, 1.1)
    assert chosen is not None and chosen.node_id == 'n1'
    assert chooser.pick(_SERVICE, excluded, 1.1, must_be_usable=True) is None


def test_refusals_lengthen_the_interval_between_calls() -> None:
    """Guards against nodes that repeat calls that a limit refuses."""
    chooser = _limited_picker()
    node_id = messages.NodeId('n1')
    report = messages.LoadReport(
        0, 5, 1, messages.UpstreamState.READY, 1, rate_limit=2.0
    )
    for _ in range(9):
        chooser.on_answer(node_id, report, False, 1.0, is_overloaded=True)
    chooser.on_dispatch(node_id, 1.0)
    just_before = 1.0 + member_load.MAX_CALL_INTERVAL_S - 0.1
    for _ in range(20):
        chosen = chooser.pick(_SERVICE, set(), just_before)
        assert chosen is not None and chosen.node_id == 'n2'
