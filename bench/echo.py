"""Servers that answer at once, each one layer of a daemon's path by itself.

``python -m bench.echo LAYER --address HOST:PORT``.
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
    """Answer any request at once; a WSGI callable."""
    del environ
    start_response("200 OK", [("Content-Length", str(len(BODY)))])
    return [BODY]


def start_cheroot(address):
    """Serve the callable by cheroot alone."""
    server = wsgi.Server(tuple(address), answer_http, numthreads=THREADS)
    server.keep_alive_conn_limit = None
    server.prepare()
    serving.start_server(server)
    return server.stop


def start_cherrypy(address):
    """Serve the callable as one grafted into cherrypy's tree."""
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
    """Serve by a page handler of cherrypy's dispatcher."""
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
    """Serve on an event loop by the package's own HTTP server, on a thread."""
    loop = asyncio.new_event_loop()

    async def answer(http, sender):
        del http, sender
        return HttpResponse(200, "OK", body=BODY)

    async def listen():
        await server.Server(answer, server.Limits()).listen(*address)

    loop.run_until_complete(listen())
    threading.Thread(target=loop.run_forever, daemon=True).start()
    return lambda: loop.call_soon_threadsafe(loop.stop)


# Each starts a server and returns the function that stops it.
LAYERS = {
    "cheroot": start_cheroot,
    "cherrypy": start_cherrypy,
    "page": start_page,
    "loop": start_loop,
}


def main(arguments=None):
    """Serve one layer until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("layer", choices=LAYERS)
    parser.add_argument("--address", type=serving.parse_address, required=True)
    options = parser.parse_args(arguments)
    stop = LAYERS[options.layer](options.address)
    serving.wait_for_signal()
    stop()


if __name__ == "__main__":
    main()
