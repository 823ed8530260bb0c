"""The committed reference page is what the tool writes."""

from tools import reference


def test_page_is_current() -> None:
    assert reference.PAGE.read_text() == reference.reference()
