"""User-facing errors, and findings in some input with their locations."""

from typing import NamedTuple


class UserError(Exception):
    """An error that is shown to the user without a traceback."""


class Finding(NamedTuple):
    """One error in some input.

    Attributes:
        place: Location of the error in the user's notation, for example
            ``--zone`` or ``calls[2].importance``.
        problem: Description of the error and of valid values.
    """

    place: str
    problem: str


class FindingError(UserError):
    """A finding as an exception, so that `InputErrors` can group several."""

    def __init__(self, finding):
        super().__init__(f"{finding.place}: {finding.problem}")
        self.finding = finding


class InputErrors(ExceptionGroup, UserError):
    """All findings in one input, reported together."""

    def derive(self, excs):
        """Return a group of the same type; called when the group is split."""
        return InputErrors(self.message, excs)

    @property
    def findings(self):
        """Tuple of all findings, in the order in which they were found."""
        return tuple(error.finding for error in self.exceptions)


def raise_findings(message, findings):
    """Raise all findings as one group, or return if there are none.

    Args:
        message: Summary of the errors.
        findings: Iterable of `Finding`.

    Raises:
        InputErrors: If there is at least one finding.
    """
    errors = [FindingError(finding) for finding in findings]
    if errors:
        raise InputErrors(message, errors)
