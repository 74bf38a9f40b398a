"""HTTP serving by cherrypy: its engine, its server, one for each address."""

import cherrypy
from cheroot import wsgi
from cherrypy.process import servers

from . import strictness

# A caller that stops half way through its request is let go after this.
SOCKET_TIMEOUT = 10.0
# Kept connections that may wait for their next request.
KEPT_CONNECTIONS = 2000
ACCEPT_QUEUE = 256


def build_server(address, app, settings):
    """Return a server for one address; `start_engine` starts it.

    Args:
        address: `settings.Address` to listen on.
        app: WSGI callable.
        settings: `settings.Settings` with threads and limits.
    """
    server = wsgi.Server(
        tuple(address),
        app,
        numthreads=settings.threads,
        request_queue_size=ACCEPT_QUEUE,
        timeout=SOCKET_TIMEOUT,
        shutdown_timeout=1,
    )
    server.max_request_header_size = settings.max_header
    server.max_request_body_size = settings.max_body
    server.keep_alive_conn_limit = KEPT_CONNECTIONS
    server.server_name = "whinwinch"
    server.ConnectionClass = strictness.StrictConnection
    return server


def start_engine(named_servers):
    """Start all servers on cherrypy's engine.

    Args:
        named_servers: Pairs of `settings.Address` and server.
    """
    cherrypy.config.update(
        {"engine.autoreload.on": False, "log.screen": False, "environment": "embedded"}
    )
    cherrypy.server.unsubscribe()
    for address, server in named_servers:
        adapter = servers.ServerAdapter(cherrypy.engine, server, tuple(address))
        adapter.subscribe()
    cherrypy.engine.start()


def stop_engine():
    """Stop all servers; requests in flight have ended before."""
    cherrypy.engine.exit()


def build_dispatcher(calls, admin, probes):
    """Return the WSGI callable for the callers' address.

    Args:
        calls: WSGI callable for ``/services/``.
        admin: WSGI callable for ``/admin``.
        probes: Maps a path such as ``/health`` to a function that returns the
            status and the text of its answer.
    """

    def dispatch(environ, start_response):
        path = environ.get("PATH_INFO", "")
        if path.startswith("/services/"):
            return calls(environ, start_response)
        if path == "/admin" or path.startswith("/admin/"):
            return admin(environ, start_response)
        probe = probes.get(path)
        if probe is None:
            return _send(start_response, "404 Not Found", "no such path\n")
        return _send(start_response, *probe())

    return dispatch


def _send(start_response, status, text):
    body = text.encode()
    start_response(
        status,
        [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))],
    )
    return [body]
