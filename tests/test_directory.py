"""The directory of agents and balancers that a balancer follows."""

import segmentkit as kit

from limpetlift.coordination import directory
from limpetlift.coordination import entries
from limpetlift import defaults


def _item(number, revision):
    entry = kit.agent(number)
    return entries.Entry(
        directory.AGENTS_PREFIX + entry.process_id, entry.encode(), revision
    )


def _key(number):
    return directory.AGENTS_PREFIX + kit.agent(number).process_id


def _removed(number, revision):
    return entries.Change(_key(number), None, revision)


def _ids(found):
    return sorted(entry.process_id for entry in found.agents())


def _nobody(_entry):
    return False


def _everybody(_entry):
    return True


def test_entries_are_followed():
    """A snapshot and the changes after it make the list of agents."""
    found = directory.Directory()
    found.on_snapshot(0.0, [_item(1, 5)])
    item = _item(2, 6)
    found.on_changes(1.0, [entries.Change(item.key, item, 6)])
    assert _ids(found) == ["agent-1", "agent-2"]
    assert found.agents()[0] == kit.agent(1)


def test_an_unreadable_entry_names_no_agent():
    """Bytes of another writer must not hide the other entries."""
    found = directory.Directory()
    found.on_snapshot(
        0.0,
        [entries.Entry(_key(2), b"\xff{", 6), _item(1, 5)]
        + [entries.Entry(_key(3), b'{"address": 7}', 7)],
    )
    assert _ids(found) == ["agent-1"]
    assert set(found.unreadable_by_key) == {_key(2), _key(3)}


def test_an_older_page_does_not_undo_a_change():
    """Pages are no snapshot; a change may be newer than the next page."""
    found = directory.Directory()
    found.on_changes(0.0, [entries.Change(_key(1), _item(1, 9), 9)])
    found.on_changes(0.1, [_removed(1, 10)])
    found.on_snapshot(0.2, [_item(1, 9)])
    assert not found.is_listed(_key(1))


def test_a_removed_entry_counts_for_its_time():
    """A living process has 2 s to announce itself again."""
    found = directory.Directory()
    found.on_snapshot(0.0, [_item(1, 5)])
    later = 10.0
    found.on_changes(later, [_removed(1, 6)])
    assert not found.expire(later + 1.9, _nobody)
    assert _ids(found) == ["agent-1"]
    assert found.expire(later + defaults.LAPSED_ENTRY_GRACE_S, _nobody)
    assert not _ids(found)


def test_an_entry_that_is_back_stays():
    """The process announced itself within its time."""
    found = directory.Directory()
    found.on_snapshot(0.0, [_item(1, 5)])
    found.on_changes(10.0, [_removed(1, 6)])
    found.on_changes(11.0, [entries.Change(_key(1), _item(1, 7), 7)])
    assert not found.expire(20.0, _nobody)
    assert found.is_listed(_key(1))


def test_a_heard_agent_stays_though_the_store_dropped_it():
    """The store may turn a living agent away and take its entry."""
    found = directory.Directory()
    found.on_snapshot(0.0, [_item(1, 5)])
    found.on_changes(10.0, [_removed(1, 6)])
    assert not found.expire(20.0, _everybody)
    assert found.unlisted() == {"agent-1"}


def test_after_an_outage_a_missing_entry_is_gone():
    """One that is missing 2 s after the store's return counts as gone."""
    found = directory.Directory()
    found.on_snapshot(0.0, [_item(1, 5)])
    found.on_unreachable()
    found.on_snapshot(10.0, [])
    assert not found.expire(11.9, _everybody)
    assert found.expire(10.0 + defaults.LAPSED_ENTRY_GRACE_S, _everybody)
