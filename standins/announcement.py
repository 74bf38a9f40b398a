"""The announcement of a stand-in backend server to the daemon beside it."""

import urllib3

ANNOUNCE_INTERVAL = 1.0
ANNOUNCE_TIMEOUT = 0.8


def announce(settings, address, stopping):
    """Announce a backend server to its daemon until `stopping`, then withdraw.

    Args:
        settings: `backend.Settings`, whose daemon isn't "".
        address: `serving.Address` where it serves.
        stopping: `threading.Event`.
    """
    http = urllib3.PoolManager(retries=False, timeout=ANNOUNCE_TIMEOUT)
    url = f"{settings.daemon}/announcement"
    announcement = {
        "service": settings.service,
        "address": str(address),
        "slots": settings.slots,
        "connections": settings.connections,
        "load": "/load",
        "health": "/health",
    }
    while not stopping.is_set():
        send(http, "PUT", url, announcement)
        stopping.wait(ANNOUNCE_INTERVAL)
    send(http, "DELETE", url)


def send(http, method, url, value=None):
    """Send to the daemon; one that is away hears the next announcement."""
    try:
        http.request(method, url, json=value)
    except urllib3.exceptions.HTTPError:
        return
