"""Simulation of claims under load: many gatekeepers share a log of limited speed.

The log processes one append at a time; reads take it no time. The clock is
simulated, so the figures don't depend on the machine. Run it with::

    python -m test.models.claim_load
"""

import asyncio
import random
from typing import NamedTuple

from test.logservice.test_claimer import START, FakeLog, LogUnavailable, PausedLoop
from whinwinch import claims
from whinwinch.claims import Verdict
from whinwinch.logservice import claimer

GATEKEEPERS_PER_SERVICE = 5
# Seconds from a gatekeeper to the log, and back again.
NETWORK_DELAY = 0.002
# Simulated seconds during which claims arrive.
ARRIVAL_DURATION = 10.0
SEED = 5


class Load(NamedTuple):
    """Parameters of one run.

    Attributes:
        services: Number of services that receive requests with idempotency keys.
        rate: Claims per second at each gatekeeper.
        append_time: Seconds that the log takes to process one append.
    """

    services: int
    rate: float
    append_time: float


class Report(NamedTuple):
    """Results of one run.

    Attributes:
        claim_count: Number of claims made.
        won: Number of claims that won; all should, since all keys differ.
        appends: Appends per second.
        median: Median seconds from claim to verdict.
        slow: Seconds from claim to verdict that 99 in 100 claims stay within.
    """

    claim_count: int
    won: int
    appends: float
    median: float
    slow: float


class SlowLog:
    """A log that processes the appends of all its streams one at a time."""

    def __init__(self, loop, append_time):
        self.loop = loop
        self.append_time = append_time
        self.idle_from = 0.0
        self.appends = 0

    def make_runner(self, log):
        """Return a function that calls the log of one stream in simulated time."""

        async def run(function, *arguments):
            await asyncio.sleep(NETWORK_DELAY)
            if function == log.append:
                self.appends += 1
                self.idle_from = (
                    max(self.idle_from, self.loop.time()) + self.append_time
                )
                await asyncio.sleep(self.idle_from - self.loop.time())
            result = function(*arguments)
            await asyncio.sleep(NETWORK_DELAY)
            return result

        return run


async def make_claim(key_claimer, key, attempt, latencies, verdicts):
    """Claim a key; record the verdict and the seconds until it arrived."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    verdict = await key_claimer.claim(key, attempt, start + 60.0)
    latencies.append(loop.time() - start)
    verdicts.append(verdict.verdict)


async def generate_claims(key_claimer, name, load, generator, latencies, verdicts):
    """Make claims at one gatekeeper at exponentially distributed intervals."""
    loop = asyncio.get_running_loop()
    end = loop.time() + ARRIVAL_DURATION
    tasks = []
    while True:
        await asyncio.sleep(generator.expovariate(load.rate))
        if loop.time() >= end:
            break
        made = START + loop.time()
        key = claims.make_key(made, generator.getrandbits(74))
        attempt = f"{name}.{len(tasks)}"
        tasks.append(
            asyncio.ensure_future(
                make_claim(key_claimer, key, attempt, latencies, verdicts)
            )
        )
    await asyncio.gather(*tasks)


async def run_load(loop, load):
    """Simulate one load and return its `Report`."""
    generator = random.Random(SEED)
    slow_log = SlowLog(loop, load.append_time)
    latencies = []
    verdicts = []
    arrivals = []
    tasks = []
    for service in range(load.services):
        log = FakeLog(loop)
        run = slow_log.make_runner(log)
        for number in range(GATEKEEPERS_PER_SERVICE):
            name = f"{service}.{number}"
            key_claimer = claimer.Claimer(
                log,
                str(service),
                name,
                LogUnavailable,
                run=run,
                draw=generator.random,
            )
            tasks.append(loop.create_task(key_claimer.run()))
            arrivals.append(
                generate_claims(key_claimer, name, load, generator, latencies, verdicts)
            )
    await asyncio.gather(*arrivals)
    for task in tasks:
        task.cancel()
    latencies.sort()
    return Report(
        claim_count=len(latencies),
        won=verdicts.count(Verdict.WON),
        appends=slow_log.appends / loop.time(),
        median=latencies[len(latencies) // 2],
        slow=latencies[len(latencies) * 99 // 100],
    )


def main():
    """Simulate each load and print its report on one line."""
    for load in (
        Load(services=4, rate=10.0, append_time=0.003),
        Load(services=20, rate=10.0, append_time=0.003),
        Load(services=60, rate=2.0, append_time=0.003),
        Load(services=60, rate=10.0, append_time=0.003),
        Load(services=180, rate=2.0, append_time=0.003),
    ):
        loop = PausedLoop()
        report = loop.run_until_complete(run_load(loop, load))
        loop.close()
        print(load, report)


if __name__ == "__main__":
    main()
