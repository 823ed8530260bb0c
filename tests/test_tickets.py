"""Tests of tickets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from mastichatch_core.errors import MastichatchError
from mastichatch_core.generated.messages import ErrorKind
from mastichatch_core.tickets import (
    TICKET_PREFIX,
    Ticket,
    check_ticket_scope,
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
    """Only tickets with a valid signature are accepted."""

    @given(TICKETS)
    def test_signed_ticket_round_trips(self, ticket: Ticket) -> None:
        text = sign_ticket(ticket, SECRET)
        assert is_ticket(text)
        assert read_ticket(text, SECRET) == ticket

    @given(TICKETS, st.data())
    def test_changing_any_character_invalidates_the_ticket(
        self, ticket: Ticket, data: st.DataObject
    ) -> None:
        text = sign_ticket(ticket, SECRET)
        position = data.draw(st.integers(len(TICKET_PREFIX), len(text) - 1))
        other = data.draw(st.sampled_from('ABCXYZabcxyz0189-_='))
        changed = text[:position] + other + text[position + 1 :]
        if changed != text:
            with pytest.raises(MastichatchError) as raised:
                read_ticket(changed, SECRET)
            assert raised.value.kind is ErrorKind.ticket_invalid

    @given(st.text(max_size=200))
    def test_arbitrary_text_is_invalid(self, text: str) -> None:
        with pytest.raises(MastichatchError) as raised:
            read_ticket(TICKET_PREFIX + text, SECRET)
        assert raised.value.kind is ErrorKind.ticket_invalid

    @given(TICKETS)
    def test_ticket_signed_with_another_secret_is_invalid(
        self, ticket: Ticket
    ) -> None:
        with pytest.raises(MastichatchError):
            read_ticket(sign_ticket(ticket, SECRET), 'another-secret-here')


class TestScope:
    """A ticket is valid for one operation of one service and one workspace."""

    @given(TICKETS, st.tuples(st.text(), st.text(), st.text()))
    def test_ticket_is_valid_only_for_the_call_it_was_issued_for(
        self, ticket: Ticket, scope: tuple[str, str, str]
    ) -> None:
        check_ticket_scope(
            ticket, ticket.workspace, ticket.service, ticket.operation
        )
        if scope != (ticket.workspace, ticket.service, ticket.operation):
            with pytest.raises(MastichatchError):
                check_ticket_scope(ticket, *scope)
