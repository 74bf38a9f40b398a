"""Trial of claims under load: many gatekeepers, one log of limited speed.

The log works on one append after the other; reads cost it nothing. The clock
is simulated, so the figures do not hang on the machine. Run it with::

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
CROSSING = 0.002
SECONDS = 10.0
SEED = 5


class Load(NamedTuple):
    """What a trial varies.

    Attributes:
        services: Services with keyed work.
        rate: Claims a second at each gatekeeper.
        append_time: Seconds that the log works on one append.
    """

    services: int
    rate: float
    append_time: float


class Report(NamedTuple):
    """What came out.

    Attributes:
        asked: Claims made.
        won: Claims that won; all keys differ, so all should.
        appends: Appends a second.
        median: Median seconds from claim to verdict.
        slow: The same for 99 in 100.
    """

    asked: int
    won: int
    appends: float
    median: float
    slow: float


class SlowLog:
    """A log whose appends of all streams pass one after the other."""

    def __init__(self, loop, append_time):
        self.loop = loop
        self.append_time = append_time
        self.free = 0.0
        self.appends = 0

    def make_runner(self, log):
        """Return the function that calls one stream's log in simulated time."""

        async def run(function, *arguments):
            await asyncio.sleep(CROSSING)
            if function == log.append:
                self.appends += 1
                self.free = max(self.free, self.loop.time()) + self.append_time
                await asyncio.sleep(self.free - self.loop.time())
            result = function(*arguments)
            await asyncio.sleep(CROSSING)
            return result

        return run


async def ask(one, key, attempt, waits, verdicts):
    """Claim a key and note how long it took."""
    loop = asyncio.get_running_loop()
    begun = loop.time()
    verdict = await one.claim(key, attempt, begun + 60.0)
    waits.append(loop.time() - begun)
    verdicts.append(verdict.verdict)


async def arrive(one, name, load, generator, waits, verdicts):
    """Let claims arrive at one gatekeeper at random."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    asks = []
    while True:
        await asyncio.sleep(generator.expovariate(load.rate))
        if loop.time() >= end:
            break
        made = START + loop.time()
        key = claims.make_key(made, generator.getrandbits(74))
        attempt = f"{name}.{len(asks)}"
        asks.append(asyncio.ensure_future(ask(one, key, attempt, waits, verdicts)))
    await asyncio.gather(*asks)


async def run_load(loop, load):
    """Run one trial and return its `Report`."""
    generator = random.Random(SEED)
    slow_log = SlowLog(loop, load.append_time)
    waits = []
    verdicts = []
    arrivals = []
    tasks = []
    for service in range(load.services):
        log = FakeLog(loop)
        run = slow_log.make_runner(log)
        for number in range(GATEKEEPERS_PER_SERVICE):
            name = f"{service}.{number}"
            one = claimer.Claimer(
                log,
                str(service),
                name,
                LogUnavailable,
                run=run,
                draw=generator.random,
            )
            tasks.append(loop.create_task(one.run()))
            arrivals.append(arrive(one, name, load, generator, waits, verdicts))
    await asyncio.gather(*arrivals)
    for task in tasks:
        task.cancel()
    waits.sort()
    return Report(
        asked=len(waits),
        won=verdicts.count(Verdict.WON),
        appends=slow_log.appends / loop.time(),
        median=waits[len(waits) // 2],
        slow=waits[len(waits) * 99 // 100],
    )


def main():
    """Print one line for each load."""
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
