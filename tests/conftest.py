"""Order of the tests and their distribution over processes."""

import pytest

# Files with slow tests that share nothing, the slowest first. Their tests are
# distributed one by one, and start before those of all other files.
_SLOW_FILES = ("test_soak", "test_replay")


def _rank(item):
    """Return the position of a test's file among the slow ones."""
    name = item.path.stem
    if name in _SLOW_FILES:
        return _SLOW_FILES.index(name)
    return len(_SLOW_FILES)


def pytest_collection_modifyitems(items):
    """Group the tests; those of a group run in the same process.

    The tests of most files are a group, because some cache the result of a
    slow model for several tests.
    """
    items.sort(key=_rank)
    for item in items:
        name = item.path.stem
        group = item.name if name in _SLOW_FILES else name
        item.add_marker(pytest.mark.xdist_group(group))
