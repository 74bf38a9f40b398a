"""HTTP server for operators, run by cherrypy on separate threads.

It serves few requests, of which some last for an hour. The separate threads ensure
that none of them delays a call.
"""

import threading

import cherrypy
from cheroot import wsgi

from . import forms, strictness, watch

# One thread for each watch; the others serve requests that take milliseconds.
THREADS = watch.DEFAULT_MAX_WATCHERS + 8
# Seconds after which a connection is closed if the client stops sending its request.
SOCKET_TIMEOUT = 10.0
ACCEPT_QUEUE = 64
# Seconds that a stop waits for requests in progress, so that an operator cannot delay
# a planned stop.
STOP_TIMEOUT = 2.0


def start_server(address, application, settings):
    """Start to serve operators and return a blocking function that stops it.

    cherrypy's own engine is not used: it ends the process with an error if the
    port is not free one second after its server stopped, as on a busy machine.

    Args:
        address: `settings.Address` to listen on.
        application: WSGI callable of the resource API.
        settings: `settings.Settings` with the size limits of requests.

    Raises:
        OSError: If the server cannot listen on the address.
    """
    cherrypy.config.update({"log.screen": False, "environment": "embedded"})
    server = _build_server(address, application, settings)
    server.prepare()
    serving = threading.Thread(target=server.serve, name="operators", daemon=True)
    serving.start()

    def stop_server():
        server.stop()
        serving.join(STOP_TIMEOUT)

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
