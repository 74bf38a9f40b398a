"""Sending of one attempt, with its result reported to the placement."""


async def send_and_observe(placement, endpoint, attempt, clock, send):
    """Send an attempt and return its answer; the placement observes the result.

    Args:
        placement: `placement.Placement`.
        endpoint: The chosen `messages.Endpoint`.
        attempt: The `messages.Request`.
        clock: Function that returns the event loop time in seconds.
        send: Coroutine function from endpoint and attempt to the `messages.Answer`.
    """
    started = clock()
    placement.start(endpoint.daemon, started, attempt)
    answer = None
    try:
        answer = await send(endpoint, attempt)
    finally:
        if answer is None:
            # The attempt was cancelled, so the endpoint's latency isn't known, but it
            # must no longer count as in flight there.
            placement.withdraw(endpoint.daemon, attempt.attempt)
    ended = clock()
    placement.observe(endpoint.daemon, answer, ended - started, ended, attempt)
    return answer
