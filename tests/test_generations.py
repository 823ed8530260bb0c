"""Tests of how often a generation is started on another engine."""

import asyncio
import contextlib
from collections.abc import AsyncGenerator, AsyncIterator
from types import SimpleNamespace
from typing import Any, cast

import pytest

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import (
    ErrorKind,
    PermitRequest,
    Ran,
)
from mastichatch_node import generations
from mastichatch_node.generations import (
    MAX_LOST_ENGINES,
    MAX_START_ATTEMPTS,
    Generations,
)


@pytest.mark.parametrize(
    ('kind', 'starts'),
    [
        (ErrorKind.generation_lost, MAX_LOST_ENGINES),
        (ErrorKind.endpoint_refused, MAX_START_ATTEMPTS),
    ],
)
async def test_prompt_that_crashes_engines_is_started_on_two_at_most(
    monkeypatch: pytest.MonkeyPatch, kind: ErrorKind, starts: int
) -> None:
    """One request used to be restarted on up to six engines that it crashed."""
    started = 0

    async def lose(*_: object) -> AsyncGenerator[Any, None]:
        nonlocal started
        started += 1
        raise MastichatchError(kind)
        yield

    tested = Generations.__new__(Generations)
    for name, stub in {
        '_stream_events': lose,
        '_prepare': lambda *_: None,
        '_log_retry': lambda *_: None,
    }.items():
        monkeypatch.setattr(tested, name, stub, raising=False)

    async def acquire(_: object) -> Any:
        return SimpleNamespace(endpoint='e')

    monkeypatch.setattr(generations, '_add_excluded', lambda *_: ())
    request = PermitRequest(
        request_id='r', attempt=0, service='s', workspace='w', node='n'
    )
    with pytest.raises(MastichatchError) as raised:
        batches = tested.start(
            request, b'', cast(Any, None), acquire, whole=False
        )
        async for _ in batches:
            pass
    assert raised.value.kind is kind
    assert started == starts


class _Engines:
    """Engines that begin a generation, break its stream, and work on."""

    def __init__(self, *, obeys: bool = True, is_silent: bool = False) -> None:
        self.acts: list[str] = []
        self._obeys = obeys
        self._is_silent = is_silent

    @contextlib.asynccontextmanager
    async def start(
        self, address: str, *_: object, **named: object
    ) -> AsyncIterator[Any]:
        self.acts.append(f'start {address}')
        if self._is_silent:
            raise MastichatchError(ErrorKind.endpoint_failed)

        async def batches() -> AsyncIterator[Any]:
            raise MastichatchError(ErrorKind.endpoint_failed)
            yield

        yield SimpleNamespace(boot_id='b', generation='g', batches=batches)

    @contextlib.asynccontextmanager
    async def resume(self, *_: object, **named: object) -> AsyncIterator[Any]:
        raise MastichatchError(ErrorKind.endpoint_failed)
        yield

    async def cancel(self, address: str, *_: object) -> bool:
        await asyncio.sleep(0.5)
        self.acts.append(f'cancelled {address}')
        return self._obeys


class _Quiet:
    """Takes the place of components that only record."""

    def __getattr__(self, name: str) -> Any:
        return lambda *positional, **named: True


class TestGenerationGivenUp:
    """Guards against a generation that two engines work on.

    Its engine cannot be reached for a while, and is not known to have ended.
    """

    @pytest.mark.looptime
    async def test_it_is_cancelled_before_it_starts_elsewhere(self) -> None:
        engines = _Engines()
        await self._generate(engines)
        assert engines.acts[:3] == ['start a', 'cancelled a', 'start b']

    @pytest.mark.looptime
    async def test_it_starts_nowhere_else_if_its_engine_may_work_on(
        self,
    ) -> None:
        engines = _Engines(obeys=False)
        await self._generate(engines)
        assert engines.acts == ['start a', 'cancelled a']

    @pytest.mark.looptime
    @pytest.mark.parametrize(
        ('is_silent', 'ran'), [(False, Ran.yes), (True, Ran.unknown)]
    )
    async def test_caller_is_not_told_that_it_did_not_run(
        self, is_silent: bool, ran: Ran
    ) -> None:
        """No other engine has room, and the first may have run it."""
        engines = _Engines(is_silent=is_silent)
        error = await self._generate(engines, 'a')
        assert engines.acts[0] == 'start a'
        assert (error.kind, error.ran) == (ErrorKind.no_endpoint, ran)

    async def _generate(
        self, engines: _Engines, usable: str = 'ab'
    ) -> MastichatchError:
        tested = Generations(
            cast(Any, engines),
            cast(Any, _Quiet()),
            cast(Any, _Quiet()),
            cast(Any, _Quiet()),
        )
        names = iter(usable)
        catalogue = SimpleNamespace(
            endpoints={
                name: SimpleNamespace(name=name, address=name) for name in 'ab'
            },
            service=lambda _: SimpleNamespace(idle_timeout_ms=1000),
        )

        async def acquire(_: object) -> Any:
            name = next(names, None)
            if name is None:
                raise MastichatchError(ErrorKind.no_endpoint)
            return SimpleNamespace(
                endpoint=name,
                boot_id='b',
                term=SimpleNamespace(number=1),
            )

        request = PermitRequest(
            request_id='r', attempt=0, service='s', workspace='w', node='n'
        )
        with pytest.raises(MastichatchError) as raised:
            batches = tested.start(
                request, b'', cast(Any, catalogue), acquire, whole=False
            )
            async for _ in batches:
                pass
        return raised.value
