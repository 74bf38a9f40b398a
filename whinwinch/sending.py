"""One attempt on its way: the endpoint chosen is told how it went."""


async def send_watched(placement, endpoint, attempt, clock, send):
    """Send an attempt and return its answer; the placement learns from it.

    Args:
        placement: `placement.Placement`.
        endpoint: The `messages.Endpoint` chosen.
        attempt: The `messages.Request`.
        clock: Returns the loop's time in seconds.
        send: Coroutine function from endpoint and attempt to the `messages.Answer`.
    """
    started = clock()
    placement.start(endpoint.daemon, started, attempt)
    answer = None
    try:
        answer = await send(endpoint, attempt)
    finally:
        if answer is None:
            # Cancelled: says nothing of the endpoint, but it is not out.
            placement.withdraw(endpoint.daemon, attempt.attempt)
    ended = clock()
    placement.observe(endpoint.daemon, answer, ended - started, ended, attempt)
    return answer
