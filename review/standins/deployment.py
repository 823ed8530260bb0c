"""Starts the role of the deploy file, as DEPLOY.md says, on loopback."""

import asyncio
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
# The site of the cases has no roll-outs; the platform renders a bound that a
# site doesn't have as an empty text.
NO_ROLLOUTS = {'expose_share': '', 'expose_slack': '', 'rollback_ms': ''}


class Unable(Exception):
    """The case could not run."""


def free_ip(ports: tuple[int, ...]) -> str:
    """Return a loopback address at which some ports are free."""
    for _ in range(200):
        ip = f'127.{random.randint(20, 120)}.{random.randint(0, 250)}.1'
        try:
            for port in ports:
                with socket.socket() as one:
                    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    one.bind((ip, port))
        except OSError:
            continue
        return ip
    raise Unable('no free loopback address')


def free_port(ip: str) -> int:
    """Return a free port."""
    with socket.socket() as one:
        one.bind((ip, 0))
        return one.getsockname()[1]


class Machine:
    """One edge machine with the process of the deploy file's role."""

    def __init__(
        self, name: str, zone: str, store: str, bounds: dict[str, object]
    ) -> None:
        self.name = name
        self.ip = free_ip((7200, 7201))
        self.front = f'{self.ip}:{free_port(self.ip)}'
        self.ready = f'{self.ip}:{free_port(self.ip)}'
        self.process: asyncio.subprocess.Process | None = None
        self._settings = {
            'node_name': name,
            'zone': zone,
            'ip': self.ip,
            'listen': {'front': self.front, 'ready': self.ready},
            'port_range': ['7200', '7215'],
            'platform': {'address': store},
            'limits': {'link_mbps': '1000.0'},
            'bounds': {**NO_ROLLOUTS, **bounds},
        }

    def _value(self, path: str) -> str:
        found: object = self._settings
        for name in path.split('.'):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)

    async def start(self, log: pathlib.Path) -> None:
        """Start the process, and wait until the machine is ready."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        role = deploy['roles']['relay']
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        for name, text in role['env'].items():
            environment[name] = re.sub(
                r'{{([^}]+)}}', lambda found: self._value(found[1]), text
            )
        with log.open('wb') as output:
            self.process = await asyncio.create_subprocess_exec(
                *role['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        for _ in range(150):
            await asyncio.sleep(0.1)
            if self.process.returncode is not None:
                raise Unable(f'{self.name} ended at its start')
            if await self.is_ready(0.5):
                return
        raise Unable(f'{self.name} was not ready in time')

    async def is_ready(self, timeout_s: float) -> bool:
        """Return whether the machine says that it is ready."""
        host, _, port = self.ready.rpartition(':')
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    b'GET /mastichatch/ready HTTP/1.1\r\nHost: x\r\n'
                    b'Connection: close\r\n\r\n'
                )
                return (await reader.readline()).split()[1:2] == [b'200']
        except (OSError, TimeoutError):
            return False
        finally:
            if writer is not None:
                writer.close()

    async def stop(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()


class Record:
    """What was sent, answered and run, as written to ``record.txt``."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._lines: list[str] = []
        self._started_at = asyncio.get_running_loop().time()

    def write(self, text: str) -> None:
        """Add a line with the time since the start."""
        at = asyncio.get_running_loop().time() - self._started_at
        self._lines.append(f'{at:8.3f} {text}')

    def save(self, verdict: str) -> None:
        """Write the file, and print the verdict."""
        trouble = 'with' if TROUBLE else 'without'
        text = '\n'.join([f'{verdict} ({trouble} trouble)', *self._lines, ''])
        self._path.write_text(text)
        print(verdict)


def run_case(folder: str, play) -> int:
    """Run a case within its time, and return the exit code."""

    async def run() -> int:
        record = Record(pathlib.Path(folder) / 'record.txt')
        try:
            async with asyncio.timeout(110):
                is_broken, verdict = await play(record)
        except Exception as error:
            # An exit code of 1 would say that the rule was broken.
            record.save(f'the case could not run: {error!r}')
            return 2
        record.save(verdict)
        return int(is_broken)

    return asyncio.run(run())


__all__ = ('TROUBLE', 'Machine', 'Record', 'Unable', 'free_ip', 'run_case', 'sys')
