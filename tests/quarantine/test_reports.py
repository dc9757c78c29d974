"""Crash reports against a model that reads all reports again."""

import typing

from hypothesis import stateful
from hypothesis import strategies as st

from godwitstall import codec
from godwitstall import messages
from godwitstall.quarantine import reports

_LIFETIME = 1000
_PRINTS = [bytes([number]) * 32 for number in range(4)]


def _report(print_: bytes, node: str, number: int) -> messages.ReportCrash:
    return messages.ReportCrash(
        fingerprint=print_,
        node_id=messages.NodeId(node),
        upstream_incarnation=number,
    )


class _ReportsAgainstModel(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.reports = reports.CrashReports(3, _LIFETIME)
        self.now = 0
        # (fingerprint, upstream process, time) since the record's start.
        self.seen: list[tuple[bytes, str, int]] = []

    def _forget(self, print_: bytes) -> bool:
        before = len(self.seen)
        self.seen = [item for item in self.seen if item[0] != print_]
        return len(self.seen) < before

    @stateful.rule(step=st.sampled_from([1, 400, 1001]))
    def pass_time(self, step: int) -> None:
        self.now += step
        ended = [
            print_
            for print_ in _PRINTS
            if any(p == print_ for p, _, _ in self.seen)
            and max(time for p, _, time in self.seen if p == print_)
            + _LIFETIME
            < self.now
        ]
        assert self.reports.expire(self.now) == bool(ended)
        for print_ in ended:
            self._forget(print_)

    @stateful.rule(
        print_=st.sampled_from(_PRINTS),
        node=st.sampled_from(['n1', 'n2']),
        number=st.integers(1, 2),
    )
    def report(self, print_: bytes, node: str, number: int) -> None:
        is_new = not any(
            (p, process) == (print_, f'{node}/{number}')
            for p, process, _ in self.seen
        )
        result, is_changed = self.reports.report(
            _report(print_, node, number), self.now
        )
        assert result.is_accepted and is_changed == is_new
        if is_new:
            self.seen.append((print_, f'{node}/{number}', self.now))

    @stateful.rule(print_=st.sampled_from(_PRINTS))
    def lift(self, print_: bytes) -> None:
        result, is_changed = self.reports.lift(messages.Lift(print_, 'ann'))
        assert result.is_accepted == is_changed == self._forget(print_)

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        data = codec.encode(self.reports.to_snapshot())
        self.reports = reports.CrashReports(3, _LIFETIME)
        self.reports.restore(
            typing.cast(messages.QuarantineSnapshot, codec.decode(data))
        )

    @stateful.invariant()
    def same_records(self) -> None:
        expected = {}
        for print_, _, time in self.seen:
            count = sum(p == print_ for p, _, _ in self.seen)
            expected[print_] = (count, count >= 3, time)
        found = self.reports.to_messages()
        assert {
            q.fingerprint: (q.reports, q.is_quarantined, q.last_time_ms)
            for q in found
        } == expected


TestReportsAgainstModel = _ReportsAgainstModel.TestCase


def test_expiry_after_a_second_report() -> None:
    """Guards against a record that an older, renewed one keeps alive."""
    kept = reports.CrashReports(3, _LIFETIME)
    kept.report(_report(_PRINTS[0], 'n', 1), 0)
    kept.report(_report(_PRINTS[1], 'n', 1), 1)
    kept.report(_report(_PRINTS[0], 'n', 2), 900)
    assert kept.expire(1002)
    assert list(kept.records) == [_PRINTS[0]]


def test_bounds(monkeypatch: typing.Any) -> None:
    """Guards against a quarantine that many suspects push out."""
    monkeypatch.setattr(reports, 'MAX_RECORDS', 2)
    monkeypatch.setattr(reports, 'MAX_INCARNATIONS', 3)
    kept = reports.CrashReports(3, _LIFETIME)
    for number in range(5):
        kept.report(_report(_PRINTS[0], 'n', number), 0)
    for print_ in _PRINTS[1:]:
        kept.report(_report(print_, 'n', 1), 0)
    assert list(kept.records) == [_PRINTS[0], _PRINTS[3]]
    assert len(kept.records[_PRINTS[0]].incarnations) == 3
    assert not kept.report(_report(b'short', 'n', 1), 0)[0].is_accepted
