"""HTTP serving of operators by cherrypy, on threads of its own.

Few requests, some of which last for an hour; none of them may hold up a call.
"""

import threading

import cherrypy
from cheroot import wsgi

from . import forms, strictness, watch

# Each watch holds one; the rest is for requests that take milliseconds.
THREADS = watch.DEFAULT_MAX_WATCHERS + 8
# An operator that stops half way through its request is let go after this.
SOCKET_TIMEOUT = 10.0
ACCEPT_QUEUE = 64
# Requests that are still worked on are let go after this; a planned stop isn't
# held up by an operator.
STOP_SECONDS = 2.0


def start_server(address, application, settings):
    """Start to serve operators; return the function that stops it, and blocks.

    cherrypy's own engine isn't used: it ends the process with an error where a
    port isn't free a second after its server has stopped, as on a busy machine.

    Args:
        address: `settings.Address` to listen on.
        application: WSGI callable of the resource API.
        settings: `settings.Settings` with the limits.

    Raises:
        OSError: When the address can't be listened on.
    """
    cherrypy.config.update({"log.screen": False, "environment": "embedded"})
    server = _build_server(address, application, settings)
    server.prepare()
    serving = threading.Thread(target=server.serve, name="operators", daemon=True)
    serving.start()

    def stop_server():
        server.stop()
        serving.join(STOP_SECONDS)

    return stop_server


def _build_server(address, application, settings):
    server = wsgi.Server(
        tuple(address),
        wsgi.PathInfoDispatcher({forms.MOUNT: application}),
        numthreads=THREADS,
        request_queue_size=ACCEPT_QUEUE,
        timeout=SOCKET_TIMEOUT,
        shutdown_timeout=1,
    )
    server.max_request_header_size = settings.max_header
    server.max_request_body_size = settings.max_body
    server.server_name = "whinwinch"
    server.ConnectionClass = strictness.StrictConnection
    return server
