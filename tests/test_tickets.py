"""Tests of tickets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.tickets import (
    TICKET_PREFIX,
    Ticket,
    check_use,
    is_ticket,
    read_ticket,
    sign_ticket,
)

SECRET = 'a-secret-of-the-tests'
TICKETS = st.builds(
    Ticket,
    incarnation=st.text(),
    peer_address=st.text(),
    counter=st.integers(0, 2**60),
    expires_at=st.floats(0, 1e9),
    workspace=st.text(),
    service=st.text(),
    operation=st.text(),
)


class TestSignature:
    """Only this system's tickets are read."""

    @given(TICKETS)
    def test_signed_ticket_is_read_back(self, ticket: Ticket) -> None:
        text = sign_ticket(ticket, SECRET)
        assert is_ticket(text)
        assert read_ticket(text, SECRET) == ticket

    @given(TICKETS, st.data())
    def test_any_changed_character_makes_it_invalid(
        self, ticket: Ticket, data: st.DataObject
    ) -> None:
        text = sign_ticket(ticket, SECRET)
        place = data.draw(st.integers(len(TICKET_PREFIX), len(text) - 1))
        other = data.draw(st.sampled_from('ABCXYZabcxyz0189-_='))
        changed = text[:place] + other + text[place + 1 :]
        if changed != text:
            with pytest.raises(MastichatchError) as raised:
                read_ticket(changed, SECRET)
            assert raised.value.kind is ErrorKind.ticket_invalid

    @given(st.text(max_size=200))
    def test_any_other_text_is_invalid(self, text: str) -> None:
        with pytest.raises(MastichatchError) as raised:
            read_ticket(TICKET_PREFIX + text, SECRET)
        assert raised.value.kind is ErrorKind.ticket_invalid

    @given(TICKETS)
    def test_another_secret_makes_it_invalid(self, ticket: Ticket) -> None:
        with pytest.raises(MastichatchError):
            read_ticket(sign_ticket(ticket, SECRET), 'another-secret-here')


class TestUse:
    """A ticket is for one operation of one workspace."""

    @given(TICKETS, st.tuples(st.text(), st.text(), st.text()))
    def test_ticket_is_good_only_for_what_it_was_minted_for(
        self, ticket: Ticket, use: tuple[str, str, str]
    ) -> None:
        check_use(ticket, ticket.workspace, ticket.service, ticket.operation)
        if use != (ticket.workspace, ticket.service, ticket.operation):
            with pytest.raises(MastichatchError):
                check_use(ticket, *use)
