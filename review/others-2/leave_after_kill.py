"""Endpoints that leave right after a kill of their daemons are refused for good."""

import asyncio
import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "parts-2"))
import kit

SERVICES = ("pay", "pay", "shop", "shop")
RATE = 40.0
RESTART_SECONDS = 0.5
DOWN_SECONDS = 1.3
RECOVERY_SECONDS = 15.0
MEASURED_SECONDS = 8.0
# Seconds after which an endpoint that was not acknowledged asks again.
AGAIN_SECONDS = 0.2


async def leave(endpoint):
    """Say DELETE until it is acknowledged, as before a planned shutdown."""
    while await endpoint.report("DELETE") != 200:
        await asyncio.sleep(AGAIN_SECONDS)


async def case(record, folder, daemons, trouble):
    """Play the case; return whether the rule held, None if it couldn't run."""
    store = kit.Store(record)
    store_port = await store.listen()
    routes = {
        "r-pay": kit.build_route("/pay/", "pay", "unsafe"),
        "r-shop": kit.build_route("/shop/", "shop", "safe"),
    }
    store.put("keyed.op", "config", kit.build_configuration(7, routes))
    endpoints, beats = [], []
    for number, service in enumerate(SERVICES, 1):
        daemon = kit.Daemon(record, folder, f"sidecar-{number}", service, store_port)
        daemons.append(daemon)
        await daemon.start()
        endpoint = kit.Endpoint(record, f"i-{number}", service)
        endpoint.control = daemon.control
        await endpoint.start(daemon.app)
        endpoints.append(endpoint)
        beats.append(asyncio.ensure_future(endpoint.keep_reporting()))

    async def all_ready():
        return all([await each.is_ready() for each in daemons])

    if not await kit.wait_until(all_ready, 15):
        return None
    await asyncio.sleep(2.0)
    answers, stop = [], asyncio.Event()

    async def send(number):
        name, began = f"req-{number}", record.now()
        is_payout = number % 2 == 0
        headers = (("X-Request-Id", name), ("X-Deadline-Ms", "5000"))
        method, path = ("POST", "/pay/1") if is_payout else ("GET", "/shop/1")
        body = b"amount=10" if is_payout else b""
        port = daemons[number // 2 % len(daemons)].outbound
        try:
            status, _, _ = await kit.send_http(port, method, path, headers, body, 6.0)
        except (OSError, TimeoutError):
            status = 0
        answers.append((began, status))
        record.write(f"client {name} {method} {path} gets {status}")

    async def press():
        tasks = []
        for number in itertools.count():
            if stop.is_set():
                break
            tasks.append(asyncio.ensure_future(send(number)))
            await asyncio.sleep(1.0 / RATE)
        await asyncio.gather(*tasks)

    def find_share(first, last):
        statuses = [status for began, status in answers if first <= began < last]
        return sum(status == 200 for status in statuses) / max(1, len(statuses))

    clients = asyncio.ensure_future(press())
    began = record.now()
    await asyncio.sleep(4.0)
    before = find_share(began, record.now())
    for beat in beats:
        beat.cancel()
    if trouble:
        record.write("all daemons are killed")
        for daemon in daemons:
            await daemon.end()
        await asyncio.sleep(RESTART_SECONDS)
        for daemon in daemons:
            await daemon.start()
        if not await kit.wait_until(all_ready, 5):
            return None
    # Planned: the endpoints leave, before their next heartbeats are due.
    await asyncio.wait_for(asyncio.gather(*map(leave, endpoints)), 10.0)
    # The final fault, right after the acknowledgements: all machines lose power.
    await asyncio.sleep(0.1)
    record.write("all machines lose power")
    for endpoint in endpoints:
        endpoint.crash()
    for daemon in daemons:
        await daemon.end()
    await asyncio.sleep(DOWN_SECONDS)
    for daemon, endpoint in zip(daemons, endpoints, strict=True):
        await daemon.start()
        await endpoint.restart()
    beats = [asyncio.ensure_future(each.keep_reporting()) for each in endpoints]
    record.write("all machines are back, each endpoint under its identifier")
    measured = record.now() + RECOVERY_SECONDS
    await asyncio.sleep(RECOVERY_SECONDS + MEASURED_SECONDS)
    stop.set()
    await clients
    after = find_share(measured, measured + MEASURED_SECONDS)
    for beat in beats:
        beat.cancel()
    record.write(
        f"served before the fault {before:.3f}; later than {RECOVERY_SECONDS} s after "
        f"the machines were back {after:.3f}; answers then: "
        f"{sorted({status for began, status in answers if began >= measured})}"
    )
    if before < 0.5:
        return None
    return after >= 0.25


kit.run_case(case)
