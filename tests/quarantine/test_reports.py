"""Tests of crash reports against a model that lists all crashes."""

import typing

from hypothesis import stateful
from hypothesis import strategies as st

from godwitstall import codec
from godwitstall import messages
from godwitstall.quarantine import reports

_LIFETIME_MS = 1000
_FINGERPRINTS = [bytes([number]) * 32 for number in range(4)]


def _report(
    fingerprint: bytes, node: str, incarnation: int
) -> messages.ReportCrash:
    return messages.ReportCrash(
        fingerprint=fingerprint,
        node_id=messages.NodeId(node),
        upstream_incarnation=incarnation,
    )


class _ReportsAgainstModel(stateful.RuleBasedStateMachine):
    def __init__(self) -> None:
        super().__init__()
        self.table = reports.CrashReports(3, _LIFETIME_MS)
        self.now = 0
        # (fingerprint, upstream process, time) of the counted crashes.
        self.crashes: list[tuple[bytes, str, int]] = []

    def _remove(self, fingerprint: bytes) -> bool:
        old_count = len(self.crashes)
        self.crashes = [
            item for item in self.crashes if item[0] != fingerprint
        ]
        return len(self.crashes) < old_count

    @stateful.rule(step=st.sampled_from([1, 400, 1001]))
    def pass_time(self, step: int) -> None:
        self.now += step
        expired = [
            fingerprint
            for fingerprint in _FINGERPRINTS
            if any(f == fingerprint for f, _, _ in self.crashes)
            and max(time for f, _, time in self.crashes if f == fingerprint)
            + _LIFETIME_MS
            < self.now
        ]
        assert self.table.expire(self.now) == bool(expired)
        for fingerprint in expired:
            self._remove(fingerprint)

    @stateful.rule(
        fingerprint=st.sampled_from(_FINGERPRINTS),
        node=st.sampled_from(['n1', 'n2']),
        incarnation=st.integers(1, 2),
    )
    def report(self, fingerprint: bytes, node: str, incarnation: int) -> None:
        is_first = not any(
            (f, process) == (fingerprint, f'{node}/{incarnation}')
            for f, process, _ in self.crashes
        )
        result, is_changed = self.table.report(
            _report(fingerprint, node, incarnation), self.now
        )
        assert result.is_accepted and is_changed == is_first
        if is_first:
            self.crashes.append(
                (fingerprint, f'{node}/{incarnation}', self.now)
            )

    @stateful.rule(fingerprint=st.sampled_from(_FINGERPRINTS))
    def lift(self, fingerprint: bytes) -> None:
        result, is_changed = self.table.lift(messages.Lift(fingerprint, 'ann'))
        assert result.is_accepted == is_changed == self._remove(fingerprint)

    @stateful.rule()
    def move_to_other_replica(self) -> None:
        data = codec.encode(self.table.to_snapshot())
        self.table = reports.CrashReports(3, _LIFETIME_MS)
        self.table.restore(
            typing.cast(messages.QuarantineSnapshot, codec.decode(data))
        )

    @stateful.invariant()
    def check_records(self) -> None:
        expected = {}
        for fingerprint, _, time in self.crashes:
            count = sum(f == fingerprint for f, _, _ in self.crashes)
            expected[fingerprint] = (count, count >= 3, time)
        found = self.table.to_messages()
        assert {
            q.fingerprint: (q.reports, q.is_quarantined, q.last_time_ms)
            for q in found
        } == expected


TestReportsAgainstModel = _ReportsAgainstModel.TestCase


def test_expiry_after_a_second_report() -> None:
    """Guards against an expired record kept behind an older, renewed one."""
    table = reports.CrashReports(3, _LIFETIME_MS)
    table.report(_report(_FINGERPRINTS[0], 'n', 1), 0)
    table.report(_report(_FINGERPRINTS[1], 'n', 1), 1)
    table.report(_report(_FINGERPRINTS[0], 'n', 2), 900)
    assert table.expire(1002)
    assert list(table.records) == [_FINGERPRINTS[0]]


def test_bounds(monkeypatch: typing.Any) -> None:
    """Guards against a quarantine that ends because of many other reports."""
    monkeypatch.setattr(reports, 'MAX_RECORDS', 2)
    monkeypatch.setattr(reports, 'MAX_INCARNATIONS', 3)
    table = reports.CrashReports(3, _LIFETIME_MS)
    for number in range(5):
        table.report(_report(_FINGERPRINTS[0], 'n', number), 0)
    for fingerprint in _FINGERPRINTS[1:]:
        table.report(_report(fingerprint, 'n', 1), 0)
    assert list(table.records) == [_FINGERPRINTS[0], _FINGERPRINTS[3]]
    assert len(table.records[_FINGERPRINTS[0]].incarnations) == 3
    assert not table.report(_report(b'short', 'n', 1), 0)[0].is_accepted
