"""Hooks by which a daemon writes its trace; without tracing they do nothing.

The records are defined in `tracerecords` and checked by `traces`.
"""

import hashlib
from collections.abc import Callable
from typing import NamedTuple

from . import claims, tracerecords
from .lifecycle import Phase
from .messages import Outcome, rank_request

DIGEST_HEX_DIGITS = 16


class TraceHooks(NamedTuple):
    """Trace hooks, one function for each kind of event.

    Attributes:
        root_request: Called with a root `Request` when it arrives.
        attempt: Called with the `Request` of an attempt and whether it is a retry.
        admission: Called with a `Request` and whether it was admitted.
        run: Called with a `Request` and the `Answer` that resulted from sending it
            to the backend server; its outcome is NOT_RUN if nothing was sent.
        answered: Called with the `Answer` of a gatekeeper.
        delivered: Called with the identifier of a root request, the `Answer` for
            its caller and the attempt that the answer comes from.
        claims: Called with the offset and data of a record of the claim stream.
        phase: Called with the new `lifecycle.Phase`.
        configured: Called with the version and the encoded content of the
            configuration in force.
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


def _discard_event(*event):
    """Discard an event, because tracing is off."""
    del event


NO_TRACE_HOOKS = TraceHooks(*[_discard_event] * len(TraceHooks._fields))


def build_trace_hooks(daemon, record):
    """Return `TraceHooks` that write trace records.

    Args:
        daemon: Identifier of this daemon.
        record: Function that writes a record, see `tracerecords.make_recorder`.
    """

    def record_root_request(request):
        record(
            tracerecords.RootRequest(
                daemon, request.root, request.budget, request.caller
            )
        )

    def record_attempt(request, retry):
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

    def record_admission(request, admitted):
        record(
            tracerecords.Admission(
                daemon, request.attempt, admitted, rank_request(request)
            )
        )

    def record_run(request, answer):
        # Written after the answer: only then is it known whether the attempt was
        # sent. An attempt that was never sent did not run.
        if answer.outcome is Outcome.NOT_RUN:
            return
        record(tracerecords.Run(daemon, request.attempt, request.key))
        if answer.outcome is Outcome.COMPLETED:
            record(
                tracerecords.BackendAnswer(
                    daemon, answer.attempt, answer.status, *_summarize_body(answer.body)
                )
            )

    def record_answered(answer):
        record(
            tracerecords.Answered(
                daemon,
                answer.attempt,
                answer.outcome.value,
                answer.reason.value,
                *_summarize_body(answer.body),
            )
        )

    def record_delivered(root, answer, source):
        record(
            tracerecords.Delivered(
                daemon,
                root,
                answer.outcome.value,
                source,
                *_summarize_body(answer.body),
            )
        )

    def record_claims(offset, data):
        for place, entry in enumerate(claims.decode_batch(data).entries):
            kind = CLAIM_RECORD_TYPES.get(type(entry))
            if kind is not None:
                record(kind(daemon, *entry, offset, place))

    def record_phase(phase):
        kind = PHASE_RECORD_TYPES.get(phase)
        if kind is not None:
            record(kind(daemon))

    def record_configured(version, content):
        record(tracerecords.Configured(daemon, version, _summarize_body(content)[1]))

    return TraceHooks(
        record_root_request,
        record_attempt,
        record_admission,
        record_run,
        record_answered,
        record_delivered,
        record_claims,
        record_phase,
        record_configured,
    )


CLAIM_RECORD_TYPES = {
    claims.Claim: tracerecords.ClaimRead,
    claims.Release: tracerecords.ReleaseRead,
}
PHASE_RECORD_TYPES = {
    Phase.LEAVING: tracerecords.Leaving,
    Phase.STOPPED: tracerecords.Stopped,
}


def _summarize_body(body):
    """Return the length and digest of a body, by which answers are compared."""
    return len(body), hashlib.sha256(body).hexdigest()[:DIGEST_HEX_DIGITS]
