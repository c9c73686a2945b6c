"""What a VM tells one that lacks rows."""

import hypothesis
import pytest
from hypothesis import strategies

from eelgrasswick import errors
from eelgrasswick.cookie import knowledge, offer, peers, source

ROW = source.Row("servers/i-0a", b"v", 5)
STANDING = offer.SenderState(300, (peers.Member("10.0.0.8", "z1"),))


@pytest.fixture
def known() -> knowledge.Knowledge:
    made = knowledge.Knowledge()
    made.merge(0, source.Changes((ROW,), 5, 0))
    return made


@pytest.fixture
def offers(known: knowledge.Knowledge) -> offer.OfferEncoder:
    return offer.OfferEncoder(known.changes_since, lambda: STANDING)


def test_offer_is_read_as_it_was_made(offers: offer.OfferEncoder) -> None:
    taken = offer.decode(*offers.encode(0))
    assert taken == offer.Offer(STANDING, source.Changes((ROW,), 5, 0))


def test_age_counts_from_the_question(offers: offer.OfferEncoder) -> None:
    """Guards against an answer that lay in a queue and looks fresh."""
    fresh = knowledge.Knowledge()
    merge = offer.decode(*offers.encode(0)).merge_into(9000, 1000, fresh)
    assert merge.rows == (ROW,)
    assert fresh.age_ms(9000) == 8300


def test_rows_are_encoded_anew_when_they_change(
    known: knowledge.Knowledge, offers: offer.OfferEncoder
) -> None:
    """Guards against VMs that start with rows of an earlier revision."""
    offers.encode(0)
    known.merge(0, source.Changes((ROW._replace(revision=6),), 6, 5))
    assert offer.decode(*offers.encode(0)).changes.revision == 6
    assert offer.decode(*offers.encode(5)).changes.base == 5


def test_vm_that_is_only_behind_is_not_told_of_the_members(
    offers: offer.OfferEncoder,
) -> None:
    """Guards against bytes between zones that grow with VMs times changes."""
    assert offer.decode(*offers.encode(0)).sender_state.members
    assert not offer.decode(*offers.encode(4)).sender_state.members


@hypothesis.given(strategies.binary(max_size=60), strategies.binary(max_size=60))
def test_any_bytes_are_an_offer_or_refused(standing: bytes, rows: bytes) -> None:
    try:
        offer.decode(standing, rows)
    except errors.MessageInvalidError as error:
        assert error.detail
