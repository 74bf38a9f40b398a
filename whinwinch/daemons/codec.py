"""Messages between daemons to and from their protobuf form."""

from ..messages import Answer, Importance, Load, Outcome, Reason, Request
from . import peer_pb2


def encode_request(request, now, receiver=""):
    """Return the `CallRequest` for a request at the loop time `now`.

    Args:
        request: The request.
        now: The loop's time in seconds.
        receiver: Identifier of the daemon that it is meant for.
    """
    return peer_pb2.CallRequest(
        attempt=request.attempt,
        root=request.root,
        service=request.service,
        call=request.call,
        method=request.method,
        path=request.path,
        importance=int(request.importance),
        time_left=request.deadline - now,
        key=request.key,
        budget=request.budget,
        caller=request.caller,
        via=request.via,
        headers=_encode_headers(request.headers),
        body=request.body,
        receiver=receiver,
        again=request.again,
    )


def decode_request(message, now, own=""):
    """Return the request of a `CallRequest` received at the loop time `now`.

    Args:
        message: The `CallRequest`.
        now: The loop's time in seconds.
        own: Identifier of this daemon. A copy that was meant for its
            predecessor brings no retries: the predecessor may have used them,
            and the whole request would cause more than its bound.

    Raises:
        ValueError: When the importance isn't one.
    """
    return Request(
        attempt=message.attempt,
        root=message.root,
        service=message.service,
        call=message.call,
        method=message.method,
        path=message.path,
        importance=Importance(message.importance),
        deadline=now + message.time_left,
        key=message.key,
        budget=message.budget if message.receiver in ("", own) else 0,
        caller=message.caller,
        via=tuple(message.via),
        headers=_decode_headers(message.headers),
        body=message.body,
        again=message.again,
    )


def encode_answer(answer):
    """Return the `CallAnswer` for an answer."""
    return peer_pb2.CallAnswer(
        attempt=answer.attempt,
        outcome=answer.outcome.value,
        reason=answer.reason.value,
        status=answer.status,
        headers=_encode_headers(answer.headers),
        body=answer.body,
        unused=answer.unused,
        retry_after=answer.retry_after,
        deeper=answer.deeper,
        load=peer_pb2.LoadReport(**answer.load._asdict()),
        offered=answer.offered,
    )


def decode_answer(message):
    """Return the answer of a `CallAnswer`.

    Raises:
        ValueError: When outcome or reason are of a version not known here.
    """
    return Answer(
        attempt=message.attempt,
        outcome=Outcome(message.outcome),
        reason=Reason(message.reason),
        status=message.status,
        headers=_decode_headers(message.headers),
        body=message.body,
        unused=message.unused,
        retry_after=message.retry_after,
        deeper=message.deeper,
        load=_decode_load(message.load),
        offered=message.offered,
    )


def _encode_headers(headers):
    return [peer_pb2.Header(name=name, value=value) for name, value in headers]


def _decode_headers(headers):
    return tuple((header.name, header.value) for header in headers)


def _decode_load(report):
    return Load(
        level=report.level,
        below=report.below,
        in_service=report.in_service,
        waiting=report.waiting,
        limit=report.limit,
    )
