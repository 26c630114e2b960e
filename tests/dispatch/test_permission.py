"""A host that was paused, or whose answers come late, must not act on an old permission."""

from savoryshelf.dispatch.permission import PERMISSION_SECONDS, Permission


def test_permission_is_counted_from_before_the_report_was_sent():
    permission = Permission()
    assert not permission.is_valid(0.0, 0)
    # The reply came after a pause of most of the permission.
    permission.renew(requested_at=10.0, newest_token=0)
    assert permission.is_valid(10.0 + 0.9 * PERMISSION_SECONDS, 0)
    assert not permission.is_valid(10.0 + PERMISSION_SECONDS, 0)


def test_a_late_reply_does_not_shorten_the_permission():
    permission = Permission()
    permission.renew(requested_at=11.0, newest_token=0)
    permission.renew(requested_at=10.0, newest_token=0)
    assert permission.is_valid(11.5, 0)


def test_permission_needs_the_newest_assignment_that_the_leader_knew():
    permission = Permission()
    permission.renew(requested_at=10.0, newest_token=7)
    assert not permission.is_valid(10.1, applied_token=6)
    assert permission.is_valid(10.1, applied_token=7)
