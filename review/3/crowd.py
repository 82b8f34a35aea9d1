"""A crowd of clients that connect, send half of a request's head, and stop: `crowd.py PORT COUNT SECONDS`.

Prints a line once all are connected. Each connection stays until the ingress ends it, or for SECONDS.
"""

import selectors
import socket
import sys
import time

HALF_A_HEAD = b"GET /rate-check/0 HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: 00"

port, count, seconds = int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])
selector = selectors.DefaultSelector()
began_at = time.monotonic()
opened = {}
for _ in range(count):
    sock = socket.create_connection(("127.0.0.1", port))
    sock.send(HALF_A_HEAD)
    sock.setblocking(False)
    opened[sock] = time.monotonic()
    selector.register(sock, selectors.EVENT_READ)
print(f"{count} connections opened in {time.monotonic() - began_at:.2f} s", flush=True)
longest = 0.0
while opened and time.monotonic() - began_at < seconds:
    for key, _ in selector.select(0.5):
        longest = max(longest, time.monotonic() - opened.pop(key.fileobj))
        selector.unregister(key.fileobj)
        key.fileobj.close()
print(f"ended by the ingress: {count - len(opened)}, after {longest:.2f} s at most", flush=True)
