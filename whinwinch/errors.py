"""Errors shown to people, and findings collected with their place."""

from typing import NamedTuple


class UserError(Exception):
    """An error that is printed to a person without a traceback."""


class Finding(NamedTuple):
    """One thing wrong with some input.

    Attributes:
        place: Where it stands, as the reader would write it, for example
            ``--zone`` or ``calls[2].importance``.
        problem: What is wrong and what would be right.
    """

    place: str
    problem: str


class FindingError(UserError):
    """One finding as an exception, so that several can travel in a group."""

    def __init__(self, finding):
        super().__init__(f"{finding.place}: {finding.problem}")
        self.finding = finding


class InputErrors(ExceptionGroup, UserError):
    """All findings on one input, reported together."""

    def derive(self, excs):
        """Keep the type when the group is split."""
        return InputErrors(self.message, excs)

    @property
    def findings(self):
        """The findings of the group, in the order in which they were found."""
        return tuple(error.finding for error in self.exceptions)


def raise_findings(message, findings):
    """Raise all findings as one group, or return when there are none.

    Args:
        message: What was being checked.
        findings: Iterable of `Finding`.

    Raises:
        InputErrors: When there is at least one finding.
    """
    errors = [FindingError(finding) for finding in findings]
    if errors:
        raise InputErrors(message, errors)
