"""Replicated configuration: the current one and the accepted notes.

When operators race, the number of a note decides: the first note in the log
with the next number is accepted, and the reply to another one names the sender
of the accepted note.
"""

from godwitstall.configuration import note as notes
from godwitstall import messages

# Accepted notes whose digests are kept to recognise a resend. The limit
# covers 11 days of 360 notes a day.
MAX_REMEMBERED_NOTES = 4096

_Verdict = messages.NoteVerdict


class ConfigurationState:
    """The configuration in force and the notes accepted so far."""

    def __init__(self) -> None:
        # Configuration in force; replaced, never modified.
        self.configuration = messages.Configuration()
        # The last accepted notes by number, oldest first.
        self.accepted_notes: dict[int, messages.AcceptedNote] = {}
        # Text of the configuration in force if it was sent as a whole, empty
        # if it results from a release note.
        self.document = b''

    def execute(
        self,
        command: messages.ApplyNote | messages.ReplaceConfiguration,
        index: int,
        time_ms: int,
    ) -> messages.NoteResult:
        """Apply a command that changes the configuration."""
        match command:
            case messages.ApplyNote():
                return self.apply(command, index, time_ms)
            case messages.ReplaceConfiguration():
                return self.replace(command, index, time_ms)

    def replace(
        self, command: messages.ReplaceConfiguration, index: int, time_ms: int
    ) -> messages.NoteResult:
        """Put a whole configuration in force, or return why it is rejected.

        A resend of an accepted configuration is reported as such, even when
        others have been accepted since. Of two configurations with the same
        base, the first in the log is accepted.
        """
        current = self.configuration.number
        accepted = self.accepted_notes.get(command.number)
        if accepted is not None and accepted.digest == command.digest:
            return _note_result(_Verdict.ALREADY_IN_FORCE, accepted)
        if command.base != current:
            return _rejected_replacement(
                command,
                _Verdict.BASE_CHANGED,
                f'Configuration {current} is in force, not {command.base}.',
            )
        if command.number <= current:
            return _rejected_replacement(
                command,
                _Verdict.INVALID,
                f'number: must be above {current}, not {command.number}',
            )
        command.configuration.index = index
        command.configuration.number = command.number
        self.configuration = command.configuration
        self.document = command.document
        self._record_accepted(
            command.number, command.digest, command.operator, time_ms
        )
        return _note_result(
            _Verdict.ACCEPTED, self.accepted_notes[command.number]
        )

    def _record_accepted(
        self, number: int, digest: str, operator: str, time_ms: int
    ) -> None:
        self.accepted_notes[number] = messages.AcceptedNote(
            number=number, digest=digest, operator=operator, time_ms=time_ms
        )
        if len(self.accepted_notes) > MAX_REMEMBERED_NOTES:
            del self.accepted_notes[next(iter(self.accepted_notes))]

    def apply(
        self, command: messages.ApplyNote, index: int, time_ms: int
    ) -> messages.NoteResult:
        """Put a note in force, or return why it is rejected.

        A rejected note changes nothing.
        """
        current = self.configuration.number
        number = command.number
        try:
            text = command.changes.decode('utf-8')
        except UnicodeDecodeError as e:
            return _rejected_note(
                command, _Verdict.INVALID, f'note: is not valid UTF-8: {e}'
            )
        digest = notes.digest_of(text)
        if digest != command.digest:
            return _rejected_note(
                command, _Verdict.INVALID, 'digest: does not match the note'
            )
        if number == 0:
            return _rejected_note(
                command, _Verdict.INVALID, 'number: must be at least 1, not 0'
            )
        if number <= current:
            return self._old_number_result(command)
        if number > current + 1:
            return _rejected_note(
                command,
                _Verdict.NUMBER_GAP,
                f'The next number is {current + 1}.',
            )
        parsed = notes.parse(text)
        configuration, problems = notes.build(parsed, self.configuration)
        if parsed.number and parsed.number != number:
            problems.append(
                f'number: {parsed.number} does not match {number} in the '
                f'command'
            )
        if problems:
            return _rejected_note(
                command, _Verdict.INVALID, '\n'.join(problems)
            )
        configuration.index = index
        self.configuration = configuration
        self.document = b''
        self._record_accepted(number, digest, command.operator, time_ms)
        return _note_result(_Verdict.ACCEPTED, self.accepted_notes[number])

    def _old_number_result(
        self, command: messages.ApplyNote
    ) -> messages.NoteResult:
        """Return the result for a note that is not newer than the current."""
        accepted = self.accepted_notes.get(command.number)
        if accepted is None:
            return _rejected_note(
                command,
                _Verdict.NUMBER_TAKEN,
                f'Note {command.number} was accepted too long ago to compare '
                f'the contents.',
            )
        if accepted.digest == command.digest:
            return _note_result(_Verdict.ALREADY_IN_FORCE, accepted)
        return _note_result(
            _Verdict.NUMBER_TAKEN,
            accepted,
            f'Note {accepted.number} of {accepted.operator!r} has different '
            f'contents.',
        )

    def to_snapshot(self) -> messages.ConfigurationSnapshot:
        """Return the replicated state."""
        return messages.ConfigurationSnapshot(
            configuration=self.configuration,
            notes=list(self.accepted_notes.values()),
            document=self.document,
        )

    def restore(self, snapshot: messages.ConfigurationSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self.configuration = snapshot.configuration
        self.accepted_notes = {note.number: note for note in snapshot.notes}
        self.document = snapshot.document


def _rejected_note(
    command: messages.ApplyNote, verdict: messages.NoteVerdict, detail: str
) -> messages.NoteResult:
    return messages.NoteResult(
        verdict=verdict,
        number=command.number,
        digest=command.digest,
        detail=detail,
    )


def _rejected_replacement(
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


def _note_result(
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
