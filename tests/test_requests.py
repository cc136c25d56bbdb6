"""The request table: queue and claims together."""

import random

import attrs

from limpetlift import defaults
from limpetlift.state import actions
from limpetlift.state import admission
from limpetlift.state import requests


@attrs.define
class _Claims:
    """Grants the first request of a key and lets the others wait."""

    holder_by_key: dict = attrs.field(factory=dict)
    waiting_by_key: dict = attrs.field(factory=dict)
    deny: str = ""

    def is_claimed(self, now, key):
        return key in self.holder_by_key

    def on_request(self, now, key, request_id, deadline, first_attempt):
        if self.deny:
            return [actions.Denied(request_id, self.deny)]
        if key in self.holder_by_key:
            self.waiting_by_key.setdefault(key, []).append(request_id)
            return [actions.Wait(request_id)]
        self.holder_by_key[key] = request_id
        return [actions.Granted(request_id)]

    def on_done(self, now, key, answer):
        waiting = self.waiting_by_key.pop(key, [])
        return [actions.Replay(item, answer) for item in waiting]

    def on_cancel(self, now, request_id):
        return []

    def tick(self, now):
        return []


def _table(slots=1):
    queue = admission.AdmissionQueue(slots, random.Random(1))
    return requests.RequestTable(queue, _Claims())


def test_repeated_key_takes_no_slot_and_gets_the_same_answer():
    """A retry must neither run nor hold a slot while the first one runs."""
    table = _table(slots=2)
    assert table.on_request(0.0, "a", 9.0, key="k") == [actions.Admit("a")]
    assert table.on_request(0.1, "b", 9.0, key="k") == []
    assert table.queue.busy_slots == 1
    answer = actions.Answer(200, (), b"done")
    steps = table.on_answered(1.0, "a", 1.0, answer)
    assert steps == [actions.Replay("b", answer)]
    assert len(table) == 0


def test_repeated_key_waits_while_the_first_one_is_queued():
    """Two queued requests with one key must not both get a slot."""
    table = _table()
    table.on_request(0.0, "long", 9.0)
    table.on_request(0.0, "a", 9.0, key="k")
    table.on_request(0.0, "b", 9.0, key="k")
    steps = table.on_answered(1.0, "long", 1.0, None)
    assert steps == [actions.Admit("a")]
    assert table.queue.busy_slots == 1
    steps = table.on_answered(2.0, "a", 1.0, None)
    assert steps == [actions.Replay("b", None)]


def test_denied_claim_frees_the_slot():
    """A request whose key is refused must not keep its slot."""
    table = _table()
    table.claims.deny = "no_quorum"
    steps = table.on_request(0.0, "a", 9.0, key="k")
    assert steps == [actions.Refused("a", "no_quorum")]
    assert table.queue.busy_slots == 0


def test_cancelled_leader_refuses_its_followers_truly():
    """A waiting retry must get an answer when the first caller goes away."""
    table = _table()
    table.on_request(0.0, "long", 9.0)
    table.on_request(0.0, "a", 9.0, key="k")
    table.on_request(0.0, "b", 9.0, key="k")
    steps = table.on_cancel(0.5, "a")
    assert steps == [actions.Refused("b", "claim_conflict")]
    assert table.on_answered(1.0, "long", 1.0, None) == []


def test_a_request_that_waited_too_long_does_not_claim_its_key():
    """The votes for an earlier attempt may have been dropped by then."""
    table = _table()
    table.on_request(0.0, "long", 99.0)
    table.on_request(0.0, "a", 99.0, key="k")
    late = defaults.CLAIM_MAX_REQUEST_AGE_S + 1.0
    steps = table.on_answered(late, "long", 1.0, None)
    assert steps == [actions.Refused("a", "deadline_passed")]
    assert table.queue.busy_slots == 0


def test_keys_have_no_effect_without_claims():
    """A table without claims must not fail on a repeated key."""
    queue = admission.AdmissionQueue(2, random.Random(1))
    table = requests.RequestTable(queue)
    assert table.on_request(0.0, "a", 9.0, key="k") == [actions.Admit("a")]
    assert table.on_request(0.1, "b", 9.0, key="k") == [actions.Admit("b")]
    assert table.on_answered(1.0, "a", 1.0, None) == []
