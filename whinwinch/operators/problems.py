"""Errors of the resource API with their HTTP statuses and JSON forms."""

from typing import Any

from .. import errors
from . import forms, store

# Retry-After in seconds for a change that was neither accepted nor rejected.
RETRY_AFTER = 5


class ApiError(errors.UserError):
    """An error that the API returns in JSON form.

    Args:
        status: HTTP status.
        code: Machine-readable error code.
        message: Human-readable description.
        findings: Iterable of `errors.Finding`.
        retry_after: Value of ``Retry-After`` in seconds, 0 for no header.
        **details: Optional fields of `forms.ErrorForm`.
    """

    def __init__(
        self, status, code, message, findings=(), retry_after=0, **details: Any
    ):
        super().__init__(message)
        self.status = status
        self.retry_after = retry_after
        self.form: forms.ErrorForm = {
            "code": code,
            "message": message,
            "findings": [
                forms.FindingForm(**finding._asdict()) for finding in findings
            ],
            **details,
        }


def describe_missing(name):
    """Return the error for a service that does not exist."""
    return ApiError(404, "not-found", f"there is no resource for service {name!r}")


def describe_conflict(name, present, change_id=""):
    """Return the error for a change that does not replace the current version."""
    version = present.version if present is not None else 0
    state = f"is at version {version}" if version else "does not exist"
    return ApiError(
        412,
        "conflict",
        f"service {name!r} {state}: read it again before you change it",
        present_version=version,
        change_id=change_id,
    )


def describe_undecided(verdict, change_id):
    """Return the error for a change that was neither accepted nor rejected."""
    possibly_written = verdict.decision is store.Decision.UNKNOWN
    if possibly_written:
        code = "unknown"
        message = (
            f"{verdict.reason}: the change may have taken effect or may still do so; "
            "look up its change_id in the history"
        )
    else:
        code = "log-down"
        message = f"{verdict.reason}: the change did not and will not take effect"
    return ApiError(
        503,
        code,
        message,
        retry_after=RETRY_AFTER,
        may_have_taken_effect=possibly_written,
        change_id=change_id,
    )


def describe_findings(findings):
    """Return the error for a request with findings."""
    return ApiError(400, "bad-request", "the request has errors", findings)
