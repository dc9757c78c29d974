"""Replicated configuration: the notes accepted so far and their result.

The number of a note decides between operators who race: the first note in
the log with the next number wins, the other one learns who took it.
"""

from godwitstall.configuration import note as notes
from godwitstall import messages

# Digests kept to recognise a resend; 360 notes a day make 11 days.
KEPT_NOTES = 4096

_Verdict = messages.NoteVerdict


class ConfigurationState:
    """Configuration in force and the record of accepted notes."""

    def __init__(self) -> None:
        # Configuration in force; replaced as a whole, never modified.
        self.configuration = messages.Configuration()
        # The last accepted notes by number, oldest first.
        self.notes: dict[int, messages.AcceptedNote] = {}
        # Text of the last whole configuration; empty after a release note.
        self.document = b''

    def execute(
        self,
        command: messages.ApplyNote | messages.ReplaceConfiguration,
        index: int,
        time_ms: int,
    ) -> messages.NoteResult:
        """Apply one of the two commands that change the configuration."""
        match command:
            case messages.ApplyNote():
                return self.apply(command, index, time_ms)
            case messages.ReplaceConfiguration():
                return self.replace(command, index, time_ms)

    def replace(
        self, command: messages.ReplaceConfiguration, index: int, time_ms: int
    ) -> messages.NoteResult:
        """Put a whole configuration in force, or say why not.

        A resend of one that was accepted is told so, also when others have
        followed it. Of two that build on the same one, the first in the log
        wins.
        """
        current = self.configuration.number
        accepted = self.notes.get(command.number)
        if accepted is not None and accepted.digest == command.digest:
            return _result(_Verdict.ALREADY_IN_FORCE, accepted)
        if command.base != current:
            return _refused_replacement(
                command,
                _Verdict.BASE_CHANGED,
                f'Number {current} is in force, not {command.base}.',
            )
        if command.number <= current:
            return _refused_replacement(
                command,
                _Verdict.INVALID,
                f'number: must be above {current}, not {command.number}',
            )
        command.configuration.index = index
        command.configuration.number = command.number
        self.configuration = command.configuration
        self.document = command.document
        self._accept(command.number, command.digest, command.operator, time_ms)
        return _result(_Verdict.ACCEPTED, self.notes[command.number])

    def _accept(
        self, number: int, digest: str, operator: str, time_ms: int
    ) -> None:
        self.notes[number] = messages.AcceptedNote(
            number=number, digest=digest, operator=operator, time_ms=time_ms
        )
        if len(self.notes) > KEPT_NOTES:
            del self.notes[next(iter(self.notes))]

    def apply(
        self, command: messages.ApplyNote, index: int, time_ms: int
    ) -> messages.NoteResult:
        """Put a note in force, or say why not and change nothing."""
        current = self.configuration.number
        number = command.number
        try:
            text = command.changes.decode('utf-8')
        except UnicodeDecodeError as e:
            return _refusal(command, _Verdict.INVALID, f'note: no UTF-8: {e}')
        digest = notes.digest_of(text)
        if digest != command.digest:
            return _refusal(
                command, _Verdict.INVALID, 'digest: is not that of the note'
            )
        if number == 0:
            return _refusal(
                command, _Verdict.INVALID, 'number: must be at least 1, not 0'
            )
        if number <= current:
            return self._answer_known(command)
        if number > current + 1:
            return _refusal(
                command,
                _Verdict.NUMBER_GAP,
                f'The next number is {current + 1}.',
            )
        parsed = notes.parse(text)
        configuration, problems = notes.build(parsed, self.configuration)
        if parsed.number and parsed.number != number:
            problems.append(
                f'number: {parsed.number} is not the {number} of the command'
            )
        if problems:
            return _refusal(command, _Verdict.INVALID, '\n'.join(problems))
        configuration.index = index
        self.configuration = configuration
        self.document = b''
        self._accept(number, digest, command.operator, time_ms)
        return _result(_Verdict.ACCEPTED, self.notes[number])

    def _answer_known(
        self, command: messages.ApplyNote
    ) -> messages.NoteResult:
        accepted = self.notes.get(command.number)
        if accepted is None:
            return _refusal(
                command,
                _Verdict.NUMBER_TAKEN,
                f'Note {command.number} was accepted too long ago to compare.',
            )
        if accepted.digest == command.digest:
            return _result(_Verdict.ALREADY_IN_FORCE, accepted)
        return _result(
            _Verdict.NUMBER_TAKEN,
            accepted,
            f'Note {accepted.number} of {accepted.operator!r} has another '
            f'content.',
        )

    def to_snapshot(self) -> messages.ConfigurationSnapshot:
        """Return the replicated state."""
        return messages.ConfigurationSnapshot(
            configuration=self.configuration,
            notes=list(self.notes.values()),
            document=self.document,
        )

    def restore(self, snapshot: messages.ConfigurationSnapshot) -> None:
        """Replace the state by that of a snapshot."""
        self.configuration = snapshot.configuration
        self.notes = {note.number: note for note in snapshot.notes}
        self.document = snapshot.document


def _refusal(
    command: messages.ApplyNote, verdict: messages.NoteVerdict, detail: str
) -> messages.NoteResult:
    return messages.NoteResult(
        verdict=verdict,
        number=command.number,
        digest=command.digest,
        detail=detail,
    )


def _refused_replacement(
    command: messages.ReplaceConfiguration,
    verdict: messages.NoteVerdict,
    detail: str,
) -> messages.NoteResult:
    return messages.NoteResult(
        verdict=verdict,
        number=command.number,
        digest=command.digest,
        detail=detail,
    )


def _result(
    verdict: messages.NoteVerdict,
    accepted: messages.AcceptedNote,
    detail: str = '',
) -> messages.NoteResult:
    return messages.NoteResult(
        verdict=verdict,
        number=accepted.number,
        digest=accepted.digest,
        operator=accepted.operator,
        time_ms=accepted.time_ms,
        detail=detail,
    )
