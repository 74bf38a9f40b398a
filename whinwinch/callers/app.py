"""The WSGI callable through which calls come in.

A bare WSGI callable grafted beside cherrypy's page handlers, because their
dispatch alone costs a good part of the added time allowed.
"""

from .. import hints, messages
from ..messages import Answer, Outcome, Reason
from ..router import Routed
from . import answers, bodies, headers

# Threads kept free of calls, so that there is always one to say no at once.
# Without them a caller would wait unanswered in the server's accept queue.
RESERVED_SHARE = 0.1
FULL_PRESSURE = 1.0


def build_app(route, max_body, threads, count_in_flight, count_event):
    """Return a WSGI callable for calls.

    Args:
        route: Takes an `Incoming`, returns a `Routed`.
        max_body: Largest body taken, in bytes.
        threads: Threads that run this callable.
        count_in_flight: Returns the number of calls being handled.
        count_event: Counts a request that isn't routed, by a short text.
    """
    most_in_flight = threads - max(1, int(threads * RESERVED_SHARE))

    def serve_call(environ, start_response):
        body = bodies.read_body(environ, max_body)
        if body.finding is not None:
            count_event("bad-body")
            return _respond_findings(start_response, body.status, [body.finding])
        parsed = headers.parse_call(environ, body.data)
        if parsed.findings:
            count_event("bad-request")
            identifier = parsed.incoming.identifier
            return _respond_findings(start_response, 400, parsed.findings, identifier)
        if count_in_flight() >= most_in_flight:
            count_event("threads-full")
            return _respond_full(start_response, parsed.incoming)
        return _respond(start_response, route(parsed.incoming))

    return serve_call


def _respond(start_response, routed):
    answer = routed.answer
    from_backend = answer.outcome is Outcome.COMPLETED
    body = answer.body if from_backend else answers.build_body(answer)
    pairs = answers.build_headers(routed)
    named = {name.lower() for name, _ in pairs}
    if from_backend:
        pairs += [pair for pair in answer.headers if pair[0].lower() not in named]
    else:
        pairs.append(("Content-Type", "application/json"))
    return _send(start_response, answers.choose_status(answer), pairs, body)


def _respond_findings(start_response, status, findings, identifier=""):
    pairs = [
        ("X-Request-Id", identifier),
        ("Whinwinch-Outcome", Outcome.NOT_RUN.value),
        ("Whinwinch-Reason", Reason.BAD_REQUEST.value),
        ("Content-Type", "application/json"),
    ]
    body = answers.build_findings_body(findings)
    return _send(start_response, status, pairs, body)


def _respond_full(start_response, incoming):
    attempt = messages.new_identifier()
    answer = Answer(
        attempt,
        Outcome.NOT_RUN,
        Reason.QUEUE,
        status=503,
        retry_after=hints.choose_retry_after(FULL_PRESSURE, attempt),
    )
    return _respond(start_response, Routed(answer, incoming.identifier or attempt, 0))


def _send(start_response, status, pairs, body):
    pairs.append(("Content-Length", str(len(body))))
    start_response(answers.format_status(status), pairs)
    return [body]
