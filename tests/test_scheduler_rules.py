"""Rules of the scheduler, one at a time."""

from mastichatch_core import scheduler as core
from mastichatch_core.generated.messages import Registration

from tests.test_scheduler import (
    asked,
    catalogue,
    grants,
    open_warm,
    renew,
)


def register(
    scheduler: core.Scheduler, now: float, node: str = 'a', **fields: object
) -> tuple[core.Outgoing, ...]:
    values = {
        'service': 's',
        'node': node,
        'term': scheduler.term,
        'sequence': int(now * 10),
        **fields,
    }
    registration = Registration(**values)  # type: ignore[arg-type]
    return core.register(scheduler, registration, now)


def granted(outgoing: tuple[core.Outgoing, ...]) -> list[str]:
    return [one.request_id for one in grants(outgoing)]


class TestHeldUp:
    """What can't go now holds up nothing that came after it."""

    def test_by_a_request_of_a_silent_node(self) -> None:
        opened = open_warm(catalogue(cold_limit=4, batch_limit=4))
        members = frozenset('ab')
        core.set_members(opened, members, members, 1)
        register(opened, 1, 'b')
        renew(opened, 2.2)
        assert not granted(core.request(opened, asked(1, node='b'), 2.2))
        assert granted(core.request(opened, asked(2), 2.2)) == ['r2']

    def test_by_a_request_whose_other_endpoints_failed_it(self) -> None:
        opened = open_warm(catalogue(cold_limit=4, batch_limit=4))
        for number in range(4):
            item = asked(number, excluded=('e1',))
            assert granted(core.request(opened, item, 1)) == [f'r{number}']
        core.request(opened, asked(4, excluded=('e1',)), 1)
        assert granted(core.request(opened, asked(5), 1)) == ['r5']
