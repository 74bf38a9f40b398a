"""Runs randomized scenarios and checks the guarantees on each of them."""

import argparse
import asyncio
import random
import sys
from typing import NamedTuple

from whinwinch.workspaces.registry import Quota

from . import caller, disruptions, guarantees, load, logs, mesh, scenarios

# Time for requests in flight at the end of a scenario to finish.
SETTLE_SECONDS = 1.0
# Time after the last disruption within which every kind of request must be served
# again. An endpoint that was set aside is tried again within it.
RECOVERY_SECONDS = 15.0
# Deadline of the requests of the recovery check, which is about being served and not
# about latency.
RECOVERY_DEADLINE_SECONDS = 8.0
# Concurrent requests of the recovery check; more would be a burst of load.
MAX_CONCURRENT_CALLERS = 4
# Entry daemons that the recovery check samples.
MAX_CHECKED_ENTRIES = 8


class Unserved(NamedTuple):
    """A kind of request that was not served again at an entry daemon.

    Attributes:
        entry: "IP:PORT" of the daemon.
        kind: `caller.Kind` of the request.
        answers: `caller.SentAnswer` of each attempt of its last request.
    """

    entry: str
    kind: caller.Kind
    answers: tuple[caller.SentAnswer, ...]


class Verdict(NamedTuple):
    """Result of a scenario.

    Attributes:
        scenario: The `scenarios.Scenario`.
        violations: `guarantees.Violation` tuples.
        whole: Share of the requests of the load that got a complete answer.
        unserved: `Unserved` tuples of what the sampled entry daemons did not serve
            again after the last disruption.
    """

    scenario: scenarios.Scenario
    violations: tuple[guarantees.Violation, ...]
    whole: float
    unserved: tuple[Unserved, ...]

    @property
    def recovered(self):
        """Whether the sampled entry daemons served every kind of request again."""
        return not self.unserved


async def run_scenario(scenario):
    """Run a `scenarios.Scenario` and return its `Verdict`."""
    async with mesh.Mesh(
        scenario.services, scenario.configuration, scenario.zones
    ) as running:
        draw = random.Random(scenario.seed)
        context = disruptions.DisruptionContext(running, scenario.configuration, draw)
        entries = [member.callers for member in running.members]
        async with asyncio.TaskGroup() as group:
            for scheduled in scenario.disruptions:
                group.create_task(_disrupt(context, scheduled))
            load_task = group.create_task(
                load.run_load(entries, scenario.flows, scenario.phases, scenario.seed)
            )
        results = [result.caller_result for result in load_task.result()]
        served = sum(each.whole for each in results) / max(1, len(results))
        checked_entries = draw.sample(entries, min(MAX_CHECKED_ENTRIES, len(entries)))
        unserved = await _wait_for_recovery(scenario, checked_entries, results)
        await asyncio.sleep(SETTLE_SECONDS)
        observations = guarantees.Observations(
            tuple(results),
            tuple(member.backend for member in running.members),
            tuple(context.left),
            running.members[0].settings.repeats,
            *_list_workspaces(scenario, running.members[0].settings.quotas),
        )
        violations = guarantees.find_violations(observations)
    return Verdict(scenario, tuple(violations), served, tuple(unserved))


def _list_workspaces(scenario, terms):
    """Return keys, quotas and terms of a scenario as `guarantees.Observations` has."""
    listed = scenario.configuration.get("tenants", {})
    keys = {key: name for name, each in listed.items() for key in each["api_keys"]}
    quotas = {
        name: Quota(each["rate_per_s"], each["burst"]) for name, each in listed.items()
    }
    return keys, quotas, terms


async def _disrupt(context, scheduled):
    await asyncio.sleep(scheduled.at)
    await disruptions.DISRUPTIONS[scheduled.disruption](context)


async def _wait_for_recovery(scenario, entries, results):
    """Return an `Unserved` for each kind of request that isn't served again in time.

    Adds the results of its requests to `results`.
    """
    missing = [
        Unserved(entry, flow.kind._replace(deadline=RECOVERY_DEADLINE_SECONDS), ())
        for entry in entries
        for flow in scenario.flows
    ]
    loop = asyncio.get_running_loop()
    until = loop.time() + RECOVERY_SECONDS
    while missing and loop.time() < until:
        missing = [
            each
            for start in range(0, len(missing), MAX_CONCURRENT_CALLERS)
            for each in await _send_batch(
                missing[start : start + MAX_CONCURRENT_CALLERS], results
            )
        ]
    return missing


async def _send_batch(part, results):
    """Send a request of each `Unserved` again; return those that still are."""
    answers = await asyncio.gather(
        *(caller.send_with_retries(each.entry, each.kind) for each in part)
    )
    results.extend(answers)
    return [
        each._replace(answers=answer.answers)
        for each, answer in zip(part, answers, strict=True)
        if not answer.whole
    ]


def describe(verdict):
    """Return the lines that describe a `Verdict`."""
    scenario = verdict.scenario
    names = ", ".join(f"{m.disruption} {m.at:.1f} s" for m in scenario.disruptions)
    daemons = sum(service.endpoints for service in scenario.services)
    recovered = "" if verdict.recovered else ", NOT RECOVERED"
    lines = [
        f"seed {scenario.seed}: {daemons} daemons, {len(scenario.services)} services,"
        f" {len(scenario.zones)} zones; {names}; {verdict.whole:.2f} whole{recovered}"
    ]
    lines += [
        f"  VIOLATED {each.guarantee}: {each.details}" for each in verdict.violations
    ]
    lines += [
        f"  UNSERVED {each.kind.host}{each.kind.path} at {each.entry}: "
        + ", ".join(f"{sent.status} {sent.reason}" for sent in each.answers)
        for each in verdict.unserved
    ]
    return lines


def main(arguments=None):
    """Run the command; return 1 after any violation or missing recovery."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, default=1, help="seed of the first scenario"
    )
    parser.add_argument("--count", type=int, default=10, help="number of scenarios")
    parser.add_argument(
        "--factor", type=int, default=1, help="factor on the number of endpoints"
    )
    parser.add_argument(
        "--workspaces", action="store_true", help="with keys and quotas"
    )
    parser.add_argument("--log", metavar="FILE", help="file for the daemons' log lines")
    options = parser.parse_args(arguments)
    if options.log:
        logs.install_log(options.log)
    failed = 0
    for seed in range(options.seed, options.seed + options.count):
        scenario = scenarios.draw_scenario(
            seed, sorted(disruptions.DISRUPTIONS), options.factor
        )
        if options.workspaces:
            scenario = scenarios.add_workspaces(scenario)
        verdict = asyncio.run(run_scenario(scenario))
        failed += bool(verdict.violations) or not verdict.recovered
        print("\n".join(describe(verdict)), flush=True)
    print(f"{options.count} scenarios, {failed} failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
