"""Announcement of a stand-in backend server to its daemon."""

import urllib3

ANNOUNCE_INTERVAL = 1.0  # seconds
ANNOUNCE_TIMEOUT = 0.8  # seconds


def announce(settings, address, stopping):
    """Announce a backend server until `stopping` is set, then withdraw it.

    Args:
        settings: `backend.Settings`; its daemon must not be "".
        address: `serving.Address` that the backend server listens on.
        stopping: `threading.Event` that ends the announcements.
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
    """Send a request to the daemon, ignoring errors.

    A daemon that is unreachable now receives the next announcement.
    """
    try:
        http.request(method, url, json=value)
    except urllib3.exceptions.HTTPError:
        return
