"""When a refused caller should come back.

Load pattern: a refused caller asks again. Without a hint it asks at once, and
callers refused together return together, so each wave of refusals is the next
wave of demand.

Grounds for the figures: with a share `pressure` refused, demand is about
``1 / (1 - pressure)`` times what can be served, so a pause that many times the
base spreads the return of the refused over the time it takes to serve them.
The base is the order of one control period of the gate's levels; the most is
kept short because a caller that waits on after the overload has ended is lost
goodput.
"""

from . import messages

BASE_SECONDS = 0.25
MOST_SECONDS = 5.0
SPREAD_LOWEST = 0.5
SPREAD_WIDTH = 1.0

# With less time than this an answer would be late whenever its caller came back.
SHORTEST_ROOM = 0.1


def choose_retry_after(pressure, spread_key, base=BASE_SECONDS, most=MOST_SECONDS):
    """Choose how long a refused caller should wait, in seconds.

    Args:
        pressure: Share of the demand that is refused at present, from 0 to 1.
        spread_key: What tells this refusal from others (its attempt); the same
            key gives the same answer, different keys spread evenly.
        base: Mean pause in seconds when hardly anything is refused.
        most: Longest mean pause in seconds.

    Returns:
        Seconds, between half and one and a half times the mean pause.
    """
    served = 1.0 - min(max(pressure, 0.0), 1.0)
    mean = most if served * most <= base else base / served
    spread = SPREAD_LOWEST + SPREAD_WIDTH * messages.hash_root("hint:" + spread_key)
    return mean * spread


def fit_retry_after(pause, room, spread_key):
    """Return a pause after which an answer can still be in time, where one can.

    A caller that comes back too late for its objective gets little for its answer,
    while the service does the same work for it.

    Args:
        pause: Pause in seconds that the load suggests.
        room: Seconds that the caller can wait and still be answered in time.
        spread_key: As for `choose_retry_after`.
    """
    if pause <= room or room < SHORTEST_ROOM:
        return pause
    return room * (1.0 - SPREAD_LOWEST * messages.hash_root("fit:" + spread_key))
