"""Define the order of scheduler terms."""

from mastichatch_core.generated.messages import Term


def term_rank(term: Term) -> tuple[int, str]:
    """Return the sort key of a term: its number, then its incarnation.

    :param term: a scheduler's term
    """
    return term.number, term.incarnation
