"""HTTP client of the entry hosts; maps failed calls to exit codes."""

import enum
import json
import random

import attrs
import urllib3

from ..errors import SavoryshelfError

TIMEOUT_SECONDS = 10.0


class ExitCode(enum.IntEnum):
    """Exit statuses of the program; the help text of ``main`` explains them."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3
    CONFLICT = 4
    OUTCOME_UNKNOWN = 5
    NOT_ENDED = 6
    JOB_FAILED = 7


class CallFailed(SavoryshelfError):
    """A call was refused, or no entry host answered; holds the program's exit status."""

    def __init__(self, message: str, exit_code: ExitCode):
        super().__init__(message)
        self.exit_code = exit_code


@attrs.frozen
class Reply:
    """HTTP response of an entry host."""

    status: int
    body: bytes
    headers: dict[str, str]

    def json(self):
        """Return the body, decoded as JSON."""
        return json.loads(self.body)


class EntryClient:
    """Calls the entry hosts in random order until one answers."""

    def __init__(self, entry_urls: list[str], token: str):
        self._urls = random.sample(entry_urls, len(entry_urls))
        self._token = token
        self._http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_SECONDS)

    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout: float = TIMEOUT_SECONDS,
    ) -> Reply:
        """Send an idempotent request to the entry hosts until one answers.

        Raises CallFailed.  The request must be idempotent because a host may
        have executed it although its response was lost.
        """
        problems = []
        for url in self._urls:
            try:
                response = self._http.request(
                    method,
                    url + path,
                    body=body,
                    headers={"Authorization": f"Bearer {self._token}"} | (headers or {}),
                    timeout=timeout,
                )
            except (urllib3.exceptions.HTTPError, OSError) as error:
                problems.append(f"{url}: {error}")
                continue
            reply = Reply(response.status, response.data, dict(response.headers))
            if response.status < 400:
                return reply
            failure = _parse_failure(reply)
            if failure.exit_code is not ExitCode.UNREACHABLE:
                raise failure
            problems.append(f"{url}: {failure}")
        raise CallFailed(
            "no usable answer from any entry host:\n  " + "\n  ".join(problems),
            ExitCode.UNREACHABLE,
        )


def _parse_failure(reply: Reply) -> CallFailed:
    try:
        content = reply.json()
        reason, detail, certainty = content["reason"], content["detail"], content["certainty"]
    except (ValueError, KeyError, TypeError):
        return CallFailed(f"HTTP status {reply.status} without a reason code", ExitCode.UNREACHABLE)
    # After "control_unavailable" or "isolated", ``call`` tries the next entry host:
    # it may still reach the leader and hold a valid lease.
    if reason == "control_unavailable":
        return CallFailed(f"no control host answers as leader: {detail}", ExitCode.UNREACHABLE)
    if reason == "isolated":
        return CallFailed(detail, ExitCode.UNREACHABLE)
    if reply.status == 409:
        exit_code = ExitCode.CONFLICT
    else:
        exit_code = ExitCode.OUTCOME_UNKNOWN if certainty == "unknown" else ExitCode.REFUSED
    return CallFailed(f"{reason}: {detail} ({certainty})", exit_code)
