"""The entry point, `python -m quota_ingress`: runs one ingress until SIGTERM or SIGINT.

`EDGE_CONFIG` names the configuration file; SIGHUP reloads it. The exit code is 0 after a shutdown, or 1, with
one line on standard error, if the ingress cannot start.
"""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop

from quota_ingress.config import Config, ConfigError, load_config
from quota_ingress.net.lifecycle.ingress import Ingress

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

log = logging.getLogger("quota_ingress")


async def serve(config: Config, path: str) -> None:
    """Runs one ingress until a stop signal, or until its requests are finished after an upgrade.

    Args:
        config: The configuration to start with.
        path: The configuration file, read again after SIGHUP.
    """
    loop = asyncio.get_running_loop()
    ingress = Ingress(config)
    del config  # frees its endpoint list
    reload_requested = asyncio.Event()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, ingress.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    await ingress.start()
    gc.collect()
    gc.freeze()
    loop.add_signal_handler(signal.SIGHUP, ingress.reload, path)
    if reload_requested.is_set():
        ingress.reload(path)
    await ingress.stopping.wait()
    loop.add_signal_handler(
        signal.SIGHUP, log.info, "shutting down: SIGHUP ignored, configuration not reloaded"
    )
    await ingress.stop()


def main() -> int:
    """Runs the program; returns the exit code."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    path = os.environ.get("EDGE_CONFIG", "")
    try:
        uvloop.run(serve(load_config(path, os.environ), path))
        for number in (*STOP_SIGNALS, signal.SIGHUP):  # else Python restores their default handlers at exit
            signal.signal(number, signal.SIG_IGN)
    except (ConfigError, OSError) as error:
        print(f"quota_ingress: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
