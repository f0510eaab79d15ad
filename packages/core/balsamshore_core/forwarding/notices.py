"""Which nodes get notices of requests that crash servers, and when.

Active nodes get them at once, all nodes those of a stop. Datagrams may be lost,
so what a node learned lately it repeats with its heartbeats to random nodes.
What it learned longer ago it sends to nodes that are new here, and now and then
to random nodes, because a partition may have ended.
"""

import collections.abc
from typing import NamedTuple

from balsamshore_core.forwarding import fleet as fleets
from balsamshore_core.forwarding import quarantine as quarantines
from balsamshore_core.forwarding import suspects

HEARTBEATS_PER_REMINDER = 10


class NoticeMessage(NamedTuple):
    """Notices to be sent to other nodes."""

    recipients: tuple[str, ...]
    notices: tuple[suspects.Notice, ...]


class Notices:
    """Decides to whom this node sends its notices."""

    def __init__(self, quarantine: quarantines.Quarantine, fleet: fleets.Fleet):
        self._quarantine = quarantine
        self._fleet = fleet
        self._heartbeats = 0

    def spread(self, now: float) -> list[NoticeMessage]:
        """Returns the message with what this node has found out itself."""
        notices, urgent = self._quarantine.take_news(now)
        recipients = [
            record.host
            for record in self._fleet.list_alive(now)
            if urgent or record.active
        ]
        return _build_messages(recipients, notices)

    def repeat(
        self, messages: list[fleets.GossipMessage], now: float
    ) -> list[NoticeMessage]:
        """Returns the message to the random recipients of heartbeats.

        Args:
            messages: The messages of this heartbeat.
            now: Monotonic seconds.
        """
        self._heartbeats += 1
        notices = self._quarantine.list_recent_news(now)
        if not notices and self._heartbeats % HEARTBEATS_PER_REMINDER == 0:
            notices = self._quarantine.list_reminders(now)
        recipients = [
            host
            for message in messages[: fleets.RANDOM_MESSAGES]
            for host in message.recipients
        ]
        return _build_messages(recipients, notices)

    def greet(
        self, host: str, records: tuple[fleets.NodeRecord, ...], now: float
    ) -> list[NoticeMessage]:
        """Returns the message to a sender that is unknown here.

        Args:
            host: Host of the sender.
            records: Its message's records, before they are applied.
            now: Monotonic seconds.
        """
        if not records or not self._fleet.is_new_process(records[0]):
            return []
        return _build_messages([host], self._quarantine.list_reminders(now))


def _build_messages(
    recipients: collections.abc.Sequence[str],
    notices: collections.abc.Sequence[suspects.Notice],
) -> list[NoticeMessage]:
    if not recipients or not notices:
        return []
    return [NoticeMessage(tuple(recipients), tuple(notices))]
