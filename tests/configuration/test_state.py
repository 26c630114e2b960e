from savoryshelf.configuration.state import HISTORY_LENGTH, ApplyResult, ConfigurationState
from savoryshelf.wire.generated.ttypes import ApplyConfiguration


def change(operation_id, expected_version, document="{}"):
    return ApplyConfiguration(operation_id, expected_version, document, "author")


def test_only_the_first_of_two_changes_from_one_version_is_accepted():
    state = ConfigurationState()
    assert state.apply(change("a", 0), 1) == ApplyResult(1, duplicate=False)
    assert state.apply(change("b", 0), 2).reason == "version_conflict"
    assert state.version == 1


def test_a_resent_change_gets_its_first_result_even_after_other_changes():
    """A change whose reply was lost is sent again and must not be applied twice."""
    state = ConfigurationState()
    state.apply(change("a", 0), 1)
    state.apply(change("b", 1), 2)
    assert state.apply(change("a", 0), 3) == ApplyResult(1, duplicate=True)
    assert state.version == 2


def test_the_history_is_bounded():
    state = ConfigurationState()
    for version in range(HISTORY_LENGTH + 20):
        state.apply(change(f"operation-{version}", version), version)
    assert len(state.history) == HISTORY_LENGTH
    assert state.history[-1].version == state.version
