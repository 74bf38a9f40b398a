"""How costs grow with size, measured in one process (``make slopes``).

Each table has three sizes or more. Nothing here is a mesh of processes: many
instances of the state run in one, on a clock that jumps, and the transport is
measured by itself. `docs/CAPACITY.md` works the size of two years out of them.
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
    """Run the measurements that are asked for and print them as tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--only",
        choices=sorted(SLOPES),
        action="append",
        help="measure only this; what ends in -large takes a quarter of an hour",
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
