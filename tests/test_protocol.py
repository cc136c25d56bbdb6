"""Message codecs, envelopes, data packets and refusal codes."""

import pathlib

import hypothesis
from hypothesis import strategies as st
import pytest
import segmentkit as kit

from limpetlift import exceptions
from limpetlift.protocol import envelope
from limpetlift.protocol import hashing
from limpetlift.protocol import messages
from limpetlift.protocol import packet
from limpetlift.protocol import refusal
from limpetlift.protocol import tunnel

KEY = b"k" * 16


def _sealer(name, keys=(KEY,)):
    return envelope.Sealer(name, 1, list(keys))


def _message():
    return messages.structs.NotOwner(
        flow_key=b"x" * 14, incarnation=4, batch_id=2
    )


def test_envelope_is_opened_once_only():
    """A duplicated or replayed control message must be accepted only once."""
    data = _sealer("a").seal(_message(), 100.0)
    receiver = _sealer("b")
    assert receiver.open(data, 100.0)[1] == _message()
    with pytest.raises(exceptions.ReplayedMessage):
        receiver.open(data, 100.0)


def test_envelope_rejects_old_foreign_and_truncated_messages():
    """A forged, outdated or truncated control message must be rejected."""
    data = _sealer("a").seal(_message(), 100.0)
    with pytest.raises(exceptions.ReplayedMessage):
        _sealer("b").open(data, 200.0)
    with pytest.raises(exceptions.BadDigest):
        _sealer("b", [b"j" * 16]).open(data, 100.0)
    for length in range(len(data)):
        with pytest.raises(exceptions.ProtocolError):
            _sealer("b").open(data[:length], 100.0)


def test_envelope_opens_with_a_second_key_during_rotation():
    """Processes that sign with different keys must understand each other.

    This happens while the shared keys are rotated one process at a time.
    """
    data = _sealer("a", [b"j" * 16, KEY]).seal(_message(), 1.0)
    assert _sealer("b", [KEY, b"j" * 16]).open(data, 1.0)


def test_packet_round_trip_and_bad_digest():
    """A packet whose header was changed or cut off must be rejected."""
    service = hashing.service_id("job-desk")
    caller = ("127.0.0.9", 4242)
    sent = packet.Packet(
        kind=packet.KIND_TO_AGENT,
        hops=1,
        service_id=service,
        flow_hash=hashing.flow_hash(packet.flow_key(service, caller)),
        caller=caller,
        balancer=("127.0.0.1", 7000),
        incarnation=7,
        payload=b"hello",
        is_assigned=True,
    )
    data = packet.encode(sent, KEY)
    assert packet.decode(data, [KEY]) == sent
    changed = bytes([data[0], data[1], 3]) + data[3:]
    with pytest.raises(exceptions.BadDigest):
        packet.decode(changed, [KEY])
    with pytest.raises(exceptions.MalformedMessage):
        packet.decode(data[:43], [KEY])


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    limit=st.integers(1, 6),
    port=st.integers(0, 65535),
    payload=st.binary(max_size=64),
    ip=st.ip_addresses(v=4),
)
def test_flow_encoder_gives_the_bytes_of_encode(limit, ip, port, payload):
    """A cached header must be the one that `encode` makes for the caller.

    An entry that is lost or mixed up when the cache is emptied would give
    packets that agents drop or attribute to another flow.
    """
    service, balancer = hashing.service_id("desk"), ("10.0.0.1", 6000)
    caller = (str(ip), port)
    cache = packet.HeaderCache(limit)
    encoder = packet.FlowEncoder(service, balancer, KEY, cache)
    other = packet.FlowEncoder(hashing.service_id("x"), balancer, KEY, cache)
    for port_before in (port, port ^ 1, port):
        encoder.encode((caller[0], port_before), b"earlier")
        other.encode(caller, b"earlier")
    flow_hash, data = encoder.encode(caller, payload)
    assert flow_hash == hashing.flow_hash(packet.flow_key(service, caller))
    expected = packet.Packet(
        packet.KIND_TO_AGENT,
        0,
        service,
        flow_hash,
        caller,
        balancer,
        0,
        payload,
    )
    assert packet.decode(data, [KEY]) == expected
    assert packet.encode(expected, KEY) == data


@pytest.mark.parametrize("limit", [1, 2, 100])
def test_decoder_verifies_every_header_that_differs(limit):
    """The header cache must not accept a forged or truncated header.

    Each bit flip follows a valid packet, whose header is cached by then.
    """
    service = hashing.service_id("desk")
    decoder = packet.Decoder([KEY], limit)
    for hops in (0, 1, 0, 1, 0):
        expected = packet.Packet(
            kind=packet.KIND_TO_CALLER,
            hops=hops,
            service_id=service,
            flow_hash=7,
            caller=("10.0.0.9", 5000),
            balancer=("10.0.0.1", 6000),
            incarnation=3,
            payload=b"answer %d" % hops,
            is_assigned=True,
        )
        data = packet.encode(expected, KEY)
        assert decoder.decode(data) == expected
        assert decoder.decode(data[: packet.HEADER_BYTES]).payload == b""
        for index in range(packet.HEADER_BYTES):
            forged = bytearray(data)
            forged[index] ^= 1
            with pytest.raises(exceptions.ProtocolError):
                decoder.decode(bytes(forged))
            with pytest.raises(exceptions.ProtocolError):
                decoder.decode(data[:index])


def test_every_refusal_code_is_documented():
    """Each refusal code must be documented with its status and outcome."""
    page = pathlib.Path(__file__).parent.parent / "docs" / "refusals.md"
    rows = page.read_text(encoding="utf-8")
    for entry in refusal.refusals_by_code.values():
        outcome = entry.outcome.replace("_", " ")
        row = "| `%s` | %d | %s |" % (entry.code, entry.status, outcome)
        assert row in rows, row


@pytest.mark.parametrize(
    "message",
    [
        tunnel.Hello(False),
        tunnel.Hello(True, 7, 12.5),
        kit.load(),
        kit.load(room=0),
        kit.load(failure_share=9),
        kit.load(room=3, failure_share=255),
    ],
)
def test_optional_parts_of_messages_survive_encoding(message):
    """A lost part would undo the pace or the ejection of a server."""
    assert tunnel.decode(message.encode()) == message


def test_messages_without_optional_parts_keep_their_former_size():
    """Processes of earlier versions reject a load report that is longer."""
    assert len(tunnel.Hello().encode()) == 3
    assert len(kit.load().encode()) == 32


def test_a_pace_that_is_no_number_is_malformed():
    """It would make every comparison of the pace false."""
    with pytest.raises(exceptions.MalformedMessage):
        tunnel.decode(tunnel.Hello(True, 7, float("nan")).encode())
