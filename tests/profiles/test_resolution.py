"""Resolution of profiles."""

from carobwalk.model import ProfileName, Rank, ServiceName
from carobwalk.profiles import Configuration, Profile, resolve
from carobwalk.profiles._entity import Entity


def _configuration() -> Configuration:
    return Configuration(
        7,
        {
            'profile/a': Entity({'slots': 2, 'keyed': False}, 1, 'w1'),
            'profile/b': Entity({'parent': 'a', 'slots': 3}, 2, 'w2'),
            'profile/c': Entity(
                {'parent': 'b', 'time_limits': {'lookup': 1.5}, 'newer': 1},
                3,
                'w3',
            ),
            'service/s': Entity({'profile': 'c'}, 4, 'w4'),
        },
    )


class TestResolve:
    """Profiles with inherited values and defaults."""

    def test_nearest_value_wins(self) -> None:
        """The nearest ancestor that sets a field determines its value."""
        profile = resolve(_configuration()).profile_of(ServiceName('s'))
        assert profile is not None
        assert (profile.slots, profile.keyed) == (3, False)
        assert profile.time_limits == {Rank.LOOKUP: 1.5}

    def test_unset_fields_have_defaults(self) -> None:
        """A field that no ancestor sets has its default value."""
        catalogue = resolve(_configuration())
        profile = catalogue.profiles_by_name[ProfileName('a')]
        assert profile.connections == Profile(name=profile.name).connections

    def test_unknown_fields_are_ignored(self) -> None:
        """Fields of a newer release do not fail older processes."""
        assert resolve(_configuration()).revision == 7
