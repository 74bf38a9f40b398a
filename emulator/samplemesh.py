"""A small sample mesh: two upstream services call a downstream one."""

from . import backend, caller, load, mesh

DEEP_CALL = backend.Call("deep.example", "/queue/", 0.7)
MIDDLE_CALL = backend.Call("middle.example", "/index/", 2.0)

SERVICES = (
    mesh.Service(
        "front",
        2,
        40,
        {
            "/browse/": backend.Work(0.05, (MIDDLE_CALL,), 2000),
            "/pay/": backend.Work(0.12, (MIDDLE_CALL, MIDDLE_CALL), 2000),
        },
    ),
    mesh.Service("middle", 2, 40, {"/index/": backend.Work(0.01, (DEEP_CALL,) * 2)}),
    mesh.Service(
        "deep", 2, 2, {"/queue/": backend.Work(0.02), "/status/": backend.Work(0.03)}
    ),
)


def build_route(host, prefix, service, kind, priority, timeout, objective):
    """Return a route as the operator writes it, with times in milliseconds."""
    return {
        "host": host,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "priority": priority,
        "timeout": f"{timeout}ms",
        "target_latency": f"{objective}ms",
        "max_attempts": 2,
    }


ROUTES = {
    "browse": build_route("f.example", "/browse/", "front", "safe", 2, 3000, 1000),
    "pay": build_route("f.example", "/pay/", "front", "unsafe", 0, 800, 800),
    "status": build_route("d.example", "/status/", "deep", "safe", 1, 600, 150),
    "index": build_route("middle.example", "/index/", "middle", "safe", 1, 2000, 800),
    "queue": build_route("deep.example", "/queue/", "deep", "safe", 1, 700, 300),
}
CONFIGURATION = {"version": "r3", "routes": ROUTES, "services": {}, "limits": {}}

# At these rates, 1.5 of the 4 slots of the service "deep" are in use.
FLOWS = (
    load.Flow("pay", caller.Kind("f.example", "/pay/1", "POST", 0.8, 0.8, 3.0), 6),
    load.Flow("status", caller.Kind("d.example", "/status/1", "GET", 0.6, 0.15, 2), 10),
    load.Flow("browse", caller.Kind("f.example", "/browse/1", "GET", 3.0, 1.0), 17),
)
