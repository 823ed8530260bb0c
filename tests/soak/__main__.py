"""Plays many seeds of the soak by hand: ``python -m tests.soak --count 50``."""

import argparse
import asyncio
import pathlib
import random
import sys
import tempfile

from tests.soak.faults import draw_series
from tests.soak.run import play_seed


async def _play(first: int, count: int, jobs: int, logs: pathlib.Path) -> int:
    places = asyncio.Semaphore(jobs)

    async def play(seed: int) -> bool:
        async with places:
            folder = logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            verdict = await play_seed(seed, folder)
        for line in verdict.broken:
            sys.stdout.write(f'seed {seed}: {line}\n')
        sys.stdout.write(
            f'seed {seed}: {"BROKEN" if verdict.broken else "held"}, '
            f'{verdict.served} of {verdict.sent} requests served\n'
        )
        sys.stdout.flush()
        return not verdict.broken

    results = await asyncio.gather(
        *(play(seed) for seed in range(first, first + count))
    )
    sys.stdout.write(f'{sum(results)} held, {count - sum(results)} broken\n')
    return count - sum(results)


def main() -> int:
    """Play the seeds and return the number of those that broke a promise."""
    parser = argparse.ArgumentParser(description='Randomized fault soak')
    parser.add_argument('--first', type=int, default=1, help='first seed')
    parser.add_argument('--count', type=int, default=50, help='seeds')
    parser.add_argument('--jobs', type=int, default=3, help='at the same time')
    parser.add_argument('--logs', type=pathlib.Path, help='folder of logs')
    parser.add_argument('--show', action='store_true', help='only the faults')
    options = parser.parse_args()
    if options.show:
        for fault in draw_series(random.Random(options.first)):
            sys.stdout.write(f'{fault}\n')
        return 0
    logs = options.logs or pathlib.Path(tempfile.mkdtemp(prefix='soak-'))
    sys.stdout.write(f'logs in {logs}\n')
    return asyncio.run(_play(options.first, options.count, options.jobs, logs))


if __name__ == '__main__':
    sys.exit(main())
