"""Named profiles and the assignment of services to them."""

from carobwalk.profiles._catalogue import Catalogue
from carobwalk.profiles._profile import Profile
from carobwalk.profiles._rank_rule import RankRule
from carobwalk.profiles._service import Service

__all__ = ('Catalogue', 'Profile', 'RankRule', 'Service')
