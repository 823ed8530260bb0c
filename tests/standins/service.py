"""Stand-in for a plain service that records what it executes."""

import asyncio
import time
import uuid

from aiohttp import web

from tests.standins.serving import (
    Body,
    control,
    create_application,
    create_parser,
    cut,
    run,
)


class Record:
    """What was executed, and the faults that tests set."""

    def __init__(self, cold_s: float) -> None:
        """Start a new boot, cold for a while."""
        self.boot_id = uuid.uuid4().hex
        self.cold_until = time.monotonic() + cold_s
        self.executions: list[Body] = []
        self.running = 0
        self.peak = 0
        self.peak_cold = 0
        self.thawed = asyncio.Event()
        self.thawed.set()
        self.faults: Body = {
            'delay_ms': 0,
            'answer_delay_ms': 0,
            'refuse_status': 0,
            'fail_after_run': False,
            'cut_after_run': False,
            'freeze': False,
        }

    def change(self, body: Body) -> None:
        """Apply a control call."""
        self.faults.update(body)
        if self.faults['freeze']:
            self.thawed.clear()
        else:
            self.thawed.set()

    def enter(self) -> None:
        """Count a call that came in."""
        self.running += 1
        self.peak = max(self.peak, self.running)
        if time.monotonic() < self.cold_until:
            self.peak_cold = max(self.peak_cold, self.running)

    def execute(self, request_id: str, operation: str, body: object) -> Body:
        """Note an execution and return its result, which names the call."""
        execution = {
            'request_id': request_id,
            'operation': operation,
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
        faults = record.faults
        await record.thawed.wait()
        await asyncio.sleep(faults['delay_ms'] / 1000)
        if faults['refuse_status']:
            return web.json_response({}, status=faults['refuse_status'])
        result = record.execute(
            request.headers.get('Request-Id', ''),
            request.match_info['operation'],
            body,
        )
        await asyncio.sleep(faults['answer_delay_ms'] / 1000)
        await record.thawed.wait()
        if faults['cut_after_run']:
            cut(request)
        status = 500 if faults['fail_after_run'] else 200
        return web.json_response(result, status=status)

    async def health(_request: web.Request) -> web.Response:
        await record.thawed.wait()
        return web.json_response({'boot_id': record.boot_id})

    async def list_executions(_request: web.Request) -> web.Response:
        return web.json_response({'executions': record.executions})

    async def show_peak(_request: web.Request) -> web.Response:
        return web.json_response(
            {'peak': record.peak, 'peak_cold': record.peak_cold}
        )

    application = create_application()
    application.add_routes(
        [
            web.post('/v1/operations/{operation}', operate),
            web.get('/v1/health', health),
            web.post('/control', control(record.change)),
            web.get('/control/executions', list_executions),
            web.get('/control/peak', show_peak),
        ]
    )
    return application


def main() -> None:
    """Run the stand-in."""
    parser = create_parser('Plain service stand-in')
    parser.add_argument('--cold-ms', type=float, default=0)
    arguments = parser.parse_args()
    run(lambda: create_service(arguments.cold_ms), arguments.port)


if __name__ == '__main__':
    main()
