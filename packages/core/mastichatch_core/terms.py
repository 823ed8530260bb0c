"""The order of schedulers' terms."""

from mastichatch_core.generated.messages import Term


def term_rank(term: Term) -> tuple[int, str]:
    """Return what terms are compared by: number, then incarnation.

    :param term: a scheduler's term
    """
    return term.number, term.incarnation
