"""Plays meshes that are drawn from seeds, and checks what must always hold of each."""

import argparse
import asyncio
import random
import sys
from typing import NamedTuple

from . import caller, draws, load, logs, mesh, promises, troubles

# Seconds that what was in flight at the end gets to come to its end.
SETTLE_SECONDS = 1.0
# Seconds after the last trouble in which all requests have to be served again. A
# backend server that was set aside is tried again within them.
RECOVERY_SECONDS = 15.0
# Callers of the last look wait longer: it tells who is served, not how fast.
PATIENT_SECONDS = 8.0
# Of them ask at once; more would be a surge of their own.
CALLERS = 4
# Entries at which they ask.
MOST_ENTRIES = 8


class Verdict(NamedTuple):
    """What came of a play.

    Attributes:
        play: The `draws.Play`.
        broken: `promises.Broken` tuples.
        whole: Share of all requests answered whole.
        recovered: Whether each kind was served again, at several entries.
    """

    play: draws.Play
    broken: tuple[promises.Broken, ...]
    whole: float
    recovered: bool


async def play(drawn):
    """Play a `draws.Play` and return its `Verdict`."""
    async with mesh.Mesh(drawn.services, drawn.configuration, drawn.zones) as running:
        draw = random.Random(drawn.seed)
        scene = troubles.Scene(running, drawn.configuration, draw)
        entries = [member.callers for member in running.members]
        async with asyncio.TaskGroup() as group:
            for moment in drawn.troubles:
                group.create_task(_befall(scene, moment))
            playing = group.create_task(
                load.play(entries, drawn.flows, drawn.phases, drawn.seed)
            )
        told = [result.told for result in playing.result()]
        served = sum(each.whole for each in told) / max(1, len(told))
        looked_at = draw.sample(entries, min(MOST_ENTRIES, len(entries)))
        recovered = await _wait_for_service(drawn, looked_at, told)
        await asyncio.sleep(SETTLE_SECONDS)
        seen = promises.Seen(
            tuple(told),
            tuple(member.backend for member in running.members),
            tuple(scene.left),
            running.members[0].settings.repeats,
        )
        broken = promises.find_broken(seen)
    return Verdict(drawn, tuple(broken), served, recovered)


async def _befall(scene, moment):
    await asyncio.sleep(moment.at)
    await troubles.TROUBLES[moment.trouble](scene)


async def _wait_for_service(drawn, entries, told):
    """Return whether each kind is served again in time at some entries."""
    missing = [
        (entry, flow.kind._replace(deadline=PATIENT_SECONDS))
        for entry in entries
        for flow in drawn.flows
    ]
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVERY_SECONDS
    while missing and loop.time() < until:
        missing = [
            wanted
            for start in range(0, len(missing), CALLERS)
            for wanted in await _ask_part(missing[start : start + CALLERS], told)
        ]
    return not missing


async def _ask_part(part, told):
    """Return those pairs of entry and kind that weren't served."""
    answers = await asyncio.gather(*(caller.ask(entry, kind) for entry, kind in part))
    told.extend(answers)
    pairs = zip(part, answers, strict=True)
    return [wanted for wanted, answer in pairs if not answer.whole]


def describe(verdict):
    """Return the lines that tell a `Verdict`."""
    drawn = verdict.play
    names = ", ".join(f"{m.trouble} {m.at:.1f} s" for m in drawn.troubles)
    daemons = sum(service.endpoints for service in drawn.services)
    recovered = "" if verdict.recovered else ", NOT SERVED AGAIN"
    lines = [
        f"seed {drawn.seed}: {daemons} daemons, {len(drawn.services)} services,"
        f" {len(drawn.zones)} zones; {names}; {verdict.whole:.2f} whole{recovered}"
    ]
    lines += [f"  BROKEN {each.promise}: {each.seen}" for each in verdict.broken]
    return lines


def main(arguments=None):
    """Run the command; return 1 if anything was broken or not served again."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="of the first mesh")
    parser.add_argument("--count", type=int, default=10, help="of meshes")
    parser.add_argument(
        "--factor", type=int, default=1, help="multiple of the usual endpoints"
    )
    parser.add_argument("--log", metavar="FILE", help="for the daemons' log lines")
    options = parser.parse_args(arguments)
    if options.log:
        logs.install_log(options.log)
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        drawn = draws.draw_play(seed, sorted(troubles.TROUBLES), options.factor)
        verdict = asyncio.run(play(drawn))
        failed += bool(verdict.broken) or not verdict.recovered
        print("\n".join(describe(verdict)), flush=True)
    print(f"{options.count} meshes, {failed} with something broken")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
