"""Errors of the resource API, each with its status and its JSON form."""

from typing import Any

from .. import errors
from . import forms, store

# Seconds after which an operator or a tool may try again.
RETRY_AFTER = 5


class ApiError(errors.UserError):
    """An error that is answered in its JSON form.

    Args:
        status: HTTP status.
        code: Short fixed text for programs.
        message: What is wrong, for people.
        findings: Iterable of `errors.Finding`.
        retry_after: Seconds for ``Retry-After``, 0 for none.
        **details: Further fields of `forms.ErrorForm`.
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
    """Return the error for a service without a resource."""
    return ApiError(404, "not-found", f"there is no resource for service {name!r}")


def describe_conflict(name, present, change_id=""):
    """Return the error of a change that met another version than it replaces."""
    version = present.version if present is not None else 0
    state = f"is at version {version}" if version else "does not exist"
    return ApiError(
        412,
        "conflict",
        f"service {name!r} {state}: read it again and decide anew",
        present_version=version,
        change_id=change_id,
    )


def describe_undecided(verdict, change_id):
    """Return the error of a change that was not accepted and not rejected."""
    maybe = verdict.decision is store.Decision.UNKNOWN
    if maybe:
        code = "unknown"
        message = (
            f"{verdict.reason}: the change may be in force already or later; "
            "look for its change_id in the history"
        )
    else:
        code = "log-down"
        message = f"{verdict.reason}: the change did not and will not take effect"
    return ApiError(
        503,
        code,
        message,
        retry_after=RETRY_AFTER,
        may_have_taken_effect=maybe,
        change_id=change_id,
    )


def describe_findings(findings):
    """Return the error of a request with findings."""
    return ApiError(400, "bad-request", "the request has errors", findings)
