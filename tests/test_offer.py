"""Tests of the offer that a VM sends to one that lacks rows."""

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick import errors
from eelgrasswick.cookie import offer, peers, source, store_replica

ROW = source.Row("servers/i-0a", b"v", 5)
SENDER_STATE = offer.SenderState(300, (peers.Member("10.0.0.8", "z1"),))


@pytest.fixture
def replica() -> store_replica.StoreReplica:
    replica = store_replica.StoreReplica()
    replica.merge(0, source.Changes((ROW,), 5, 0))
    return replica


@pytest.fixture
def offers(replica: store_replica.StoreReplica) -> offer.OfferEncoder:
    return offer.OfferEncoder(replica.changes_since, lambda: SENDER_STATE)


def test_decoded_offer_equals_the_encoded_one(offers: offer.OfferEncoder) -> None:
    decoded = offer.decode(*offers.encode(0))
    assert decoded == offer.Offer(SENDER_STATE, source.Changes((ROW,), 5, 0))


def test_age_counts_from_the_request(offers: offer.OfferEncoder) -> None:
    """Guards against a response that was queued for long and looks current."""
    replica = store_replica.StoreReplica()
    merge = offer.decode(*offers.encode(0)).merge_into(9000, 1000, replica)
    assert merge.rows == (ROW,)
    assert replica.age_ms(9000) == 8300


def test_vm_without_rows_encodes_an_offer_without_rows() -> None:
    """Guards against invalid bytes from a seed that has just started."""
    replica = store_replica.StoreReplica()
    offers = offer.OfferEncoder(replica.changes_since, lambda: SENDER_STATE)
    decoded = offer.decode(*offers.encode(0))
    assert decoded.changes == source.Changes((), 0, 0)


def test_late_offer_of_an_earlier_revision_changes_nothing(
    offers: offer.OfferEncoder,
) -> None:
    """Guards against flows placed by rows older than the ones in force."""
    late = offer.decode(*offers.encode(0))
    replica = store_replica.StoreReplica()
    current = (ROW._replace(value=b"w", revision=6),)
    replica.merge(0, source.Changes(current, 6, 0))
    replica.confirm(6, 500)
    assert late.merge_into(9000, 8900, replica).rows == ()
    assert tuple(replica.rows) == current
    assert replica.age_ms(9000) == 8500


def test_old_offer_of_the_same_revision_does_not_age_the_rows(
    replica: store_replica.StoreReplica, offers: offer.OfferEncoder
) -> None:
    """Guards against rows that look outdated because a slow offer arrived last."""
    replica.confirm(5, 8000)
    late = offer.decode(*offers.encode(0))
    assert late.merge_into(9000, 1000, replica).rows == ()
    assert replica.age_ms(9000) == 1000


def test_changed_rows_are_encoded_again(
    replica: store_replica.StoreReplica, offers: offer.OfferEncoder
) -> None:
    """Guards against VMs that start with cached rows of an earlier revision."""
    offers.encode(0)
    replica.merge(0, source.Changes((ROW._replace(revision=6),), 6, 5))
    assert offer.decode(*offers.encode(0)).changes.revision == 6
    assert offer.decode(*offers.encode(5)).changes.base == 5


def test_only_a_starting_vm_receives_the_members(
    offers: offer.OfferEncoder,
) -> None:
    """Guards against traffic between zones proportional to VMs times changes."""
    assert offer.decode(*offers.encode(0)).sender_state.members
    assert not offer.decode(*offers.encode(4)).sender_state.members


@hypothesis.given(strategies.binary(max_size=60), strategies.binary(max_size=60))
def test_any_bytes_are_an_offer_or_refused(sender_state: bytes, rows: bytes) -> None:
    try:
        offer.decode(sender_state, rows)
    except errors.MessageInvalidError as error:
        assert error.detail
