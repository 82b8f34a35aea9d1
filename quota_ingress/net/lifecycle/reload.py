"""Reloads the configuration file after SIGHUP."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from quota_ingress.config import Config, ConfigError, ConfigUnreadableError, reload_config
from quota_ingress.net.event_log import EventLog

REREAD_INTERVAL_SECONDS = 0.1  # between attempts to read an unreadable file
REREAD_WINDOW_SECONDS = 3.0  # after SIGHUP, in which attempts are made

log = logging.getLogger("quota_ingress")


class ConfigReloader:
    """Reads the configuration file again, and passes a valid configuration to `apply`."""

    def __init__(self, apply: Callable[[Config], None], event_log: EventLog) -> None:
        self._apply = apply
        self._event_log = event_log
        self._retry: asyncio.TimerHandle | None = None

    def reload(self, path: str) -> None:
        """Reads the file at `path`.

        An unreadable file is read again until REREAD_WINDOW_SECONDS have passed; an invalid configuration is
        logged and not applied.
        """
        self.stop()
        self._attempt(path, asyncio.get_running_loop().time() + REREAD_WINDOW_SECONDS)

    def stop(self) -> None:
        """Cancels further attempts."""
        if self._retry:
            self._retry.cancel()
            self._retry = None

    def _attempt(self, path: str, deadline: float) -> None:
        """Reads the file once; schedules no further attempt after `deadline` (loop time, s)."""
        try:
            config = reload_config(path)
        except ConfigUnreadableError as error:
            self._event_log.event("reload", "unreadable", error=str(error))
            loop = asyncio.get_running_loop()
            if loop.time() < deadline:
                self._retry = loop.call_later(REREAD_INTERVAL_SECONDS, self._attempt, path, deadline)
            else:
                log.warning("configuration not reloaded, the old one stays in use: %s", error)
        except ConfigError as error:
            self._event_log.event("reload", "invalid")
            log.warning("configuration not reloaded, the old one stays in use: %s", error)
        else:
            self._event_log.event("reload", "applied", discovery=config.discovery, counter=config.counter)
            self._apply(config)
