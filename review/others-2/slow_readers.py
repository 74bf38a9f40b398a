"""Clients that read slowly fill a daemon's memory; payouts in flight are lost."""

import asyncio
import pathlib
import socket
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "parts-2"))
import kit

MEMORY_MB = 300
ANSWER_BYTES = 4 << 20
READERS = 200
READS_PER_SECOND = 20.0
# Bytes a second at which a slow client reads.
SLOW_RATE = 64 << 10
PAYERS = 10
PAYOUT_SECONDS = 0.3


class Files(kit.Endpoint):
    """An endpoint with long answers."""

    async def answer(self, method, target, pairs, body, writer):
        """Return the bytes of an answer, long for a request that ran."""
        data = await super().answer(method, target, pairs, body, writer)
        if not data.startswith(b"HTTP/1.1 200") or target == "/healthz":
            return data
        head, _, _ = data.partition(b"\r\nContent-Length")
        return (
            head
            + b"\r\nContent-Length: %d\r\n\r\n" % ANSWER_BYTES
            + bytes(ANSWER_BYTES)
        )


async def case(record, folder, daemons, trouble):
    """Play the case; return whether the rule held, None if it couldn't run."""
    store = kit.Store(record)
    store_port = await store.listen()
    routes = {
        "r-file": kit.build_route("/file/", "files", "safe"),
        "r-pay": kit.build_route("/pay/", "pay", "unsafe"),
    }
    store.put("keyed.op", "config", kit.build_configuration(7, routes))
    endpoints = []
    for number, service in enumerate(("desk", "files", "pay"), 1):
        daemon = kit.Daemon(record, folder, f"sidecar-{number}", service, store_port)
        daemons.append(daemon)
        await daemon.start()
        kind = Files if service == "files" else kit.Endpoint
        work = PAYOUT_SECONDS if service == "pay" else 0.02
        endpoint = kind(record, f"i-{number}", service, slots=64, work=work)
        endpoint.control = daemon.control
        await endpoint.start(daemon.app)
        endpoints.append(endpoint)
    tasks = [asyncio.ensure_future(each.keep_reporting()) for each in endpoints]

    async def all_ready():
        return all([await each.is_ready() for each in daemons])

    if not await kit.wait_until(all_ready, 15):
        return None
    await asyncio.sleep(2.0)
    entry, memory = daemons[0], kit.MemoryLimit(record, MEMORY_MB)
    tasks += [asyncio.ensure_future(memory.watch(each)) for each in daemons]
    payouts, reads, stop = {}, {}, asyncio.Event()

    async def pay(number):
        connection, count = kit.KeptConnection(entry.outbound), 0
        while not stop.is_set():
            count += 1
            name = f"pay-{number}-{count}"
            payouts[name] = await connection.post(f"/pay/{number}", name, b"amount=10")
            record.write(f"client {name} gets {payouts[name]}")
            if payouts[name] != 200:
                await asyncio.sleep(0.3)

    async def read_file(number):
        """Read a file: at once, or slowly as some clients do."""
        name, got = f"file-{number}", 0
        reads[name] = 0
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 << 10)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(sock, (kit.LOCAL, entry.outbound))
            head = (
                f"GET /file/{number} HTTP/1.1\r\nHost: h.example\r\n"
                f"X-Request-Id: {name}\r\nX-Deadline-Ms: 5000\r\n\r\n"
            )
            await loop.sock_sendall(sock, head.encode())
            while got < ANSWER_BYTES and not stop.is_set():
                data = await asyncio.wait_for(loop.sock_recv(sock, 16 << 10), 6.0)
                if not data:
                    break
                got += len(data)
                if trouble:
                    await asyncio.sleep(len(data) / SLOW_RATE)
        except (OSError, TimeoutError):
            pass
        finally:
            sock.close()
        reads[name] = got
        record.write(f"client {name} has read {got} bytes")

    payers = [asyncio.ensure_future(pay(number)) for number in range(PAYERS)]
    await asyncio.sleep(2.0)
    readers = []
    for number in range(READERS):
        readers.append(asyncio.ensure_future(read_file(number)))
        await asyncio.sleep(1.0 / READS_PER_SECOND)
    await asyncio.sleep(3.0)
    stop.set()
    await asyncio.gather(*payers, *readers)
    for task in tasks:
        task.cancel()
    ran = {run[1] for run in endpoints[2].runs}
    lost = [name for name, status in payouts.items() if not status and name in ran]
    whole = sum(got >= ANSWER_BYTES for got in reads.values())
    record.write(
        f"{len(payouts)} payouts, {len(reads)} files of {ANSWER_BYTES >> 20} MiB, "
        f"{whole} read whole, peaks {memory.peaks}, processes killed for their memory: "
        f"{len(memory.kills)}, payouts that ran and whose connection closed without an "
        f"answer: {len(lost)}"
    )
    return len(lost) <= 3


kit.run_case(case)
