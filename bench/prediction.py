"""Measures what learning lengths is worth: ``python -m bench.prediction``.

The scheduler runs without prediction, with what it learns, and with an oracle
that knows every length.
"""

import pathlib
import sys
from typing import Final

from bench.main import HEADER, WORKLOADS, Row, print_row, run_one, write
from bench.policies import PREDICTIONS

RESULTS: Final = pathlib.Path(__file__).parent / 'results' / 'prediction.csv'
LOADS: Final = (100, 130)


def main() -> int:
    """Run every case, print the table and write it as CSV.

    :returns: exit code
    """
    print(HEADER)
    rows: list[Row] = []
    for workload in WORKLOADS:
        for load in LOADS:
            for policy in PREDICTIONS:
                rows.append(run_one(workload, load, 'none', policy))
                print_row(rows[-1])
    write(rows, RESULTS)
    return 0


if __name__ == '__main__':
    sys.exit(main())
