"""Measures how costs grow with the size of a mesh (``make slopes``).

No mesh of processes is started: the states of many daemons run in one process on a
virtual clock, and the transport is measured separately. `docs/CAPACITY.md` derives
the capacity needed in two years from the results.
"""

import argparse
import time

from .sizes import MEMBERS
from .spreads import (
    measure_cut,
    measure_gossip,
    measure_log,
    measure_restart,
    measure_rumours,
)
from .states import (
    measure_calls,
    measure_claims,
    measure_configuration,
    measure_imports,
    measure_members,
    measure_wires,
)


def main():
    """Run the selected measurements and print their tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--only",
        choices=sorted(SLOPES),
        action="append",
        help="measure only this; those ending in -large take a quarter of an hour",
    )
    chosen = parser.parse_args().only or [n for n in SLOPES if n not in SLOW]
    for name in chosen:
        start = time.perf_counter()
        print(f"\n{name}", flush=True)
        for row in SLOPES[name]():
            text = f"  {row.what:<52}{row.size:>16}{row.value:>14,.1f} {row.unit}"
            print(text, flush=True)
        print(f"  ({time.perf_counter() - start:.0f} s)", flush=True)


SLOPES = {
    "imports": measure_imports,
    "members": measure_members,
    "gossip": measure_gossip,
    "rumours": measure_rumours,
    "cut": measure_cut,
    "restart": measure_restart,
    "rumours-large": lambda: measure_rumours(MEMBERS[-1:]),
    "restart-large": lambda: measure_restart(MEMBERS[-1:]),
    "log": measure_log,
    "wire": measure_wires,
    "claims": measure_claims,
    "configuration": measure_configuration,
    "calls": measure_calls,
}
SLOW = ("rumours-large", "restart-large")


if __name__ == "__main__":
    main()
