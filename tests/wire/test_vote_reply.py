"""Votes between hosts of this version and of the one before, which gives no reason."""

from thrift.Thrift import TType

from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import VoteReply


class FormerVoteReply(VoteReply):
    """The message without its last field."""

    thrift_spec = VoteReply.thrift_spec[:3]


# Guards against hosts of two versions that cannot elect a leader together.
def test_a_reason_is_skipped_by_hosts_of_the_former_version():
    reply = codec.decode(FormerVoteReply, codec.encode(VoteReply(False, True, "leads")))
    assert (reply.granted, reply.pre_vote, reply.why) == (False, True, None)


def test_a_reply_of_the_former_version_has_no_reason():
    reply = codec.decode(VoteReply, codec.encode(FormerVoteReply(True, False)))
    assert reply == VoteReply(True, False)


def test_the_reason_is_the_third_field():
    assert VoteReply.thrift_spec[3][:3] == (3, TType.STRING, "why")
    assert codec.decode(VoteReply, codec.encode(VoteReply(False, True, "leads"))).why == "leads"
