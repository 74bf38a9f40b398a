"""HTTP serving of operators by cherrypy, on threads of its own.

Few requests, some of which last for an hour; none of them may hold up a call.
"""

import cherrypy
from cheroot import wsgi
from cherrypy.process import servers

from . import forms, strictness, watch

# Each watch holds one; the rest is for requests that take milliseconds.
THREADS = watch.DEFAULT_MAX_WATCHERS + 8
# An operator that stops half way through its request is let go after this.
SOCKET_TIMEOUT = 10.0
ACCEPT_QUEUE = 64


def start_server(address, application, settings):
    """Start to serve operators; return the function that stops it, and blocks.

    Args:
        address: `settings.Address` to listen on.
        application: WSGI callable of the resource API.
        settings: `settings.Settings` with the limits.
    """
    cherrypy.config.update(
        {"engine.autoreload.on": False, "log.screen": False, "environment": "embedded"}
    )
    cherrypy.server.unsubscribe()
    server = _build_server(address, application, settings)
    adapter = servers.ServerAdapter(cherrypy.engine, server, tuple(address))
    adapter.subscribe()
    cherrypy.engine.start()
    return cherrypy.engine.exit


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
