"""Stand-in for a plain service that records what it executes."""

import asyncio
import time
import uuid

from aiohttp import web

from tests.standins import serving


class Record:
    """What was executed, and the faults that tests set."""

    def __init__(self, cold_s: float) -> None:
        """Start a new boot, cold for a while."""
        self.boot_id = uuid.uuid4().hex
        self.cold_until = time.monotonic() + cold_s
        self.executions: list[serving.Body] = []
        self.running = 0
        self.peaks = {'peak': 0, 'peak_cold': 0}
        self.thawed = asyncio.Event()
        self.faults: serving.Body = {}
        self.change({})

    def change(self, body: serving.Body) -> None:
        """Apply a control call."""
        self.faults.update(body)
        if self.faults.get('freeze'):
            self.thawed.clear()
        else:
            self.thawed.set()

    def enter(self) -> None:
        """Count a call that came in."""
        self.running += 1
        for name, peak in self.peaks.items():
            if name == 'peak' or time.monotonic() < self.cold_until:
                self.peaks[name] = max(peak, self.running)

    async def pause(self, name: str) -> None:
        """Wait for a delay that tests set, and while frozen."""
        await asyncio.sleep(self.faults.get(name, 0) / 1000)
        await self.thawed.wait()

    def execute(self, request: web.Request, body: object) -> serving.Body:
        """Note an execution and return its result, which names the call."""
        execution = {
            'request_id': request.headers.get('Request-Id', ''),
            'operation': request.match_info['operation'],
            'body': body,
            'order': len(self.executions),
        }
        self.executions.append(execution | {'at': time.monotonic()})
        return execution | {'boot_id': self.boot_id}


def create_service(cold_ms: float = 0) -> web.Application:
    """Return the stand-in; needs a running loop.

    :param cold_ms: time after the start in which calls count as cold
    """
    record = Record(cold_ms / 1000)
    faults = record.faults

    async def operate(request: web.Request) -> web.Response:
        body = await request.json()
        # A call that arrived runs, also when its caller has gone.
        return await asyncio.shield(count(request, body))

    async def count(request: web.Request, body: object) -> web.Response:
        record.enter()
        try:
            return await handle(request, body)
        finally:
            record.running -= 1

    async def handle(request: web.Request, body: object) -> web.Response:
        await record.pause('delay_ms')
        if faults.get('refuse_status'):
            return web.json_response({}, status=faults['refuse_status'])
        result = record.execute(request, body)
        await record.pause('answer_delay_ms')
        if faults.get('cut_after_run'):
            serving.cut(request)
        status = 500 if faults.get('fail_after_run') else 200
        headers = {'In-Reply-To': result['request_id']}
        return web.json_response(result, status=status, headers=headers)

    async def health(_request: web.Request) -> web.Response:
        await record.thawed.wait()
        return web.json_response({'boot_id': record.boot_id})

    return serving.create_application(
        web.post('/v1/operations/{operation}', operate),
        web.get('/v1/health', health),
        serving.control(record.change),
        serving.show(
            '/control/executions', lambda: {'executions': record.executions}
        ),
        serving.show(
            '/control/peak',
            lambda: {**record.peaks, 'running': record.running},
        ),
    )


def main() -> None:
    """Run the stand-in."""
    parser = serving.create_parser('Plain service stand-in')
    parser.add_argument('--cold-ms', type=float, default=0)
    arguments = parser.parse_args()
    serving.run(lambda: create_service(arguments.cold_ms), arguments.port)


if __name__ == '__main__':
    main()
