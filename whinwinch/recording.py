"""What a daemon writes into a trace, see `traces`; nothing unless told to."""

import hashlib
from collections.abc import Callable
from typing import NamedTuple

from . import claims, tracerecords
from .lifecycle import Phase
from .messages import Outcome, rank_request

DIGEST_LENGTH = 16


class Notes(NamedTuple):
    """Functions that note one kind of event each.

    Attributes:
        root_request: Takes a root `Request`.
        attempt: Takes a `Request` and whether it is a retry.
        admission: Takes a `Request` and whether it was admitted.
        run: Takes a `Request` and the backend server's `Answer`, if any.
        answered: Takes a gatekeeper's `Answer`.
        delivered: Takes a root's identifier and the `Answer` for its caller.
        claims: Takes the offset and data of a record of the stream of claims.
        phase: Takes the new `lifecycle.Phase`.
        configured: Takes version and content of the configuration in force.
    """

    root_request: Callable
    attempt: Callable
    admission: Callable
    run: Callable
    answered: Callable
    delivered: Callable
    claims: Callable
    phase: Callable
    configured: Callable


def ignore(*event):
    """Note nothing."""
    del event


NOTHING = Notes(*[ignore] * len(Notes._fields))


def build_notes(daemon, record):
    """Return `Notes` that write records.

    Args:
        daemon: Identifier of this daemon.
        record: Takes a record, see `tracerecords.make_recorder`.
    """

    def note_root_request(request):
        record(
            tracerecords.RootRequest(
                daemon, request.root, request.budget, request.caller
            )
        )

    def note_attempt(request, retry):
        record(
            tracerecords.Attempt(
                daemon,
                request.root,
                request.attempt,
                request.service,
                retry,
                request.key,
            )
        )

    def note_admission(request, admitted):
        record(
            tracerecords.Admission(
                daemon, request.attempt, admitted, rank_request(request)
            )
        )

    def note_run(request, answer):
        # Written after the fact: whether anything was sent at all is known
        # only then, and an attempt that never left was not run.
        if answer.outcome is Outcome.NOT_RUN:
            return
        record(tracerecords.Run(daemon, request.attempt, request.key))
        if answer.outcome is Outcome.COMPLETED:
            record(
                tracerecords.BackendAnswer(
                    daemon, answer.attempt, answer.status, *_measure(answer.body)
                )
            )

    def note_answered(answer):
        record(
            tracerecords.Answered(
                daemon,
                answer.attempt,
                answer.outcome.value,
                answer.reason.value,
                *_measure(answer.body),
            )
        )

    def note_delivered(root, answer, source):
        record(
            tracerecords.Delivered(
                daemon, root, answer.outcome.value, source, *_measure(answer.body)
            )
        )

    def note_claims(offset, data):
        for place, entry in enumerate(claims.decode_batch(data).entries):
            kind = CLAIM_RECORDS.get(type(entry))
            if kind is not None:
                record(kind(daemon, *entry, offset, place))

    def note_phase(phase):
        kind = PHASE_RECORDS.get(phase)
        if kind is not None:
            record(kind(daemon))

    def note_configured(version, content):
        record(tracerecords.Configured(daemon, version, _measure(content)[1]))

    return Notes(
        note_root_request,
        note_attempt,
        note_admission,
        note_run,
        note_answered,
        note_delivered,
        note_claims,
        note_phase,
        note_configured,
    )


CLAIM_RECORDS = {
    claims.Claim: tracerecords.ClaimRead,
    claims.Release: tracerecords.ReleaseRead,
}
PHASE_RECORDS = {
    Phase.LEAVING: tracerecords.Leaving,
    Phase.STOPPED: tracerecords.Stopped,
}


def _measure(body):
    """Return length and digest of a body, to tell one answer from another."""
    return len(body), hashlib.sha256(body).hexdigest()[:DIGEST_LENGTH]
