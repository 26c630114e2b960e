"""Bearer tokens of teams, operators and targets, derived from one key.

A token is ``subject.generation.signature``, where the signature is an HMAC.
No token is stored, not even for a site with 130 teams.  Raising a team's
``token_generation`` in the declarations invalidates its older tokens.
"""

import hashlib
import hmac

import attrs

from .errors import SavoryshelfError

OPERATOR = "operator"
TARGET = "target"
TEAM_PREFIX = "team:"
SIGNATURE_HEX_DIGITS = 32


class InvalidToken(SavoryshelfError):
    """A token is missing or malformed, or its signature is not valid for this site's key."""


@attrs.frozen
class Bearer:
    """Subject and generation of a valid token."""

    subject: str
    generation: int

    @property
    def team(self) -> str:
        """Return the team's name, or an empty string for another subject."""
        return self.subject.removeprefix(TEAM_PREFIX) if self.is_team else ""

    @property
    def is_team(self) -> bool:
        """Return whether the subject is a team."""
        return self.subject.startswith(TEAM_PREFIX)


def issue(token_key: str, subject: str, generation: int = 1) -> str:
    """Return the token of ``team:NAME``, ``operator`` or ``target``."""
    claim = f"{subject}.{generation}"
    return f"{claim}.{_sign(token_key, claim)}"


def verify(token_key: str, token: str) -> Bearer:
    """Return the bearer of ``token``.

    Raises InvalidToken if the signature does not match.
    """
    claim, _, signature = token.rpartition(".")
    if not claim or not hmac.compare_digest(signature.encode(), _sign(token_key, claim).encode()):
        raise InvalidToken("the token's signature does not match this site's key")
    subject, _, generation = claim.rpartition(".")
    return Bearer(subject, int(generation))


def _sign(token_key: str, claim: str) -> str:
    digest = hmac.digest(token_key.encode(), claim.encode(), hashlib.sha256)
    return digest.hex()[:SIGNATURE_HEX_DIGITS]
