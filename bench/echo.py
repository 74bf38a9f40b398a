"""Servers that answer immediately, to measure each layer of a daemon's HTTP path.

``python -m bench.echo LAYER --address HOST:PORT`` starts the server of one layer.
"""

import argparse
import asyncio
import threading

from cheroot import wsgi

from standins import serving
from whinwinch.http1 import server
from whinwinch.http1.messages import HttpResponse

BODY = b"{}"
THREADS = 32


def answer_http(environ, start_response):
    """Answer any request immediately; a WSGI callable."""
    del environ
    start_response("200 OK", [("Content-Length", str(len(BODY)))])
    return [BODY]


def start_cheroot(address):
    """Serve `answer_http` with cheroot alone; return a function that stops it."""
    server = wsgi.Server(tuple(address), answer_http, numthreads=THREADS)
    server.keep_alive_conn_limit = None
    server.prepare()
    serving.start_server(server)
    return server.stop


def start_cherrypy(address):
    """Serve `answer_http` grafted into cherrypy; return a function that stops it."""
    import cherrypy

    cherrypy.config.update(
        {
            "server.socket_host": address.host,
            "server.socket_port": address.port,
            "server.thread_pool": THREADS,
            "engine.autoreload.on": False,
            "log.screen": False,
        }
    )
    cherrypy.tree.graft(answer_http, "/")
    cherrypy.engine.start()
    cherrypy.server.httpserver.keep_alive_conn_limit = None
    return cherrypy.engine.exit


def start_page(address):
    """Serve with a page handler of cherrypy; return a function that stops it."""
    import cherrypy

    class Root:
        @cherrypy.expose
        def index(self):
            return BODY

    stop = start_cherrypy(address)
    cherrypy.tree.apps.clear()
    cherrypy.tree.mount(Root(), "/")
    return stop


def start_loop(address):
    """Serve with `whinwinch.http1.server` on an event loop in a thread.

    Returns:
        A function that stops the event loop.
    """
    loop = asyncio.new_event_loop()

    async def answer(http, sender):
        del http, sender
        return HttpResponse(200, "OK", body=BODY)

    async def listen():
        await server.Server(answer, server.Limits()).listen(*address)

    loop.run_until_complete(listen())
    threading.Thread(target=loop.run_forever, daemon=True).start()
    return lambda: loop.call_soon_threadsafe(loop.stop)


# Functions that start a server and return a function that stops it.
LAYERS = {
    "cheroot": start_cheroot,
    "cherrypy": start_cherrypy,
    "page": start_page,
    "loop": start_loop,
}


def main(arguments=None):
    """Start the server of one layer and stop it at SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("layer", choices=LAYERS)
    parser.add_argument("--address", type=serving.parse_address, required=True)
    options = parser.parse_args(arguments)
    stop = LAYERS[options.layer](options.address)
    serving.wait_for_signal()
    stop()


if __name__ == "__main__":
    main()
