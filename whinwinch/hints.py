"""The retry hint of a refusal: when the refused caller should retry.

Load pattern: a refused caller retries. Without a hint it retries at once, and callers
that were refused together return together, so each wave of refusals becomes the next
wave of demand.

With a share `pressure` of the demand refused, demand is about ``1 / (1 - pressure)``
times what can be served. A pause of that many times the base pause spreads the retries
over the time that it takes to serve them. The base pause is of the order of one control
period of the gate's levels. The maximum is short because goodput is lost while a
caller still waits after the overload has ended.
"""

from . import messages

BASE_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 5.0
MIN_SPREAD = 0.5
SPREAD_WIDTH = 1.0

# With less slack than this, an answer would be late whenever the caller retried.
MIN_SLACK_SECONDS = 0.1


def choose_retry_after(
    pressure, spread_key, base_pause=BASE_PAUSE_SECONDS, max_pause=MAX_PAUSE_SECONDS
):
    """Choose how long a refused caller should wait before it retries, in seconds.

    Args:
        pressure: Share of the demand that is refused at present, from 0 to 1.
        spread_key: Identifies this refusal among others (its attempt). The same key
            gives the same pause; the pauses of different keys spread evenly.
        base_pause: Mean pause in seconds when hardly anything is refused.
        max_pause: Longest mean pause in seconds.

    Returns:
        Seconds, between half and one and a half times the mean pause.
    """
    served = 1.0 - min(max(pressure, 0.0), 1.0)
    mean = max_pause if served * max_pause <= base_pause else base_pause / served
    spread = MIN_SPREAD + SPREAD_WIDTH * messages.hash_root("hint:" + spread_key)
    return mean * spread


def fit_retry_after(pause, slack, spread_key):
    """Return a pause after which an answer can still be in time, if there is one.

    A caller that retries too late for its objective gets little from the answer, while
    the service does the same work for it.

    Args:
        pause: Pause in seconds that the load suggests.
        slack: Seconds that the caller can wait and still be answered in time.
        spread_key: As for `choose_retry_after`.
    """
    if pause <= slack or slack < MIN_SLACK_SECONDS:
        return pause
    return slack * (1.0 - MIN_SPREAD * messages.hash_root("fit:" + spread_key))
